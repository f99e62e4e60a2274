package failover

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// Record is the replicated state of a service.
type Record struct {
	Owner           lease.Owner // last recorded owner; zero if there never was one
	Term            uint64
	Primary         string // primary of Term; empty before the first election and while one is pending
	ElectionPending bool   // the owner has to hold an election at Term: to promote a target
}

// Host is an entry host whose last renewal is at most HostRenewalTimeout old.
type Host struct {
	Name           string
	BootID         string
	Place          string
	Draining       bool
	FirstRenewedAt time.Time // when the leader received the first renewal with this BootID
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
	Databases    int               // number of targets that the catalog configures; 0 if the service was deleted
	Places       map[string]string // place of each target
	MayRebalance bool
}

// ActionKind is the type of an Action.
type ActionKind uint8

// Action kinds.
const (
	Probe         ActionKind = iota + 1 // have Host probe Target, then call RecordProbe
	Assign                              // make Host the owner in the next epoch, at Term
	Elect                               // order the current owner to hold an election at Term
	RecordPrimary                       // record Target as the primary of Term
)

// Action is an action for the control leader to carry out.
type Action struct {
	Kind            ActionKind
	Host            string
	BootID          string
	Target          string // target that the kind names; for Elect the preferred one, which may be empty
	Term            uint64
	ElectionPending bool // for Assign: the new owner has to hold an election at Term
}

// Machine is the failover state machine of one service. Its state is volatile: a new control leader
// starts with a new Machine. It is not safe for concurrent use.
type Machine struct {
	phase           Phase
	phaseSince      time.Time // start of the phase
	recordChangedAt time.Time // last change of the record
	record          Record

	probedHosts map[string]bool // hosts probed from since the primary was suspected
	prober      string          // host that the last probe was sent to
	probedAt    time.Time
	probeResult *bool // whether prober reaches the primary; nil until it has answered

	conflictSince             time.Time // since when the report contradicts the record; zero if it doesn't
	lastReachabilityReleaseAt time.Time // last release because the owner didn't reach the primary or a majority
	preferredOwner            string    // preferred next owner; empty for any
	electAfterRelease         bool      // the next owner has to hold an election
	plannedPrimary            string    // target of the planned promotion, or ""
	plannedPromotionAt        time.Time // when the planned promotion was requested
}

// New returns the state machine of a service whose record the leader has loaded or created at now.
func New(now time.Time, record Record) *Machine {
	m := &Machine{record: record, recordChangedAt: now, phaseSince: now}
	m.phase = m.initialPhase(record)
	return m
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Renewable reports whether the owner's lease may be renewed.
func (m *Machine) Renewable() bool { return m.phase != Releasing }

// RequestPromotion requests a planned promotion of a target.
func (m *Machine) RequestPromotion(now time.Time, target string) {
	m.plannedPrimary = target
	m.plannedPromotionAt = now
}

// RecordProbe records the result of a Probe action: whether host reaches target. It ignores results that
// are not for the current probe.
func (m *Machine) RecordProbe(host, target string, reachable bool) {
	if m.phase == Suspect && host == m.prober && target == m.record.Primary {
		m.probeResult = &reachable
	}
}

// initialPhase returns the phase that follows from the record alone.
func (m *Machine) initialPhase(r Record) Phase {
	if r.ElectionPending {
		return Electing
	}
	return Steady
}

// Step returns the actions to carry out next. It must be called after each change of its input and at least
// every 100 ms. If an action has had no effect on the record in time, a later step repeats it.
func (m *Machine) Step(in Input) []Action {
	m.update(&in)
	for ev := event(0); ev < eventCount; ev++ {
		tr, ok := chart[m.phase][ev]
		if !ok || !m.conditionMet(ev, &in) {
			continue
		}
		var actions []Action
		if tr.apply != nil {
			actions = tr.apply(m, &in)
		}
		m.enterPhase(in.Now, tr.next)
		return actions
	}
	return nil
}

// update adapts the machine to changes of the record and of the owner's report, and to timeouts.
func (m *Machine) update(in *Input) {
	if in.Record != m.record {
		ownerChanged := in.Record.Owner != m.record.Owner
		m.record = in.Record
		m.recordChangedAt = in.Now
		m.conflictSince = time.Time{}
		if ownerChanged {
			m.preferredOwner = ""
			m.electAfterRelease = false
		}
		if ownerChanged || m.phase != Releasing {
			m.enterPhase(in.Now, m.initialPhase(in.Record))
		}
	}
	if m.phase == Electing && !in.Record.ElectionPending && in.Now.Sub(m.phaseSince) >= proposalTimeout {
		m.enterPhase(in.Now, Steady)
	}
	switch {
	case !m.reportContradictsRecord(in):
		m.conflictSince = time.Time{}
	case m.conflictSince.IsZero():
		m.conflictSince = in.Now
	}
	if m.plannedPrimary != "" && in.Now.Sub(m.plannedPromotionAt) > plannedPromotionTimeout {
		m.plannedPrimary = ""
	}
}

func (m *Machine) enterPhase(now time.Time, p Phase) {
	if p == m.phase {
		return
	}
	m.phase = p
	m.phaseSince = now
	if p != Suspect {
		m.probedHosts = nil
		m.prober = ""
		m.probeResult = nil
	}
}

// recentReport returns the owner's report if it is recent, else nil.
func (m *Machine) recentReport(in *Input) *Report {
	if in.Report == nil || in.Now.Sub(in.Report.At) > maxReportAge {
		return nil
	}
	return in.Report
}

// reportContradictsRecord reports whether the owner's recent report contradicts the record: of the targets that
// have answered the owner within DetectionTimeout, the recorded primary is a replica, or any has a higher term
// than the recorded one.
func (m *Machine) reportContradictsRecord(in *Input) bool {
	r := m.recentReport(in)
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

// primaryTimedOut reports whether the owner has received no answer from the recorded primary for
// DetectionTimeout. A primary that the report doesn't list has timed out once 2*DetectionTimeout have passed
// since the last change of the record.
func (m *Machine) primaryTimedOut(in *Input) bool {
	r := m.recentReport(in)
	if r == nil || in.Record.Primary == "" || in.Record.ElectionPending {
		return false
	}
	for _, t := range r.Targets {
		if t.Target == in.Record.Primary {
			return t.SilentFor >= DetectionTimeout
		}
	}
	return in.Now.Sub(m.recordChangedAt) >= 2*DetectionTimeout
}

// primaryResponsive reports whether the recorded primary has answered the owner within
// rebalanceSilenceLimit.
func (m *Machine) primaryResponsive(in *Input) bool {
	r := m.recentReport(in)
	if r == nil {
		return false
	}
	for _, t := range r.Targets {
		if t.Target == in.Record.Primary {
			return t.SilentFor < rebalanceSilenceLimit
		}
	}
	return false
}

// reachesMajority reports whether the owner reaches a majority of the service's targets.
func (m *Machine) reachesMajority(in *Input) bool {
	r := m.recentReport(in)
	if r == nil || in.Databases == 0 {
		return false
	}
	reachable := 0
	for _, t := range r.Targets {
		if t.SilentFor < DetectionTimeout {
			reachable++
		}
	}
	return reachable > in.Databases/2
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
