package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// model is a cluster with one recorded owner, leaders that replace each other and hosts whose
// clocks run up to 9% slower. Messages are lost or delayed at random.
type model struct {
	now      time.Time
	recorded Owner
	leader   *Table
	barrier  int // number of the current leader
	hosts    []*modelHost
	answers  []modelAnswer
	returns  []Owner
}

type modelHost struct {
	name   string
	rate   float64 // local seconds per second
	holder *Holder
}

type modelAnswer struct {
	host  *modelHost
	sent  time.Time // local
	epoch uint64
}

var modelStart = time.Unix(1000, 0)

func (m *model) local(h *modelHost) time.Time {
	return modelStart.Add(time.Duration(float64(m.now.Sub(modelStart)) * h.rate))
}

func (m *model) check(t *rapid.T) {
	var holders []string
	for _, h := range m.hosts {
		for service, held := range h.holder.Leases() {
			if h.holder.Valid(m.local(h), service, held.Epoch) {
				holders = append(holders, fmt.Sprintf("%s epoch %d", h.name, held.Epoch))
			}
		}
	}
	if len(holders) > 1 {
		t.Fatalf("several holders at %v: %v", m.now.Sub(modelStart), holders)
	}
}

func (m *model) renew(t *rapid.T) {
	h := rapid.SampledFrom(m.hosts).Draw(t, "host")
	claim := Owner{Host: h.name, BootID: "1", Epoch: m.recorded.Epoch}
	sent := m.local(h)
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "request ms")) * time.Millisecond)
	if m.leader.Renew(m.now, "s", m.recorded, claim) {
		m.answers = append(m.answers, modelAnswer{host: h, sent: sent, epoch: claim.Epoch})
	}
}

func (m *model) answer(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer")
	a := m.answers[i]
	if rapid.Bool().Draw(t, "lost") {
		m.answers = append(m.answers[:i], m.answers[i+1:]...)
		return
	}
	a.host.holder.AcceptGrant(a.sent, TTL, "s", a.epoch) // the answer may arrive again later
}

func (m *model) move(t *rapid.T) {
	leader, barrier := m.leader, m.barrier
	if !leader.CloseEpoch(m.now, "s", m.recorded) {
		t.Skip()
	}
	if rapid.Bool().Draw(t, "replaced before commit") {
		m.elect(t)
		m.renew(t)
	}
	if m.barrier != barrier {
		return // refused by the state machine: proposed by an earlier leader
	}
	h := rapid.SampledFrom(m.hosts).Draw(t, "new owner")
	m.recorded = Owner{Host: h.name, BootID: "1", Epoch: m.recorded.Epoch + 1}
	m.leader.RecordAssignment(m.now, "s", m.recorded)
}

func (m *model) elect(*rapid.T) {
	m.leader = NewTable(m.now)
	m.barrier++
}

func (m *model) giveBack(t *rapid.T) {
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

// Guards against two holders of a service at one moment, over leader changes, slow clocks, lost,
// delayed and repeated messages and early returns.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: modelStart}
		for i := range 3 {
			rate := rapid.Float64Range(0.91, 1.05).Draw(t, "clock rate")
			m.hosts = append(m.hosts, &modelHost{name: fmt.Sprint("h", i), rate: rate, holder: NewHolder()})
		}
		m.elect(t)
		t.Repeat(map[string]func(*rapid.T){
			"renew":  m.renew,
			"answer": m.answer,
			"move":   m.move,
			"elect":  m.elect,
			"return": m.giveBack,
			"freed":  m.deliverReturn,
			"pass": func(t *rapid.T) {
				ms := rapid.IntRange(1, 2000).Draw(t, "ms")
				m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

// Guards against a new leader that moves a service while an earlier leader's lease may be valid.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	elected := time.Unix(50, 0)
	owner := Owner{Host: "a", BootID: "1", Epoch: 4}
	table := NewTable(elected)
	is.True(!table.CloseEpoch(elected.Add(TTL), "s", owner))
	is.True(table.Renew(elected, "s", owner, owner)) // the recorded owner goes on at once
	is.True(!table.Renew(elected, "s", owner, Owner{Host: "a", BootID: "2", Epoch: 4}))
	is.True(table.CloseEpoch(elected.Add(ExpiryWait), "s", owner))
	is.True(!table.Renew(elected.Add(ExpiryWait), "s", owner, owner)) // closed
}
