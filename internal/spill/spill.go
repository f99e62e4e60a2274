// Package spill decides when a statement that several targets could run leaves the place of its entry host.
//
// An entry host estimates the time to a reply from each target and adds the cost of traffic between places. It sends
// the statement to the cheapest target, and with it the queue wait from which the next best one would be cheaper. The
// holder of the target knows its queue exactly, and declines the statement if the wait is longer. So only the excess
// of a place leaves it, the other place takes no more than it can serve sooner, and neither depends on reports that
// are late by the time between two statements of a host.
package spill

import "time"

// Parts is the cost of a target for one statement: the expected time to its reply, without the time that the
// statement runs, and penalties in the same unit.
type Parts struct {
	Path     time.Duration // round trip to the holder of the target
	Wait     time.Duration // queue wait at the target
	InFlight time.Duration // wait behind this host's statements that the announced queue wait may not contain
	Failures time.Duration // time that a failed attempt would take, if one is likely
	Reserve  time.Duration // penalty that keeps capacity for statements that need this target
	Traffic  time.Duration // cost of traffic between places
}

// Delay returns the expected time to a reply, without penalties.
func (p Parts) Delay() time.Duration { return p.Path + p.Wait + p.InFlight + p.Failures }

// Total returns the sum of all parts.
func (p Parts) Total() time.Duration { return p.Delay() + p.Reserve + p.Traffic }

// Candidate is a target that could run the statement.
type Candidate struct {
	Parts
	Home bool          // in the place of the entry host
	Tie  time.Duration // random amount that spreads statements over candidates of equal cost
}

const (
	// objectiveShare is the share of a route's latency objective that a statement must save to be worth traffic
	// between places, if the operator has set no cost. A smaller saving hardly changes what callers see.
	objectiveShare = 4
	// timeoutShare replaces it on routes without an objective, as a share of the timeout.
	timeoutShare = 8
)

// TrafficCost returns the time that a statement must save to be sent to another place: the operator's setting, or, if
// that is nil, a share of the route's latency objective or timeout.
func TrafficCost(setting *time.Duration, objective, timeout time.Duration) time.Duration {
	switch {
	case setting != nil:
		return *setting
	case objective > 0:
		return objective / objectiveShare
	default:
		return timeout / timeoutShare
	}
}

// ChargeTraffic returns the parts of a target in another place with the cost of traffic. The cost is bounded so that a
// target that replies within the objective costs no more than one at home that does not.
func ChargeTraffic(p Parts, cost, objective time.Duration) Parts {
	if slack := objective - p.Delay(); slack > 0 {
		cost = min(cost, slack)
	}
	p.Traffic = cost
	return p
}

// Reason tells why a statement stays in its place or leaves it.
type Reason string

// The reasons of a choice.
const (
	Home    Reason = "home"    // stays in its place
	NoHome  Reason = "none"    // its place has no usable target
	Failing Reason = "failing" // the target at home fails part of its statements, or is unreachable
	Late    Reason = "late"    // it would miss the route's objective at home
	Sooner  Reason = "sooner"  // the time saved exceeds the cost of traffic
	Primary Reason = "primary" // it needs the primary, which is in another place; Choose doesn't return it
)

// Reasons lists all reasons.
var Reasons = []Reason{Home, NoHome, Failing, Late, Sooner, Primary}

// Choose returns the index of the candidate with the least cost and the reason of the choice. There must be at least
// one candidate.
func Choose(candidates []Candidate, objective time.Duration) (int, Reason) {
	best := cheapest(candidates, func(int) bool { return true })
	home := cheapest(candidates, func(i int) bool { return candidates[i].Home })
	switch {
	case candidates[best].Home:
		return best, Home
	case home < 0:
		return best, NoHome
	case candidates[home].Failures > 0:
		return best, Failing
	case objective > 0 && candidates[home].Delay() > objective:
		return best, Late
	default:
		return best, Sooner
	}
}

// cheapest returns the index of the allowed candidate with the least cost, or -1 if none is allowed.
func cheapest(candidates []Candidate, allowed func(int) bool) int {
	best := -1
	for i, c := range candidates {
		if allowed(i) && (best < 0 || c.Total()+c.Tie < candidates[best].Total()+candidates[best].Tie) {
			best = i
		}
	}
	return best
}

// DeclineAbove returns the queue wait at the chosen candidate from which the best of the others is cheaper, although a
// declined statement has lost one round trip. It returns 0 if there is no other candidate.
func DeclineAbove(candidates []Candidate, chosen int) time.Duration {
	next := cheapest(candidates, func(i int) bool { return i != chosen })
	if next < 0 {
		return 0
	}
	c := candidates[chosen]
	return max(candidates[next].Total()-(c.Total()-c.Wait-c.InFlight)+c.Path, 1) // 0 would mean that there is none
}

// Declines reports whether a holder declines a statement with the given expected queue wait and DeclineAbove.
func Declines(wait, above time.Duration) bool { return above > 0 && wait > above }

// waitDecay is the half-life of an announced queue wait.
const waitDecay = 100 * time.Millisecond

// Announced is the queue wait that the last reply from a target has announced.
type Announced struct {
	Last time.Duration
	at   time.Time
}

// Record records an announced wait.
func (a *Announced) Record(now time.Time, wait time.Duration) { a.Last, a.at = wait, now }

// Wait returns what is left of the announced wait, which halves with each waitDecay.
func (a *Announced) Wait(now time.Time) time.Duration {
	age := now.Sub(a.at)
	if age >= 8*waitDecay {
		return 0
	}
	return a.Last >> uint(age/waitDecay)
}

// Window is how long a Path remembers a round trip at most; at least half of it.
const Window = 20 * time.Second

// Path is the least round trip measured in the last Window. The least one contains no queues and retransmissions.
type Path struct {
	current, previous time.Duration // 0: none
	since             time.Time     // start of current
}

// Record records a round trip: the time to a reply without the time that the holder had the statement.
func (p *Path) Record(now time.Time, roundTrip time.Duration) {
	p.advance(now)
	roundTrip = max(roundTrip, time.Microsecond)
	if p.current == 0 || roundTrip < p.current {
		p.current = roundTrip
	}
}

// RoundTrip returns the least round trip, or 0 if none is known.
func (p *Path) RoundTrip(now time.Time) time.Duration {
	p.advance(now)
	if p.previous > 0 && (p.current == 0 || p.previous < p.current) {
		return p.previous
	}
	return p.current
}

func (p *Path) advance(now time.Time) {
	switch age := now.Sub(p.since); {
	case age >= Window:
		*p = Path{since: now}
	case age >= Window/2:
		*p = Path{previous: p.current, since: now}
	}
}
