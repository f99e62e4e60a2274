// Package failover decides, for one service, which host owns it and when another target is
// promoted. It has no I/O: Step takes what the leader knows and returns actions.
//
// Safety doesn't depend on this package alone: the lease table says when a lease is free, and the
// replicated state machine accepts only actions that build on the recorded epoch and term.
package failover

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/statechart"
)

// The budget of a failover, from the fault to the first acknowledged write.
const (
	DetectionTimeout = 1 * time.Second        // silence of a primary before it is suspected
	ProbeTimeout     = 500 * time.Millisecond // for one probe by another host
	LeaseExpiry      = 3300 * time.Millisecond
	Promotion        = 1 * time.Second
	RouteChange      = 500 * time.Millisecond
	TotalBudget      = 17 * time.Second
)

// The conversion fails to compile when the budget exceeds the limit.
const _ = uint64(TotalBudget - (DetectionTimeout + ProbeTimeout + LeaseExpiry + Promotion + RouteChange))

const (
	// HostRenewalTimeout is how long a host may miss renewals before it gets no new service.
	HostRenewalTimeout = 1500 * time.Millisecond

	electionPatience = 3 * time.Second  // before a pending election moves to another host
	moveInterval     = 3 * time.Second  // between moves for the sake of reachability
	steadyTime       = 10 * time.Second // without a change, before a service is moved for balance
	hostTrial        = 5 * time.Second  // a host serves this long before services move to it for balance
	promoteTimeout   = 5 * time.Second  // before a planned promotion that can't start is dropped
	reportFreshness  = 1 * time.Second
	proposalTime     = 1 * time.Second // for a proposal to change the record, before it is repeated
	maxProbes        = 2               // hosts that are asked before the owner's own view decides
	balanceGap       = 2               // difference in services that justifies a move
	balanceSilence   = 300 * time.Millisecond
)

// Phase is what the leader is doing about a service.
type Phase uint8

// The phases.
const (
	Steady    Phase = iota // the owner holds or may renew its lease
	Suspect                // the owner doesn't reach the primary; another host is asked
	Releasing              // the owner's lease is no longer renewed; waiting for its end
	Electing               // the owner is to promote a target
)

// String returns the name used in logs and in the status.
func (p Phase) String() string {
	return [...]string{"steady", "suspect", "releasing", "electing"}[p]
}

// event is what a step has found. The order is that of the chart's events.
type event uint8

const (
	leaseFree event = iota
	mustHandOver
	elected
	electionStuck
	primaryBack
	otherReaches
	ownerCut
	allAgree
	probeTimeout
	primarySilent
	needsElection
	promotion
	imbalance
	eventCount
)

// String returns the name used in the chart.
func (e event) String() string {
	return [...]string{
		"lease_free", "must_hand_over", "elected", "election_stuck", "primary_back", "other_reaches",
		"owner_cut", "all_agree", "probe_timeout", "primary_silent", "needs_election", "promotion", "imbalance",
	}[e]
}

// action carries out a transition's action by its name in the chart.
type action func(*Machine, *Input) []Action

func actions() map[string]action {
	return map[string]action{
		"assign":           (*Machine).assign,
		"elect":            (*Machine).elect,
		"probe":            (*Machine).probe,
		"record_primary":   (*Machine).recordPrimary,
		"release":          (*Machine).release,
		"release_to_elect": (*Machine).releaseToElect,
	}
}

type row struct {
	next Phase
	act  action // nil: nothing to do
}

// chart holds the transitions of the embedded chart service_failover by phase and event. An event
// without a row is ignored in that phase.
var chart = mustLoadChart()

// mustLoadChart panics on a chart that doesn't fit the code, which the package's tests would show.
func mustLoadChart() map[Phase]map[event]row {
	c, err := statechart.Load("service_failover")
	if err != nil {
		panic(err)
	}
	phases := map[string]Phase{}
	for p := Steady; p <= Electing; p++ {
		phases[p.String()] = p
	}
	rows := map[Phase]map[event]row{}
	for name, p := range phases {
		rows[p] = map[event]row{}
		for e := event(0); e < eventCount; e++ {
			next, names, ok := c.Next(name, e.String())
			if !ok {
				continue
			}
			rows[p][e] = row{next: phases[next], act: mustFind(names)}
		}
	}
	return rows
}

func mustFind(names []string) action {
	if len(names) == 0 {
		return nil
	}
	act, ok := actions()[names[0]]
	if !ok || len(names) > 1 {
		panic(fmt.Sprintf("chart service_failover: unknown actions %q", names))
	}
	return act
}
