// Package failover decides which host owns a service and when another of its targets is promoted. It does
// no I/O: Step takes the state that the control leader knows and returns actions.
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
	Detection    = 1 * time.Second        // without an answer from a primary until it is suspected
	ProbeTimeout = 500 * time.Millisecond // for a probe of the primary by another host
	LeaseExpiry  = 3300 * time.Millisecond
	Promotion    = 1 * time.Second
	RouteChange  = 500 * time.Millisecond // until the entry hosts use the new owner
	TotalBudget  = 17 * time.Second       // for the whole failover
)

// This fails to compile if the sum of the steps exceeds the limit.
const _ = uint64(TotalBudget - (Detection + ProbeTimeout + LeaseExpiry + Promotion + RouteChange))

const (
	// HostRenewalTimeout is the time without a renewal after which a host is assigned no further services.
	HostRenewalTimeout = 1500 * time.Millisecond

	electionPatience = 3 * time.Second        // until a pending election moves to another host
	moveInterval     = 3 * time.Second        // between two moves because the owner doesn't reach its targets
	steadyTime       = 10 * time.Second       // since the last change of the record, until a service is rebalanced
	hostTrial        = 5 * time.Second        // uptime of a host until services are rebalanced to it
	promoteTimeout   = 5 * time.Second        // until a planned promotion that can't start is dropped
	reportFreshness  = 1 * time.Second        // maximum age of the owner's report
	proposalTime     = 1 * time.Second        // until a proposal that has not changed the record is repeated
	maxProbes        = 2                      // hosts to probe from until the owner's report alone decides
	balanceGap       = 2                      // difference in owned services that justifies rebalancing
	balanceSilence   = 300 * time.Millisecond // within which the primary must have answered for rebalancing
)

// Phase is the state of a service in the chart service_failover.
type Phase uint8

// Phases.
const (
	Steady    Phase = iota // the owner holds its lease or may renew it
	Suspect                // the owner doesn't reach the primary; other hosts probe it
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

type row struct {
	next Phase
	act  action // nil if there is none
}

// chart holds the transitions of the embedded chart service_failover by phase and event. An event
// without an entry is ignored in that phase.
var chart = mustLoadChart()

// mustLoadChart panics if the embedded chart does not match the code. Any test of this package detects
// that.
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
