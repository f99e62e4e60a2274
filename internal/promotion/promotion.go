// Package promotion decides, for one service, when its primary is replaced and by which target. It has
// no I/O: Step takes what the leader knows and returns the next action, whose outcome the leader notes
// with one of the other methods.
//
// Safety rests on three rules. An order is given only once no host can do work that needs the old
// primary. Its fencing token and its target are recorded in the replicated log before it is given, and
// no primary is served while a recorded order has no recorded outcome, because an order without an
// answer may be carried out late. The target is chosen from the positions of so many paused replicas
// that each acknowledged commit is at one of them.
package promotion

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/statechart"
)

const (
	// retryPause is the time between two inspections, and before an order is repeated.
	retryPause = 200 * time.Millisecond
	// recordTime is the time for a proposal to change the record.
	recordTime = 2 * time.Second
	// Cooldown is how long the outcome of a promotion is left alone before silence or stuck commits cause
	// the next one: a promoted target rolls its replicas back first.
	Cooldown = 3 * time.Second
)

// Record is the replicated state of a service's promotions.
type Record struct {
	Primary   string // empty: none yet
	Candidate string // of an order without a recorded outcome; empty: none is pending
	Token     uint64 // fencing token of the last order
}

// Input is what the leader knows at Now.
type Input struct {
	Now                  time.Time
	Record               Record
	PrimaryGone          bool // the primary is gone
	PrimaryLeaving       bool // the primary is about to end
	CommitsStalled       bool // its holder reports commits that wait for replicas
	HolderReportsSilence bool // its holder reports silence
	PrimaryFree          bool // no host can do work that needs the primary
}

// Action is what the leader has to do next.
type Action string

// The actions.
const (
	None          Action = ""
	Probe         Action = "probe"        // ask the primary for its status; note with Probed
	AvoidHolder   Action = "avoid_holder" // give the primary's lease to another host
	Inspect       Action = "inspect"      // pause the replicas, ask all; note with Inspected
	Resume        Action = "resume"       // let paused replicas receive again
	Order         Action = "order"        // record a token and order the promotion of Choice; note with Ordered
	Confirm       Action = "confirm"      // ask Choice whether it is the primary; note with Confirmed
	RecordPrimary Action = "record"       // record Choice as the primary
)

var chart = mustLoadChart()

// mustLoadChart panics on a chart that doesn't fit the code, which the package's tests would show.
func mustLoadChart() *statechart.Chart {
	c, err := statechart.Load("group_promotion")
	if err != nil {
		panic(err)
	}
	return c
}

// Machine holds the volatile decisions about one service. It is not safe for concurrent use.
type Machine struct {
	state   *statechart.Machine
	since   time.Time // of the state
	calm    time.Time // silence and stuck commits count from then on
	choice  string
	outcome string // event noted for the running action
}

// New returns the machine of a service.
func New() *Machine { return &Machine{state: chart.New()} }

// State returns the name of the present state.
func (m *Machine) State() string { return m.state.State() }

// OrderedTarget returns the target that the running order is for.
func (m *Machine) OrderedTarget() string { return m.choice }

// Serving reports whether a host may do work that needs the recorded primary.
func (m *Machine) Serving() bool { return m.State() == "steady" || m.State() == "probing" }

// RecordProbe notes whether the leader reached the primary.
func (m *Machine) RecordProbe(ok bool) { m.note(ok, "probe_answered", "probe_failed") }

// RecordInspection notes the outcome of an inspection: the target to promote, if there is one, or whether the
// recorded primary can go on.
func (m *Machine) RecordInspection(choice string, stillPrimary bool) {
	if stillPrimary {
		m.outcome = "still_primary"
		return
	}
	m.choice = choice
	m.note(choice != "", "chosen", "not_chosen")
}

// RecordOrder notes that the order was given; refused means that it won't be carried out.
func (m *Machine) RecordOrder(refused bool) { m.note(!refused, "ordered", "refused") }

// RecordConfirmation notes whether the promoted target is the primary.
func (m *Machine) RecordConfirmation(ok bool) { m.note(ok, "confirmed", "unconfirmed") }

func (m *Machine) note(ok bool, yes, no string) {
	m.outcome = no
	if ok {
		m.outcome = yes
	}
}

// events in the order of the chart, with what they stand for.
func (m *Machine) holds(event string, in *Input) bool {
	calm := !in.Now.Before(m.calm)
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
		return in.CommitsStalled && calm
	case "primary_silent":
		return in.HolderReportsSilence && calm
	case "primary_back":
		return !in.HolderReportsSilence
	case "primary_free":
		return in.PrimaryFree
	case "retry_due":
		return in.Now.Sub(m.since) >= m.patience()
	default:
		return event == m.outcome
	}
}

func (m *Machine) patience() time.Duration {
	if m.State() == "recording" {
		return recordTime
	}
	return retryPause
}

// Step returns the next action. It must be called after each change of its input and at least every
// 100 ms.
func (m *Machine) Step(in Input) Action {
	for _, event := range chart.Events() {
		if !m.holds(event, &in) {
			continue
		}
		before := m.State()
		if _, _, ok := chart.Next(before, event); !ok {
			continue
		}
		actions, err := m.state.Fire(event)
		if err != nil {
			panic(fmt.Sprintf("promotion: %v", err)) // Next has found the transition
		}
		m.enter(in.Now, before)
		if len(actions) == 0 {
			return None
		}
		return Action(actions[0])
	}
	return None
}

func (m *Machine) enter(now time.Time, before string) {
	m.outcome = ""
	m.since = now
	if m.State() == "steady" && before != "probing" {
		m.calm = now.Add(Cooldown)
	}
	if m.State() == "steady" && before == "probing" {
		m.calm = now.Add(retryPause)
	}
}
