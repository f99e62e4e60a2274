// Package failover decides which host owns a service of the catalog, and when the owner has to hold an
// election, which promotes one of the service's targets. It does no I/O: Step takes the state that the control
// leader knows and returns actions.
//
// A service of the catalog has an owner: the one host that works at its targets, under a lease of the service.
// A deployed service has none. Each of its targets has a lease of its own, whose holder may be any host, and
// the control leader itself orders promotions; see the packages placement and promotion. Neither election nor
// promotion has to do with the leader election among the control hosts in package consensus.
//
// Safety does not rest on this package alone: the lease table determines when a lease is free, and the
// replicated state machine accepts only actions that are based on the recorded epoch and term.
package failover

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/statechart"
)

// Time budget of a failover, from the fault to the first acknowledged write.
const (
	DetectionTimeout = 1 * time.Second         // without an answer from a primary until it is suspected
	ProbeTimeout     = 500 * time.Millisecond  // for a probe of the primary by another host
	LeaseExpiry      = 3300 * time.Millisecond // until the lease of a failed owner has expired, see lease.ExpiryWait
	Promotion        = 1 * time.Second         // of a target by the owner
	RoutePropagation = 500 * time.Millisecond  // until the entry hosts use the new owner
	TotalBudget      = 17 * time.Second        // for the whole failover
)

// This fails to compile if the sum of the steps exceeds the total budget.
const _ = uint64(TotalBudget - (DetectionTimeout + ProbeTimeout + LeaseExpiry + Promotion + RoutePropagation))

const (
	// HostRenewalTimeout is the time without a renewal after which a host is assigned no further services.
	HostRenewalTimeout = 1500 * time.Millisecond

	electionTimeout                = 3 * time.Second  // until a pending election is moved to another host
	minReachabilityReleaseInterval = 3 * time.Second  // between two releases because the owner doesn't reach its targets
	rebalanceDelay                 = 10 * time.Second // from the last change of the record until rebalancing
	minHostUptime                  = 5 * time.Second  // from the first renewal of a host process until services are rebalanced to it
	plannedPromotionTimeout        = 5 * time.Second  // until a planned promotion that can't start is dropped
	maxReportAge                   = 1 * time.Second  // of the owner's report
	proposalTimeout                = 1 * time.Second  // until a proposal that has not changed the record is repeated
	maxProbes                      = 2                // hosts to probe from; after them the owner's report decides
	minRebalanceGap                = 2                // difference in owned services that justifies rebalancing

	// rebalanceSilenceLimit is the time since the primary's last answer from which on a service isn't
	// rebalanced.
	rebalanceSilenceLimit = 300 * time.Millisecond
)

// Phase is the state of a service in the chart service_failover.
type Phase uint8

// Phases.
const (
	Steady    Phase = iota // the owner may renew its lease, and no failure is suspected
	Suspect                // the owner doesn't reach the primary, which other hosts probe
	Releasing              // the owner's lease is not renewed; waiting for its return or expiry
	Electing               // the owner has been ordered to promote a target
)

// String returns the name of the phase in the chart, in logs and in the status.
func (p Phase) String() string {
	return [...]string{"steady", "suspect", "releasing", "electing"}[p]
}

// event is an event of the chart. The order is that of the chart's events.
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

// String returns the name of the event in the chart.
func (e event) String() string {
	return [...]string{
		"lease_free", "must_hand_over", "elected", "election_stuck", "primary_back", "other_reaches",
		"owner_cut", "all_agree", "probe_timeout", "primary_silent", "needs_election", "promotion", "imbalance",
	}[e]
}

// action implements an action that the chart names.
type action func(*Machine, *Input) []Action

// actions returns the implementations of the chart's actions by name.
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

type transition struct {
	next  Phase
	apply action // nil if there is none
}

// chart holds the transitions of the embedded chart service_failover by phase and event. An event
// without an entry is ignored in that phase.
var chart = mustLoadChart()

// mustLoadChart panics if the embedded chart does not match the code. Any test of this package detects
// that.
func mustLoadChart() map[Phase]map[event]transition {
	c, err := statechart.Load("service_failover")
	if err != nil {
		panic(err)
	}
	phases := map[string]Phase{}
	for p := Steady; p <= Electing; p++ {
		phases[p.String()] = p
	}
	transitions := map[Phase]map[event]transition{}
	for name, p := range phases {
		transitions[p] = map[event]transition{}
		for e := event(0); e < eventCount; e++ {
			next, names, ok := c.Next(name, e.String())
			if !ok {
				continue
			}
			transitions[p][e] = transition{next: phases[next], apply: mustFindAction(names)}
		}
	}
	return transitions
}

func mustFindAction(names []string) action {
	if len(names) == 0 {
		return nil
	}
	act, ok := actions()[names[0]]
	if !ok || len(names) > 1 {
		panic(fmt.Sprintf("chart service_failover: unknown actions %q", names))
	}
	return act
}
