package holder

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// boundModel is a service with its primary, one replica, the holders that have the primary right one after another, and
// two hosts that keep samples for reads at the replica. The primary acknowledges a commit at once or with its response, which may
// be late or lost.
type boundModel struct {
	now     time.Time
	log     position.Position // of the primary
	replica position.Position
	right   bool // the current holder has the right
	holder  *ackBound
	former  []*ackBound
	stores  [2]primarySamples
	running []*boundRequest
	fetches []*boundFetch
	acked   []ackedCommit
	maxAge  time.Duration
}

// boundRequest is a request that the primary has run and whose response is under way.
type boundRequest struct {
	by       *ackBound
	sentAt   time.Time
	pos      position.Position
	commit   bool
	unplaced bool // the response names no position
	acked    bool // the primary has acknowledged the commit
}

// boundFetch is a sample under way to a store.
type boundFetch struct {
	store  int
	sentAt time.Time
	sample wire.Sample
}

type ackedCommit struct {
	at  time.Time
	pos position.Position
}

func (m *boundModel) run(rt *rapid.T, commit bool) {
	if !m.right {
		return
	}
	if commit {
		m.log.Offset++
	}
	r := &boundRequest{by: m.holder, sentAt: m.now, pos: m.log, commit: commit, unplaced: rapid.IntRange(0, 9).Draw(rt, "unplaced") == 0}
	m.running = append(m.running, r)
	m.now = m.now.Add(time.Millisecond)
	if commit && rapid.Bool().Draw(rt, "acknowledged at once") {
		r.acked = true
		m.acked = append(m.acked, ackedCommit{m.now, r.pos})
	}
}

// respond delivers a response. The holder acknowledges a commit if it still has the right.
func (m *boundModel) respond(rt *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(rt, "response")
	r := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	pos := r.pos
	lost := rapid.IntRange(0, 4).Draw(rt, "lost") == 0
	if r.unplaced || lost {
		pos = position.Position{}
	}
	r.by.observe(m.now, r.sentAt, pos, r.commit)
	if r.commit && !r.acked && !lost && m.right && r.by == m.holder {
		m.acked = append(m.acked, ackedCommit{m.now, r.pos})
	}
}

// confirm lets the holder confirm its bound, up to its oldest commit without a response.
func (m *boundModel) confirm() {
	at := m.now
	for _, r := range m.running {
		if r.by == m.holder && r.commit && r.sentAt.Before(at) {
			at = r.sentAt
		}
	}
	m.holder.confirm(at)
}

// lose ends the right of the holder.
func (m *boundModel) lose() {
	m.holder.lose()
	m.right = false
}

// gain gives the right to another holder, perhaps of a primary that was promoted with all acknowledged commits, and without
// some of the others.
func (m *boundModel) gain(rt *rapid.T) {
	if m.right {
		return
	}
	m.former = append(m.former, m.holder)
	if rapid.Bool().Draw(rt, "promotion") {
		kept := uint64(0)
		for _, c := range m.acked {
			kept = max(kept, c.pos.Offset)
		}
		m.log = position.Position{Term: m.log.Term + 1, Offset: rapid.Uint64Range(kept, m.log.Offset).Draw(rt, "kept")}
	}
	m.holder, m.right = &ackBound{}, true
	m.holder.gain(m.now)
}

// fetch asks the holder, a former one or the other store for its newest sample.
func (m *boundModel) fetch(rt *rapid.T) {
	sentAt := m.now
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "way there")) * time.Millisecond)
	store := rapid.IntRange(0, 1).Draw(rt, "store")
	var found wire.Sample
	var ok bool
	switch source := rapid.IntRange(-1, len(m.former)).Draw(rt, "source"); {
	case source < 0:
		if kept := m.stores[1-store].kept; len(kept) > 0 {
			last := kept[len(kept)-1]
			found, ok = wire.Sample{Position: last.pos, Age: m.now.Sub(last.takenAt)}, true
		}
	case source < len(m.former):
		found, ok = m.former[source].sample(m.now)
	default:
		if m.right {
			m.confirm()
		}
		found, ok = m.holder.sample(m.now)
	}
	if ok {
		m.fetches = append(m.fetches, &boundFetch{store, sentAt, found})
	}
}

func (m *boundModel) receiveSample(rt *rapid.T) {
	if len(m.fetches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.fetches)-1).Draw(rt, "sample")
	f := m.fetches[i]
	m.fetches = append(m.fetches[:i], m.fetches[i+1:]...)
	m.stores[f.store].add(f.sentAt, f.sample)
}

// replicate lets the replica receive some of the log of its primary. One that was ahead of a promoted primary is rolled back.
func (m *boundModel) replicate(rt *rapid.T) {
	if m.replica.Term < m.log.Term {
		m.replica = position.Position{Term: m.log.Term, Offset: min(m.replica.Offset, m.log.Offset)}
	}
	m.replica.Offset = rapid.Uint64Range(m.replica.Offset, m.log.Offset).Draw(rt, "reached")
}

// read fails the test if a read at the replica that the samples allow lacks a commit that was acknowledged earlier than the
// maximum age.
func (m *boundModel) read(rt *rapid.T, store int) {
	required, ok := m.stores[store].oldestWithin(m.now, m.maxAge)
	if !ok || !m.replica.Covers(required.pos) {
		return
	}
	for _, c := range m.acked {
		if c.at.Before(m.now.Add(-m.maxAge)) && !m.replica.Covers(c.pos) {
			rt.Fatalf("a replica at %v is read by a sample of %v, %v old, without commit %v that was acknowledged %v ago",
				m.replica, required.pos, m.now.Sub(required.takenAt), c.pos, m.now.Sub(c.at))
		}
	}
}

// Guards against a read of data that is older than its route allows, in any order of commits, lost and late responses,
// samples that are passed on, losses of the primary right, and promotions that roll commits back.
func TestSamplesBoundTheAgeOfReads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &boundModel{now: time.Unix(1000, 0), log: position.Position{Term: 1}, right: true, holder: &ackBound{}, maxAge: 500 * time.Millisecond}
		m.holder.gain(m.now)
		steps := []func(){
			func() { m.run(rt, true); m.respond(rt) },
			func() { m.run(rt, true) },
			func() { m.run(rt, false); m.respond(rt) },
			func() { m.respond(rt) },
			func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond) },
			func() { m.fetch(rt); m.receiveSample(rt) },
			func() { m.fetch(rt) },
			func() { m.replicate(rt) },
			func() { m.lose() },
			func() { m.gain(rt) },
			func() { m.gain(rt) },
		}
		for range 100 {
			if m.right && rapid.Bool().Draw(rt, "tick") {
				m.confirm()
			}
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			m.read(rt, 0)
			m.read(rt, 1)
		}
	})
}
