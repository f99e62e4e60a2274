// Package promotion decides when the primary of a deployed service is replaced and by which target. It does no
// I/O: Step takes the state that the control leader knows and returns the next action. The leader carries it
// out and reports the result through one of the other methods.
//
// A deployed service has no owner that could hold an election, as a service of the catalog has (see package
// failover). Its targets have leases with a holder each, and the control leader orders the promotion itself.
//
// Safety rests on three rules:
//
//   - A promotion is ordered only once the old primary is fenced: no host can still do work that needs it,
//     because the primary right that goes with the target's lease has expired or was returned.
//   - The fencing token and the target of an order are recorded in the replicated log before the order is
//     sent. No primary is served while a recorded order has no recorded outcome, because an order without
//     an answer may still be carried out later. The next order names the same target if that is possible. If it
//     doesn't, the outcome is only known supersedeTime after the platform has accepted it: until then an earlier order
//     that was accepted before may be carried out.
//   - The target is chosen by the positions of enough paused replicas that each acknowledged commit is at
//     one of them.
package promotion

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/statechart"
)

const (
	// retryInterval is the delay before an inspection or a promotion order is repeated.
	retryInterval = 200 * time.Millisecond
	// supersedeTime is longer than any promotion takes once the platform has accepted its order: some hundred milliseconds,
	// and up to a second in known deployments.
	supersedeTime = 2 * time.Second
	// recordTimeout is how long to wait for a proposal to change the record.
	recordTimeout = 2 * time.Second
	// Cooldown is the time after a promotion during which a silent primary or stalled commits do not cause
	// another one: a promoted target rolls its replicas back first.
	Cooldown = 3 * time.Second
)

// Record is the replicated state of a service's promotions.
type Record struct {
	Primary   string // empty if there is none yet
	Candidate string // target of an order without a recorded outcome; empty if none is pending
	Token     uint64 // fencing token of the last order
	Contested bool   // orders for other targets than Candidate may be carried out as well
}

// Input is the state of a service as the control leader knows it at Now.
type Input struct {
	Now                  time.Time
	Record               Record
	PrimaryGone          bool // the primary has failed for good, or there is none
	PrimaryLeaving       bool // the primary's process is about to shut down
	CommitsStalled       bool // the holder of the primary's lease reports commits that wait for replicas
	HolderReportsSilence bool // the holder of the primary's lease reports that the primary doesn't answer
	PrimaryFree          bool // the primary is fenced: no host can still do work that needs it
}

// Action is the next action for the control leader to carry out. Its value is the name in the chart.
type Action string

// Actions.
const (
	None          Action = ""
	Probe         Action = "probe"        // query the primary's status; then call RecordProbe
	AvoidHolder   Action = "avoid_holder" // reassign the primary's lease to another host
	Inspect       Action = "inspect"      // pause the replicas, query all targets; then call RecordInspection
	Resume        Action = "resume"       // resume paused replicas
	Order         Action = "order"        // record a token, order the promotion of OrderedTarget; then call RecordOrder
	Confirm       Action = "confirm"      // query whether OrderedTarget is the primary; then call RecordConfirmation
	RecordPrimary Action = "record"       // record OrderedTarget as the primary
)

var chart = mustLoadChart()

// mustLoadChart panics if the embedded chart is invalid. Any test of this package detects that.
func mustLoadChart() *statechart.Chart {
	c, err := statechart.Load("group_promotion")
	if err != nil {
		panic(err)
	}
	return c
}

// Machine is the promotion state machine of one service. Its state is volatile: a new control leader starts with
// a new Machine. The methods RecordProbe to RecordConfirmation only store a result in it for the next Step; the
// replicated Record is changed by the control leader. It is not safe for concurrent use.
type Machine struct {
	state         *statechart.Machine
	stateSince    time.Time // start of the state
	cooldownEnd   time.Time // a silent primary and stalled commits are ignored until then
	orderedTarget string    // target chosen by the last inspection
	result        string    // the event that the result of the current action stands for; empty until it is reported
}

// New returns a Machine in the steady state.
func New() *Machine { return &Machine{state: chart.New()} }

// State returns the name of the current state.
func (m *Machine) State() string { return m.state.State() }

// OrderedTarget returns the target that the last inspection has chosen for promotion, or has found to be the primary
// already.
func (m *Machine) OrderedTarget() string { return m.orderedTarget }

// Serving reports whether hosts may do work that needs the recorded primary.
func (m *Machine) Serving() bool { return m.State() == "steady" || m.State() == "probing" }

// RecordProbe passes the result of Probe to the machine: whether the leader reached the primary.
func (m *Machine) RecordProbe(ok bool) { m.setResult(ok, "probe_answered", "probe_failed") }

// RecordInspection passes the result of Inspect to the machine.
func (m *Machine) RecordInspection(d Decision) {
	switch {
	case d.StillPrimary:
		m.result = "still_primary"
	case d.Successor != "":
		m.orderedTarget, m.result = d.Successor, "succeeded"
	default:
		m.orderedTarget = d.Order.Target
		m.setResult(d.Order.Target != "", "chosen", "not_chosen")
	}
}

// RecordOrder passes the result of Order to the machine. refused means that the order will not be carried out, or
// was not accepted although the record is contested. Otherwise an order that was sent but not answered is not refused.
func (m *Machine) RecordOrder(refused bool) { m.setResult(!refused, "ordered", "refused") }

// RecordConfirmation passes the result of Confirm to the machine: whether the promoted target is the primary.
func (m *Machine) RecordConfirmation(ok bool) { m.setResult(ok, "confirmed", "unconfirmed") }

func (m *Machine) setResult(ok bool, success, failure string) {
	m.result = failure
	if ok {
		m.result = success
	}
}

// conditionMet reports whether the condition of an event is met.
func (m *Machine) conditionMet(event string, in *Input) bool {
	cooledDown := !in.Now.Before(m.cooldownEnd)
	switch event {
	case "order_pending":
		return in.Record.Candidate != ""
	case "recorded":
		return in.Record.Candidate == ""
	case "primary_lost":
		return in.PrimaryGone
	case "primary_leaving":
		return in.PrimaryLeaving
	case "primary_stuck":
		return in.CommitsStalled && cooledDown
	case "primary_silent":
		return in.HolderReportsSilence && cooledDown
	case "primary_back":
		return !in.HolderReportsSilence
	case "primary_free":
		return in.PrimaryFree
	case "superseded":
		return in.Now.Sub(m.stateSince) >= supersedeTime
	case "ordered":
		return m.result == event && !in.Record.Contested
	case "ordered_contested":
		return m.result == "ordered" && in.Record.Contested
	case "retry_due":
		return in.Now.Sub(m.stateSince) >= m.retryDelay()
	default:
		return event == m.result
	}
}

// retryDelay returns how long the machine stays in the current state before retry_due.
func (m *Machine) retryDelay() time.Duration {
	if m.State() == "recording" {
		return recordTimeout
	}
	return retryInterval
}

// Step returns the next action. It must be called after each change of its input and at least every
// 100 ms.
func (m *Machine) Step(in Input) Action {
	for _, event := range chart.Events() {
		if !m.conditionMet(event, &in) {
			continue
		}
		before := m.State()
		if _, _, ok := chart.Next(before, event); !ok {
			continue
		}
		actions, err := m.state.Fire(event)
		if err != nil {
			panic(fmt.Sprintf("promotion: %v", err)) // unreachable: Next has found the transition
		}
		m.enterState(in.Now, before)
		if len(actions) == 0 {
			return None
		}
		return Action(actions[0])
	}
	return None
}

func (m *Machine) enterState(now time.Time, previous string) {
	m.result = ""
	m.stateSince = now
	if m.State() == "steady" && previous != "probing" {
		m.cooldownEnd = now.Add(Cooldown)
	}
	if m.State() == "steady" && previous == "probing" {
		m.cooldownEnd = now.Add(retryInterval)
	}
}
