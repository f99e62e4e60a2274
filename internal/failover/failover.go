package failover

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// Record is the replicated state of a service.
type Record struct {
	Owner           lease.Owner // zero: never owned
	Term            uint64
	Primary         string // of Term; empty while Elect is set and before the first election
	ElectionPending bool   // the owner is to promote a target at Term
}

// Host is an entry host that renewed within HostSilence.
type Host struct {
	Name           string
	BootID         string
	Place          string
	Draining       bool
	FirstRenewedAt time.Time // first renewal of this process that the leader has seen
	Services       int       // owned
}

// Report is the latest report of the recorded owner in the recorded epoch.
type Report struct {
	At      time.Time
	Term    uint64
	Primary string
	Targets []wire.TargetReport
}

// Input is what the leader knows at Now.
type Input struct {
	Now          time.Time
	Record       Record
	LeaseFree    bool // no host can hold the recorded owner's lease
	Hosts        []Host
	Report       *Report           // nil: none yet
	Databases    int               // of the service in the catalog; 0: deleted
	Places       map[string]string // place of each target
	MayRebalance bool
}

// Kind is a kind of action.
type Kind uint8

// The kinds of actions.
const (
	Probe         Kind = iota + 1 // ask Host whether it reaches Target
	Assign                        // make Host the owner in the next epoch, at Term
	Elect                         // order an election at Term by the present owner
	RecordPrimary                 // record Target as the primary of Term
)

// Action is one thing for the leader to do.
type Action struct {
	Kind            Kind
	Host            string
	BootID          string
	Target          string // for Elect and Assign: the target to prefer, may be empty
	Term            uint64
	ElectionPending bool // for Assign: the new owner is to promote a target at Term
}

// Machine holds the volatile decisions about one service. It is not safe for concurrent use.
type Machine struct {
	phase   Phase
	since   time.Time // of the phase
	changed time.Time // last change of the record
	record  Record

	asked    map[string]bool // hosts asked about the present suspicion
	prober   string
	probedAt time.Time
	opinion  *bool // answer of prober

	oddSince   time.Time // the recorded primary hasn't looked like one since then; zero: it does
	movedAt    time.Time // last release for the sake of reachability
	to         string    // host that a release is for, empty: any
	electNext  bool      // the next owner must promote a target
	promote    string    // planned promotion
	promoteFor time.Time // when it was asked for
}

// New returns the machine of a service whose record a leader has found or created at now.
func New(now time.Time, record Record) *Machine {
	m := &Machine{record: record, changed: now, since: now}
	m.phase = m.settled(record)
	return m
}

// Phase returns the present phase.
func (m *Machine) Phase() Phase { return m.phase }

// Renewable reports whether the owner's lease may be renewed.
func (m *Machine) Renewable() bool { return m.phase != Releasing }

// RequestPromotion asks for a planned promotion of a target.
func (m *Machine) RequestPromotion(now time.Time, target string) {
	m.promote = target
	m.promoteFor = now
}

// RecordProbe notes the answer of a host that was asked whether it reaches the recorded primary.
func (m *Machine) RecordProbe(host, target string, reachable bool) {
	if m.phase == Suspect && host == m.prober && target == m.record.Primary {
		m.opinion = &reachable
	}
}

// settled is the phase of a record about which nothing else is known.
func (m *Machine) settled(r Record) Phase {
	if r.ElectionPending {
		return Electing
	}
	return Steady
}

// Step returns what to do now. It must be called after each change of its input and at least every
// 100 ms. An action that failed is returned again by a later step.
func (m *Machine) Step(in Input) []Action {
	m.observe(&in)
	for ev := event(0); ev < eventCount; ev++ {
		row, ok := chart[m.phase][ev]
		if !ok || !m.holds(ev, &in) {
			continue
		}
		var actions []Action
		if row.act != nil {
			actions = row.act(m, &in)
		}
		m.enter(in.Now, row.next)
		return actions
	}
	return nil
}

// observe follows changes of the record and of the primary's appearance.
func (m *Machine) observe(in *Input) {
	if in.Record != m.record {
		moved := in.Record.Owner != m.record.Owner
		m.record = in.Record
		m.changed = in.Now
		m.oddSince = time.Time{}
		if moved {
			m.to = ""
			m.electNext = false
		}
		if moved || m.phase != Releasing {
			m.enter(in.Now, m.settled(in.Record))
		}
	}
	if m.phase == Electing && !in.Record.ElectionPending && in.Now.Sub(m.since) >= proposalTime {
		m.enter(in.Now, Steady)
	}
	switch {
	case !m.odd(in):
		m.oddSince = time.Time{}
	case m.oddSince.IsZero():
		m.oddSince = in.Now
	}
	if m.promote != "" && in.Now.Sub(m.promoteFor) > promoteTimeout {
		m.promote = ""
	}
}

func (m *Machine) enter(now time.Time, p Phase) {
	if p == m.phase {
		return
	}
	m.phase = p
	m.since = now
	if p != Suspect {
		m.asked = nil
		m.prober = ""
		m.opinion = nil
	}
}

// fresh returns the owner's report if it is recent, else nil.
func (m *Machine) fresh(in *Input) *Report {
	if in.Report == nil || in.Now.Sub(in.Report.At) > reportFreshness {
		return nil
	}
	return in.Report
}

// odd reports whether the owner's report shows the recorded primary as something else, or shows a
// term above the recorded one.
func (m *Machine) odd(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Record.ElectionPending || in.Record.Primary == "" {
		return false
	}
	for _, t := range r.Targets {
		if t.Term > in.Record.Term && t.SilentFor < DetectionTimeout {
			return true
		}
		if t.Target == in.Record.Primary && t.SilentFor < DetectionTimeout && t.Role == "replica" {
			return true
		}
	}
	return false
}

// silent reports whether the owner has not heard from the recorded primary for Detection.
func (m *Machine) silent(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Record.Primary == "" || in.Record.ElectionPending {
		return false
	}
	for _, t := range r.Targets {
		if t.Target == in.Record.Primary {
			return t.SilentFor >= DetectionTimeout
		}
	}
	return in.Now.Sub(m.changed) >= 2*DetectionTimeout
}

// answering reports whether the owner has heard from the recorded primary a moment ago.
func (m *Machine) answering(in *Input) bool {
	r := m.fresh(in)
	if r == nil {
		return false
	}
	for _, t := range r.Targets {
		if t.Target == in.Record.Primary {
			return t.SilentFor < balanceSilence
		}
	}
	return false
}

// majority reports whether the owner reaches a majority of the service's databases.
func (m *Machine) majority(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Databases == 0 {
		return false
	}
	reached := 0
	for _, t := range r.Targets {
		if t.SilentFor < DetectionTimeout {
			reached++
		}
	}
	return reached > in.Databases/2
}

// nextTerm returns a term above every one that is recorded or reported.
func (m *Machine) nextTerm(in *Input) uint64 {
	term := in.Record.Term
	if in.Report != nil {
		for _, t := range in.Report.Targets {
			term = max(term, t.Term)
		}
	}
	return term + 1
}
