package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// model simulates one service with successive leaders, and hosts whose clocks run up to 9% slower or 5%
// faster than the leader's. Messages are lost, delayed or repeated at random.
type model struct {
	now        time.Time
	recorded   Owner
	leader     *Table
	leaderTerm int
	hosts      []*modelHost
	grants     []modelGrant // in flight to a host
	returns    []Owner      // in flight to a leader
}

type modelHost struct {
	name      string
	clockRate float64 // relative to the leader's clock
	holder    *Holder
}

type modelGrant struct {
	host  *modelHost
	sent  time.Time // when the renewal was sent, by the host's clock
	epoch uint64
}

var modelStart = time.Unix(1000, 0)

func (m *model) localTime(h *modelHost) time.Time {
	return modelStart.Add(time.Duration(float64(m.now.Sub(modelStart)) * h.clockRate))
}

func (m *model) checkOneOwner(t *rapid.T) {
	var owners []string
	for _, h := range m.hosts {
		for service, held := range h.holder.Leases() {
			if h.holder.Valid(m.localTime(h), service, held.Epoch) {
				owners = append(owners, fmt.Sprintf("%s epoch %d", h.name, held.Epoch))
			}
		}
	}
	if len(owners) > 1 {
		t.Fatalf("more than one valid lease at %v: %v", m.now.Sub(modelStart), owners)
	}
}

func (m *model) renew(t *rapid.T) {
	h := rapid.SampledFrom(m.hosts).Draw(t, "host")
	requester := Owner{Host: h.name, BootID: "1", Epoch: m.recorded.Epoch}
	sent := m.localTime(h)
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "request ms")) * time.Millisecond)
	if m.leader.Renew(m.now, "s", m.recorded, requester) {
		m.grants = append(m.grants, modelGrant{host: h, sent: sent, epoch: requester.Epoch})
	}
}

func (m *model) deliverGrant(t *rapid.T) {
	if len(m.grants) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
	grant := m.grants[i]
	if rapid.Bool().Draw(t, "lost") {
		m.grants = append(m.grants[:i], m.grants[i+1:]...)
		return
	}
	grant.host.holder.AcceptGrant(grant.sent, TTL, "s", grant.epoch) // the grant stays in m.grants, so that it may be delivered again
}

func (m *model) reassign(t *rapid.T) {
	leader, term := m.leader, m.leaderTerm
	if !leader.CloseEpoch(m.now, "s", m.recorded) {
		t.Skip()
	}
	if rapid.Bool().Draw(t, "replaced before commit") { // the leader, while the assignment is proposed
		m.replaceLeader(t)
		m.renew(t)
	}
	if m.leaderTerm != term {
		return // the state machine refuses a proposal of an earlier leader
	}
	h := rapid.SampledFrom(m.hosts).Draw(t, "new owner")
	m.recorded = Owner{Host: h.name, BootID: "1", Epoch: m.recorded.Epoch + 1}
	m.leader.RecordAssignment(m.now, "s", m.recorded)
}

func (m *model) replaceLeader(*rapid.T) {
	m.leader = NewTable(m.now)
	m.leaderTerm++
}

func (m *model) returnLease(t *rapid.T) {
	h := rapid.SampledFrom(m.hosts).Draw(t, "host")
	held, ok := h.holder.Leases()["s"]
	if !ok {
		t.Skip()
	}
	h.holder.Return("s", held.Epoch)
	m.returns = append(m.returns, Owner{Host: h.name, BootID: "1", Epoch: held.Epoch})
}

func (m *model) deliverReturn(t *rapid.T) {
	if len(m.returns) == 0 {
		t.Skip()
	}
	m.leader.Return("s", m.recorded, rapid.SampledFrom(m.returns).Draw(t, "return"))
}

// Guards against two valid leases of a service at the same time under leader changes, clock drift, lost,
// delayed and repeated messages, and returns of leases.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: modelStart}
		for i := range 3 {
			rate := rapid.Float64Range(0.91, 1.05).Draw(t, "clock rate")
			m.hosts = append(m.hosts, &modelHost{name: fmt.Sprint("h", i), clockRate: rate, holder: NewHolder()})
		}
		m.replaceLeader(t)
		t.Repeat(map[string]func(*rapid.T){
			"renew":          m.renew,
			"deliver grant":  m.deliverGrant,
			"reassign":       m.reassign,
			"replace leader": m.replaceLeader,
			"return lease":   m.returnLease,
			"deliver return": m.deliverReturn,
			"advance time": func(t *rapid.T) {
				ms := rapid.IntRange(1, 2000).Draw(t, "ms")
				m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"": m.checkOneOwner,
		})
	})
}

// Guards against a new leader that reassigns a service while a lease granted by an earlier leader may be
// valid.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	is := is.New(t)
	elected := time.Unix(50, 0)
	owner := Owner{Host: "a", BootID: "1", Epoch: 4}
	table := NewTable(elected)
	is.True(!table.CloseEpoch(elected.Add(TTL), "s", owner))
	is.True(table.Renew(elected, "s", owner, owner)) // the recorded owner can renew immediately
	is.True(!table.Renew(elected, "s", owner, Owner{Host: "a", BootID: "2", Epoch: 4}))
	is.True(table.CloseEpoch(elected.Add(ExpiryWait), "s", owner))
	is.True(!table.Renew(elected.Add(ExpiryWait), "s", owner, owner)) // the epoch is closed
}
