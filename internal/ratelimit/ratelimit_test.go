package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/wire"
)

var start = time.Unix(1000, 0)

// spend is a number of tokens spent at a time.
type spend struct {
	at time.Time
	n  float64
}

// delayedMessage is a reply on its way to a host, or a report on its way from it.
type delayedMessage struct {
	host  *testHost
	sent  time.Time // when the host sent the renewal or borrow call that is answered, by its clock
	grant wire.TokenGrant
}

type testHost struct {
	name      string
	clockRate float64 // seconds of its clock per second
	borrower  *Borrower
}

// model simulates one leader at a time and several hosts, over a network that delays, loses
// and repeats messages.
type model struct {
	now         time.Time
	lender      *Lender
	term        uint64
	elected     time.Time
	rate, burst float64
	hosts       []*testHost
	replies     []delayedMessage
	reports     []delayedMessage // grant.ID and grant.Tokens hold the reported balance
	spent       []spend
	maxRate     float64
	maxBurst    float64
}

func (m *model) localTime(host *testHost) time.Time {
	return start.Add(time.Duration(float64(m.now.Sub(start)) * host.clockRate))
}

func (m *model) elect(*rapid.T) {
	m.term++
	m.lender = NewLender(m.now, m.term, m.now.Sub(m.elected) >= GrantExpiryWait)
	m.elected = m.now
	m.lender.SetRate(m.now, "t", m.rate, m.burst)
}

func (m *model) setRate(t *rapid.T) {
	m.rate = rapid.Float64Range(0, 50).Draw(t, "rate")
	m.burst = rapid.Float64Range(0, 60).Draw(t, "burst")
	m.maxRate = max(m.maxRate, m.rate)
	m.maxBurst = max(m.maxBurst, m.burst)
	m.lender.SetRate(m.now, "t", m.rate, m.burst)
}

func (m *model) request(t *rapid.T) {
	host := rapid.SampledFrom(m.hosts).Draw(t, "host")
	renewal := rapid.Bool().Draw(t, "renewal")
	balance := host.borrower.Balance(m.localTime(host), "t")
	report := delayedMessage{host: host, grant: wire.TokenGrant{ID: balance.GrantID, Tokens: balance.Remaining}}
	m.reports = append(m.reports, report)
	if rapid.Bool().Draw(t, "report lost") {
		m.reports = m.reports[:len(m.reports)-1]
	}
	if rapid.Bool().Draw(t, "report in time") {
		m.lender.Settle(m.now, host.name, "t", balance)
	}
	want := rapid.Uint64Range(1, 80).Draw(t, "want")
	sent := m.localTime(host)
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond)
	var grant wire.TokenGrant
	if renewal {
		grant = m.lender.Lend(m.now, host.name, "t", want)
	} else {
		grant = m.lender.Borrow(m.now, host.name, "t", want)
	}
	m.replies = append(m.replies, delayedMessage{host: host, sent: sent, grant: grant})
}

func (m *model) deliverReply(t *rapid.T) {
	if len(m.replies) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "i")
	msg := m.replies[i]
	m.replies = append(m.replies[:i], m.replies[i+1:]...)
	msg.host.borrower.AddGrant(msg.sent, msg.grant)
}

func (m *model) deliverReport(t *rapid.T) {
	if len(m.reports) == 0 {
		t.Skip()
	}
	msg := rapid.SampledFrom(m.reports).Draw(t, "report")
	m.lender.Settle(m.now, msg.host.name, "t", wire.TokenBalance{GrantID: msg.grant.ID, Remaining: msg.grant.Tokens})
}

func (m *model) spend(t *rapid.T) {
	host := rapid.SampledFrom(m.hosts).Draw(t, "host")
	n := rapid.Uint64Range(1, 20).Draw(t, "n")
	if rapid.Bool().Draw(t, "all") {
		n = max(1, host.borrower.teamState("t").remaining(m.localTime(host)))
	}
	if host.borrower.Spend(m.localTime(host), "t", n) {
		m.spent = append(m.spent, spend{at: m.now, n: float64(n)})
	}
}

func (m *model) check(t *rapid.T) {
	sum := 0.0
	for i := len(m.spent) - 1; i >= 0; i-- {
		sum += m.spent[i].n
		window := m.spent[len(m.spent)-1].at.Sub(m.spent[i].at).Seconds()
		if bound := m.maxRate*window + m.maxBurst; sum > bound+1e-6 {
			t.Fatalf("%v tokens were spent within %v s, want at most %v", sum, window, bound)
		}
	}
}

// Guards against more than rate*(b-a)+burst tokens spent in a window [a,b] despite leader changes, rate
// changes, slow clocks, and lost, late and repeated messages.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, rate: 20, burst: 30, maxRate: 20, maxBurst: 30}
		for i := range 3 {
			rate := rapid.Float64Range(0.91, 1.05).Draw(t, "clock rate")
			m.hosts = append(m.hosts, &testHost{name: fmt.Sprint(i), clockRate: rate, borrower: NewBorrower(0)})
		}
		m.elect(t)
		advanceTime := func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
		}
		actions := map[string]func(*rapid.T){
			"request": m.request, "request2": m.request, "reply": m.deliverReply, "reply2": m.deliverReply,
			"report": m.deliverReport, "spend": m.spend, "spend2": m.spend, "time": advanceTime, "": m.check,
			"elect": m.elect,
		}
		if rapid.Bool().Draw(t, "rate changes") {
			actions["rate"] = m.setRate
		}
		t.Repeat(actions)
	})
}

// Guards against tokens lent before all grants of earlier leaders have expired, when they may come from
// more than one leader.
func TestNewLeaderWaitsForEarlierGrants(t *testing.T) {
	is := is.New(t)
	lender := NewLender(start, 1, false)
	lender.SetRate(start, "t", 100, 100)
	grant := lender.Lend(start.Add(GrantTTL), "h", "t", 10)
	is.Equal(grant.Tokens, uint64(0))
	is.Equal(grant.RetryAfter, GrantExpiryWait-GrantTTL)
	is.Equal(lender.Lend(start.Add(GrantExpiryWait), "h", "t", 10).Tokens, uint64(0)) // starts empty
	is.Equal(lender.Lend(start.Add(GrantExpiryWait+time.Second), "h", "t", 10).Tokens, uint64(10))
}

// Guards against a leader change that refuses all teams until the predecessor's grants have expired, and
// against a new leader that meanwhile lends more of the burst than those grants leave.
func TestNewLeaderLendsRemainder(t *testing.T) {
	is := is.New(t)
	lender := NewLender(start, 2, true)
	lender.SetRate(start, "t", 100, 100)
	lent := uint64(0)
	for ms := time.Duration(0); ms < GrantExpiryWait; ms += 10 * time.Millisecond {
		lent += lender.Lend(start.Add(ms), "h", "t", 5).Tokens
	}
	is.Equal(lent, uint64(100*(1-maxReserveFraction)))
	is.True(lender.Lend(start.Add(GrantExpiryWait+time.Second), "h", "t", 50).Tokens >= 50)
}

// Guards against a new leader that sends hosts away for longer than its bucket takes to refill: until the tokens that its
// predecessor has lent last have expired, and then until the next token has accrued.
func TestNewLeaderNamesShortDelay(t *testing.T) {
	is := is.New(t)
	lender := NewLender(start, 2, true)
	lender.SetRate(start, "t", 20, 20)
	grant := lender.Borrow(start, "h", "t", 1)
	is.Equal(grant.Tokens, uint64(0))
	is.Equal(grant.RetryAfter, expiryWait(maxBorrowTTL))
	now := start.Add(grant.RetryAfter)
	grant = lender.Borrow(now, "h", "t", 1)
	is.Equal(grant.Tokens, uint64(0)) // refills begin now
	is.Equal(grant.RetryAfter, 50*time.Millisecond)
	is.Equal(lender.Borrow(now.Add(grant.RetryAfter), "h", "t", 1).Tokens, uint64(1))
}

// Guards against tokens that are spent after they were settled, and against a refill that treats
// settled tokens as free before the time of the settlement.
func TestSettlement(t *testing.T) {
	is := is.New(t)
	lender := NewLender(start.Add(-time.Minute), 1, true) // all earlier grants have expired
	lender.SetRate(start, "t", 10, 10)
	late := lender.Lend(start, "h", "t", 4)
	grant := lender.Lend(start, "h", "t", 6)
	is.Equal(late.Tokens+grant.Tokens, uint64(7)) // maxReserveFraction of the burst; 3 stay in the bucket
	borrower := NewBorrower(0)
	borrower.AddGrant(start, grant)
	is.True(borrower.Spend(start, "t", 3))
	now := start.Add(time.Second)
	lender.Settle(now, "h", "t", borrower.Balance(now, "t"))
	borrower.AddGrant(start, late)
	is.True(!borrower.Spend(now, "t", 1))                      // late was discarded, as it was settled before it arrived
	is.Equal(lender.Lend(now, "h", "t", 10).Tokens, uint64(3)) // the bucket was full until now
	now = now.Add(400 * time.Millisecond)
	is.Equal(lender.Lend(now, "h", "t", 10).Tokens, uint64(4))
}

// simulate simulates hosts with the given demand in tokens/s for 20 s in steps of 10 ms and returns the
// tokens/s that each got in the second half. A host borrows between renewals when it has no tokens.
func simulate(rate, burst float64, demand []float64) []float64 {
	lender := NewLender(start.Add(-GrantExpiryWait), 1, true)
	lender.SetRate(start, "t", rate, burst)
	hosts := make([]*Borrower, len(demand))
	want := make([]float64, len(demand))
	got := make([]float64, len(demand))
	for i := range hosts {
		hosts[i] = NewBorrower(0)
		_, want[i] = math.Modf(float64(i) * 0.618) // hosts need their tokens at different times
	}
	for step := range 2000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, b := range hosts {
			borrowerID := fmt.Sprint(i)
			if (step+i*7)%50 == 0 {
				if balance, ok := b.Balances(now)["t"]; ok {
					lender.Settle(now, borrowerID, "t", balance)
				}
				if n := b.EndInterval(now)["t"]; n > 0 {
					b.AddGrant(now, lender.Lend(now, borrowerID, "t", n))
				}
			}
			for want[i] += demand[i] / 100; want[i] >= 1; want[i]-- {
				ok := b.Spend(now, "t", 1)
				if !ok {
					lender.Settle(now, borrowerID, "t", b.Balance(now, "t"))
					b.AddGrant(now, lender.Borrow(now, borrowerID, "t", 1))
					b.UndoDemand("t", 1)
					ok = b.Spend(now, "t", 1)
				}
				if ok && step >= 1000 {
					got[i] += 0.1
				}
			}
		}
	}
	return got
}

// Guards against refusals within the rate of a team whose callers are spread over so many hosts that each needs a token
// now and then: tokens that hosts keep in reserve are missing at the others.
func TestManyHostsShareSmallRate(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{60, 83} {
		demand := make([]float64, hosts)
		for i := range demand {
			demand[i] = 16 / float64(hosts)
		}
		total := 0.0
		for _, got := range simulate(20, 20, demand) {
			total += got
		}
		t.Log(hosts, "hosts got", total, "tokens/s")
		is.True(total > 15.8)
	}
}

// Guards against refusals within the rate, against capacity lost to unspent grants, and against a host
// that gets more than its proportional share under overload.
func TestHostsShareRateByDemand(t *testing.T) {
	is := is.New(t)
	within := simulate(100, 200, []float64{40, 30, 20})
	is.True(within[0] > 39.5 && within[1] > 29.5 && within[2] > 19.5) // all of the demand
	over := simulate(100, 20, []float64{300, 100, 100})
	t.Log(over)
	is.True(over[0]+over[1]+over[2] > 90) // little is lost under overload
	is.True(over[0] > 45 && over[0] < 75) // in proportion to demand
	is.True(over[1] > 12 && over[2] > 12)
}
