package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/wire"
)

var start = time.Unix(1000, 0)

type spend struct {
	at time.Time
	n  float64
}

type message struct {
	host *testHost
	sent time.Time // local
	lot  wire.TokenGrant
}

type testHost struct {
	name string
	rate float64
	b    *Borrower
}

type testFleet struct {
	now         time.Time
	keeper      *Lender
	term        uint64
	elected     time.Time
	rate, burst float64
	hosts       []*testHost
	answers     []message
	reports     []message // delayed settlements; lot.ID and lot.Tokens hold the report
	spent       []spend
	maxRate     float64
	maxBurst    float64
}

func (f *testFleet) local(h *testHost) time.Time {
	return start.Add(time.Duration(float64(f.now.Sub(start)) * h.rate))
}

func (f *testFleet) elect(*rapid.T) {
	f.term++
	f.keeper = NewLender(f.now, f.term, f.now.Sub(f.elected) >= GrantExpiryWait)
	f.elected = f.now
	f.keeper.SetRate(f.now, "t", f.rate, f.burst)
}

func (f *testFleet) setRate(t *rapid.T) {
	f.rate = rapid.Float64Range(0, 50).Draw(t, "rate")
	f.burst = rapid.Float64Range(0, 60).Draw(t, "burst")
	f.maxRate = max(f.maxRate, f.rate)
	f.maxBurst = max(f.maxBurst, f.burst)
	f.keeper.SetRate(f.now, "t", f.rate, f.burst)
}

func (f *testFleet) request(t *rapid.T) {
	h := rapid.SampledFrom(f.hosts).Draw(t, "host")
	renewal := rapid.Bool().Draw(t, "renewal")
	held := h.b.Balance(f.local(h), "t")
	report := message{host: h, lot: wire.TokenGrant{ID: held.GrantID, Tokens: held.Remaining}}
	f.reports = append(f.reports, report)
	if rapid.Bool().Draw(t, "report lost") {
		f.reports = f.reports[:len(f.reports)-1]
	}
	if rapid.Bool().Draw(t, "report in time") {
		f.keeper.Settle(f.now, h.name, "t", held)
	}
	want := rapid.Uint64Range(1, 80).Draw(t, "want")
	sent := f.local(h)
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond)
	f.answers = append(f.answers, message{host: h, sent: sent, lot: f.keeper.Lend(f.now, h.name, "t", want, renewal)})
}

func (f *testFleet) answer(t *rapid.T) {
	if len(f.answers) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(f.answers)-1).Draw(t, "i")
	m := f.answers[i]
	f.answers = append(f.answers[:i], f.answers[i+1:]...)
	m.host.b.AddGrant(m.sent, m.lot)
}

func (f *testFleet) report(t *rapid.T) {
	if len(f.reports) == 0 {
		t.Skip()
	}
	m := rapid.SampledFrom(f.reports).Draw(t, "report")
	f.keeper.Settle(f.now, m.host.name, "t", wire.TokenBalance{GrantID: m.lot.ID, Remaining: m.lot.Tokens})
}

func (f *testFleet) spend(t *rapid.T) {
	h := rapid.SampledFrom(f.hosts).Draw(t, "host")
	n := rapid.Uint64Range(1, 20).Draw(t, "n")
	if rapid.Bool().Draw(t, "all") {
		n = max(1, h.b.holding("t").left(f.local(h)))
	}
	if h.b.Spend(f.local(h), "t", n) {
		f.spent = append(f.spent, spend{at: f.now, n: float64(n)})
	}
}

func (f *testFleet) check(t *rapid.T) {
	sum := 0.0
	for i := len(f.spent) - 1; i >= 0; i-- {
		sum += f.spent[i].n
		window := f.spent[len(f.spent)-1].at.Sub(f.spent[i].at).Seconds()
		if bound := f.maxRate*window + f.maxBurst; sum > bound+1e-6 {
			t.Fatalf("%v tokens spent in %v s, bound %v", sum, window, bound)
		}
	}
}

// Guards against more than rate*(b-a)+burst tokens spent in any window, over leader changes, rate
// changes, slow clocks, lost, late and repeated messages.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{now: start, rate: 20, burst: 30, maxRate: 20, maxBurst: 30}
		for i := range 3 {
			rate := rapid.Float64Range(0.91, 1.05).Draw(t, "clock rate")
			f.hosts = append(f.hosts, &testHost{name: fmt.Sprint(i), rate: rate, b: NewBorrower(0)})
		}
		f.elect(t)
		pass := func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
		}
		actions := map[string]func(*rapid.T){
			"request": f.request, "request2": f.request, "answer": f.answer, "answer2": f.answer,
			"report": f.report, "spend": f.spend, "spend2": f.spend, "pass": pass, "": f.check,
			"elect": f.elect,
		}
		if rapid.Bool().Draw(t, "rate changes") {
			actions["rate"] = f.setRate
		}
		t.Repeat(actions)
	})
}

// Guards against tokens lent before the lots of an earlier leader have expired.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	k := NewLender(start, 1, false)
	k.SetRate(start, "t", 100, 100)
	lot := k.Lend(start.Add(GrantTTL), "h", "t", 10, true)
	is.Equal(lot.Tokens, uint64(0))
	is.Equal(lot.RetryAfter, GrantExpiryWait-GrantTTL)
	is.Equal(k.Lend(start.Add(GrantExpiryWait), "h", "t", 10, true).Tokens, uint64(0)) // starts empty
	is.Equal(k.Lend(start.Add(GrantExpiryWait+time.Second), "h", "t", 10, true).Tokens, uint64(10))
}

// Guards against a change of leader that stops all teams until the lots of the earlier one have
// expired, and against more lent meanwhile than those lots leave of the burst.
func TestLendsAfterChangeOfLeader(t *testing.T) {
	is := is.New(t)
	k := NewLender(start, 2, true)
	k.SetRate(start, "t", 100, 100)
	lent := uint64(0)
	for ms := time.Duration(0); ms < GrantExpiryWait; ms += 10 * time.Millisecond {
		lent += k.Lend(start.Add(ms), "h", "t", 5, false).Tokens
	}
	is.Equal(lent, uint64(100*(1-lentShare)))
	is.True(k.Lend(start.Add(GrantExpiryWait+time.Second), "h", "t", 50, true).Tokens >= 50)
}

// Guards against tokens counted as settled that are spent after all, and against room that is made
// earlier than the settlement.
func TestSettlement(t *testing.T) {
	is := is.New(t)
	k := NewLender(start.Add(-time.Minute), 1, true)
	k.SetRate(start, "t", 10, 10)
	late := k.Lend(start, "h", "t", 4, true)
	lot := k.Lend(start, "h", "t", 6, true)
	is.Equal(late.Tokens+lot.Tokens, uint64(7)) // lentShare of the burst; 3 stay in the bucket
	b := NewBorrower(0)
	b.AddGrant(start, lot)
	is.True(b.Spend(start, "t", 3))
	now := start.Add(time.Second)
	k.Settle(now, "h", "t", b.Balance(now, "t"))
	b.AddGrant(start, late)
	is.True(!b.Spend(now, "t", 1))                              // reported as unused
	is.Equal(k.Lend(now, "h", "t", 10, true).Tokens, uint64(3)) // no room for more until now
	now = now.Add(400 * time.Millisecond)
	is.Equal(k.Lend(now, "h", "t", 10, true).Tokens, uint64(4))
}

// run lets hosts spend at the given rates for 20 s in steps of 10 ms and returns what each got per
// second in the second half. A host borrows when its lots don't suffice.
func run(rate, burst float64, demand []float64) []float64 {
	k := NewLender(start.Add(-GrantExpiryWait), 1, true)
	k.SetRate(start, "t", rate, burst)
	hosts := make([]*Borrower, len(demand))
	want := make([]float64, len(demand))
	got := make([]float64, len(demand))
	for i := range hosts {
		hosts[i] = NewBorrower(0)
	}
	for step := range 2000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, b := range hosts {
			who := fmt.Sprint(i)
			if (step+i*7)%50 == 0 {
				if held, ok := b.Balances(now)["t"]; ok {
					k.Settle(now, who, "t", held)
				}
				if n := b.EndInterval(now)["t"]; n > 0 {
					b.AddGrant(now, k.Lend(now, who, "t", n, true))
				}
			}
			for want[i] += demand[i] / 100; want[i] >= 1; want[i]-- {
				ok := b.Spend(now, "t", 1)
				if !ok {
					k.Settle(now, who, "t", b.Balance(now, "t"))
					b.AddGrant(now, k.Lend(now, who, "t", b.BorrowAmount("t", 1), false))
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

// Guards against refusals within the rate, against capacity lost to unspent lots, and against a
// host that takes the tokens of others.
func TestShares(t *testing.T) {
	is := is.New(t)
	within := run(100, 200, []float64{40, 30, 20})
	is.True(within[0] > 39.5 && within[1] > 29.5 && within[2] > 19.5) // all of it
	over := run(100, 20, []float64{300, 100, 100})
	t.Log(over)
	is.True(over[0]+over[1]+over[2] > 90) // little is lost under overload
	is.True(over[0] > 45 && over[0] < 75) // in proportion to demand
	is.True(over[1] > 12 && over[2] > 12)
}
