package failover

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// Record is the replicated state of a service.
type Record struct {
	Owner           lease.Owner // zero if the service never had an owner
	Term            uint64
	Primary         string // primary of Term; empty while Elect is set and before the first election
	ElectionPending bool   // an election at Term is pending: the owner has to promote a target
}

// Host is an entry host that has renewed within HostSilence.
type Host struct {
	Name           string
	BootID         string
	Place          string
	Draining       bool
	FirstRenewedAt time.Time // first renewal by this process that the leader received
	Services       int       // number of services that it owns
}

// Report is the latest report that the recorded owner has sent in the recorded epoch.
type Report struct {
	At      time.Time
	Term    uint64
	Primary string
	Targets []wire.TargetReport
}

// Input is the state of a service as the control leader knows it at Now.
type Input struct {
	Now          time.Time
	Record       Record
	LeaseFree    bool // the recorded owner's lease has been returned or has expired
	Hosts        []Host
	Report       *Report           // nil if there is none yet
	Databases    int               // of the service in the catalog; 0 if the service was deleted
	Places       map[string]string // place of each target
	MayRebalance bool
}

// Kind is the type of an Action.
type Kind uint8

// Action kinds.
const (
	Probe         Kind = iota + 1 // ask Host whether it reaches Target
	Assign                        // make Host the owner in the next epoch, at Term
	Elect                         // order the current owner to hold an election at Term
	RecordPrimary                 // record Target as the primary of Term
)

// Action is an action for the control leader to carry out.
type Action struct {
	Kind            Kind
	Host            string
	BootID          string
	Target          string // for Elect and Assign: the preferred target, may be empty
	Term            uint64
	ElectionPending bool // for Assign: the new owner has to hold an election at Term
}

// Machine is the failover state machine of one service. Its state is volatile: a new control leader
// starts with a new Machine. It is not safe for concurrent use.
type Machine struct {
	phase   Phase
	since   time.Time // start of the phase
	changed time.Time // last change of the record
	record  Record

	asked    map[string]bool // hosts probed from since the primary was suspected
	prober   string          // host that the last probe was sent to
	probedAt time.Time
	opinion  *bool // whether prober reaches the primary; nil until it has answered

	oddSince   time.Time // start of the current primaryMismatch; zero if there is none
	movedAt    time.Time // last release because the owner doesn't reach its targets
	to         string    // preferred next owner; empty for any
	electNext  bool      // the next owner has to hold an election
	promote    string    // target of the planned promotion, or ""
	promoteFor time.Time // when the planned promotion was requested
}

// New returns the state machine of a service whose record the leader has loaded or created at now.
func New(now time.Time, record Record) *Machine {
	m := &Machine{record: record, changed: now, since: now}
	m.phase = m.settled(record)
	return m
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Renewable reports whether the owner's lease may be renewed.
func (m *Machine) Renewable() bool { return m.phase != Releasing }

// RequestPromotion requests a planned promotion of a target.
func (m *Machine) RequestPromotion(now time.Time, target string) {
	m.promote = target
	m.promoteFor = now
}

// RecordProbe handles the result of a Probe action: whether host reaches target. It ignores results that are
// not for the current probe.
func (m *Machine) RecordProbe(host, target string, reachable bool) {
	if m.phase == Suspect && host == m.prober && target == m.record.Primary {
		m.opinion = &reachable
	}
}

// initialPhase returns the phase that follows from the record alone.
func (m *Machine) settled(r Record) Phase {
	if r.ElectionPending {
		return Electing
	}
	return Steady
}

// Step returns the actions to carry out next. It must be called after each change of its input and at
// least every 100 ms. A later step repeats an action that has failed.
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

// observe updates the state after changes of the record and of the owner's report.
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

// freshReport returns the owner's report if it is recent, else nil.
func (m *Machine) fresh(in *Input) *Report {
	if in.Report == nil || in.Now.Sub(in.Report.At) > reportFreshness {
		return nil
	}
	return in.Report
}

// primaryMismatch reports whether the owner's report contradicts the record: the recorded primary is a
// replica, or a target has a higher term than the recorded one.
func (m *Machine) odd(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Record.ElectionPending || in.Record.Primary == "" {
		return false
	}
	for _, t := range r.Targets {
		if t.Term > in.Record.Term && t.SilentFor < Detection {
			return true
		}
		if t.Target == in.Record.Primary && t.SilentFor < Detection && t.Role == "replica" {
			return true
		}
	}
	return false
}

// primaryTimedOut reports whether the owner has received no answer from the recorded primary for
// Detection. A primary that the report doesn't list gets twice that time from the last change of the
// record.
func (m *Machine) silent(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Record.Primary == "" || in.Record.ElectionPending {
		return false
	}
	for _, t := range r.Targets {
		if t.Target == in.Record.Primary {
			return t.SilentFor >= Detection
		}
	}
	return in.Now.Sub(m.changed) >= 2*Detection
}

// primaryResponsive reports whether the recorded primary has answered the owner within balanceSilence.
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

// reachesMajority reports whether the owner reaches a majority of the service's databases.
func (m *Machine) majority(in *Input) bool {
	r := m.fresh(in)
	if r == nil || in.Databases == 0 {
		return false
	}
	reached := 0
	for _, t := range r.Targets {
		if t.SilentFor < Detection {
			reached++
		}
	}
	return reached > in.Databases/2
}

// nextTerm returns a term that is higher than the recorded and all reported ones.
func (m *Machine) nextTerm(in *Input) uint64 {
	term := in.Record.Term
	if in.Report != nil {
		for _, t := range in.Report.Targets {
			term = max(term, t.Term)
		}
	}
	return term + 1
}
