// Package failover decides, for one service, which host owns it and when another target is
// promoted. It has no I/O: Step takes what the leader knows and returns actions.
//
// Safety doesn't depend on this package alone: the lease table says when a lease is free, and the
// replicated state machine accepts only actions that build on the recorded epoch and term.
package failover

import "time"

// The budget of a failover, from the fault to the first acknowledged write.
const (
	Detection     = 1 * time.Second        // silence of a primary before it is suspected
	SecondOpinion = 500 * time.Millisecond // for one probe by another host
	LeaseExpiry   = 3300 * time.Millisecond
	Promotion     = 1 * time.Second
	RouteChange   = 500 * time.Millisecond
	Limit         = 17 * time.Second
)

// The conversion fails to compile when the budget exceeds the limit.
const _ = uint64(Limit - (Detection + SecondOpinion + LeaseExpiry + Promotion + RouteChange))

const (
	// HostSilence is how long a host may miss renewals before it gets no new service.
	HostSilence = 1500 * time.Millisecond

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

// event is what a step has found.
type event uint8

const (
	leaseFree     event = iota // returned, expired, or the service never had an owner
	mustHandOver               // the owner drains, or the service was deleted
	elected                    // the owner reports the outcome of the election
	electionStuck              // no outcome in time and another host is available
	primaryBack                // the suspected primary answers again
	otherReaches               // another host reaches the primary
	ownerCut                   // as allAgree, and the owner reaches no majority while another host is there
	allAgree                   // another host doesn't reach it either, or none can be asked
	probeTimeout               // the other host doesn't answer; a further one can be asked
	primarySilent              // the owner reports silence for Detection
	needsElection              // no primary recorded, or it is no longer one
	promotion                  // planned by an operator
	imbalance                  // another host suits better
	eventCount
)

type row struct {
	next Phase
	act  func(*Machine, *Input) []Action
}

// chart says what each phase does about each event. An event without a row is ignored in that
// phase; a lease can end in any of them. Events are looked up in the order of their declaration; the first that holds counts.
var chart = map[Phase]map[event]row{
	Steady: {
		leaseFree:     {Steady, (*Machine).assign},
		mustHandOver:  {Releasing, (*Machine).release},
		primarySilent: {Suspect, (*Machine).probe},
		needsElection: {Electing, (*Machine).elect},
		promotion:     {Electing, (*Machine).elect},
		imbalance:     {Releasing, (*Machine).release},
	},
	Suspect: {
		leaseFree:    {Steady, (*Machine).assign},
		mustHandOver: {Releasing, (*Machine).release},
		primaryBack:  {Steady, (*Machine).nothing},
		otherReaches: {Releasing, (*Machine).release},
		ownerCut:     {Releasing, (*Machine).releaseToElect},
		allAgree:     {Electing, (*Machine).elect},
		probeTimeout: {Suspect, (*Machine).probe},
	},
	Releasing: {
		leaseFree: {Releasing, (*Machine).assign},
	},
	Electing: {
		leaseFree:     {Electing, (*Machine).assign},
		mustHandOver:  {Releasing, (*Machine).release},
		elected:       {Electing, (*Machine).recordPrimary},
		electionStuck: {Releasing, (*Machine).release},
	},
}
