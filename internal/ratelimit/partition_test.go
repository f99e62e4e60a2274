package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/wire"
)

// tokenRequest is a renewal or a borrow call on its way to the leader.
type tokenRequest struct {
	host    *testHost
	sent    time.Time // by the clock of the host
	renewal bool
	balance wire.TokenBalance
	want    uint64
}

// partition is a model whose hosts reach the leader, and are reached by it, independently of each other. What is sent while a
// direction is cut arrives later, out of order or never.
type partition struct {
	model
	requests     []tokenRequest
	reaches      map[*testHost]bool // requests arrive at the leader
	hears        map[*testHost]bool // replies arrive at the host
	incarnations int
}

func (p *partition) addHost(t *rapid.T) *testHost {
	p.incarnations++
	rate := rapid.Float64Range(0.91, 1.05).Draw(t, "clock rate")
	host := &testHost{name: fmt.Sprint(p.incarnations), clockRate: rate, borrower: NewBorrower(0)}
	p.reaches[host], p.hears[host] = true, true
	return host
}

func (p *partition) cut(t *rapid.T) {
	host := rapid.SampledFrom(p.hosts).Draw(t, "host")
	p.reaches[host] = rapid.Bool().Draw(t, "reaches")
	p.hears[host] = rapid.Bool().Draw(t, "hears")
}

// restart replaces a host by a new process, which knows nothing of its grants. Requests of the old one may still arrive.
func (p *partition) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(p.hosts)-1).Draw(t, "host")
	p.hosts[i] = p.addHost(t)
}

func (p *partition) send(t *rapid.T, host *testHost) {
	now := p.localTime(host)
	p.requests = append(p.requests, tokenRequest{
		host: host, sent: now, renewal: rapid.Bool().Draw(t, "renewal"), balance: host.borrower.Balance(now, "t"),
		want: rapid.Uint64Range(1, 40).Draw(t, "want"),
	})
}

// arrive lets the leader answer the requests on their way that reach it, some of them later.
func (p *partition) arrive(t *rapid.T) {
	var late []tokenRequest
	for _, r := range p.requests {
		if !p.reaches[r.host] || rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			late = append(late, r)
			continue
		}
		p.lender.Settle(p.now, r.host.name, "t", r.balance)
		lend := p.lender.Borrow
		if r.renewal {
			lend = p.lender.Lend
		}
		p.replies = append(p.replies, delayedMessage{host: r.host, sent: r.sent, grant: lend(p.now, r.host.name, "t", r.want)})
	}
	p.requests = late
}

// hear lets the hosts receive the replies on their way that reach them, some of them later.
func (p *partition) hear(t *rapid.T) {
	var late []delayedMessage
	for _, msg := range p.replies {
		if !p.hears[msg.host] || rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			late = append(late, msg)
			continue
		}
		msg.host.borrower.AddGrant(msg.sent, msg.grant)
	}
	p.replies = late
}

// exchange lets all hosts ask for tokens.
func (p *partition) exchange(t *rapid.T) {
	for _, host := range p.hosts {
		p.send(t, host)
	}
	p.arrive(t)
	p.now = p.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "round trip ms")) * time.Millisecond)
	p.hear(t)
}

// spendAll lets some hosts spend all that they have at the same moment.
func (p *partition) spendAll(t *rapid.T) {
	for _, host := range p.hosts {
		n := host.borrower.teamState("t").remaining(p.localTime(host))
		if n == 0 || rapid.IntRange(0, 2).Draw(t, "keep") == 0 {
			continue
		}
		if host.borrower.Spend(p.localTime(host), "t", n) {
			p.spent = append(p.spent, spend{at: p.now, n: float64(n)})
			p.check(t)
		}
	}
}

// pass lets time pass: often about as long as grants last.
func (p *partition) pass(t *rapid.T) {
	base := rapid.SampledFrom([]time.Duration{0, maxBorrowTTL, RenewalInterval, GrantTTL, GrantExpiryWait}).Draw(t, "base")
	p.now = p.now.Add(base + time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond)
}

// changeLeader elects a new leader now and then.
func (p *partition) changeLeader(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "elect") == 0 {
		p.elect(t)
	}
}

// Guards against more than rate*(b-a)+burst tokens spent in any window [a,b] while hosts and the leader hear each other only
// one way, late or not at all, also over restarts of hosts and changes of leader during the partition: a host that hears
// nothing spends what it was lent, and its tokens may be lent again only once they have expired there.
func TestWindowBoundInPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &partition{model: model{now: start, rate: 20, burst: 30, maxRate: 20, maxBurst: 30}, reaches: map[*testHost]bool{}, hears: map[*testHost]bool{}}
		for range 4 {
			p.hosts = append(p.hosts, p.addHost(t))
		}
		p.elect(t)
		p.now = p.now.Add(time.Minute) // the bucket is full
		t.Repeat(map[string]func(*rapid.T){
			"exchange": p.exchange, "exchange2": p.exchange, "arrive": p.arrive, "hear": p.hear, "spend": p.spendAll, "spend2": p.spendAll,
			"time": p.pass, "time2": p.pass, "cut": p.cut, "cut2": p.cut, "restart": p.restart, "elect": p.changeLeader,
		})
	})
}
