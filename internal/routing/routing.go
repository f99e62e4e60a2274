package routing

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// Roles that targets report.
const (
	RolePrimary  = "primary"
	RoleReplica  = "replica"
	RoleDiverged = "diverged"
)

const (
	// DefaultReplicaWait bounds the wait for a replica to replay up to the floor of a read.
	DefaultReplicaWait = 10 * time.Millisecond
	// UnresponsiveAfter is the age of a target's last status reply above which the target gets no reads.
	UnresponsiveAfter = time.Second
	// loadTolerance is the difference in Load below which two targets count as equally loaded.
	loadTolerance = 0.25
	// lagWeight is the weight of a new value in the moving average of a replica's lag.
	lagWeight = 0.25
)

// Target is the owner's view of one target, from its registration and its last status reply.
type Target struct {
	Name             string
	Place            string
	Labels           map[string]string
	Leaving          bool
	Role             string // RolePrimary, RoleReplica or RoleDiverged
	Term             uint64 // that the target follows
	Received         position.Position
	Applied          position.Position
	StatusSentAt     time.Time     // when the request of the last status reply was sent
	StatusReceivedAt time.Time     // when the last status reply arrived; zero: none yet
	Lag              time.Duration // moving average
	Load             float64       // running and waiting statements per slot
	History          *Samples      // of Applied; nil before the first status reply
}

// historySamples is the number of samples kept of each target's applied position. A read that is older
// than all of them is bounded by the oldest one, which is a looser but valid bound.
const historySamples = 64

// RecordStatus records a status reply that arrived at now, for a request sent at sentAt. primary holds
// samples of the primary's position, from which the lag is computed.
func (t *Target) RecordStatus(sentAt, now time.Time, role string, term uint64, received, applied position.Position, primary *Samples) {
	t.StatusSentAt, t.StatusReceivedAt = sentAt, now
	t.Role, t.Term = role, term
	t.Received, t.Applied = received, applied
	if t.History == nil {
		t.History = NewSamples(historySamples)
	}
	t.History.Add(sentAt, applied)
	if role == RolePrimary {
		return
	}
	lag := time.Duration(0)
	if latest, ok := primary.Latest(); ok && !applied.Covers(latest) {
		age, known := primary.Age(now, applied)
		if !known {
			age = time.Hour // behind all samples; longer than any wait for a replica
		}
		lag = age
	}
	t.Lag += time.Duration(lagWeight * float64(lag-t.Lag))
}

// ReadRequest describes a read to be routed.
type ReadRequest struct {
	Mode          wire.ReadMode
	Floor         position.Position // the read must reflect the log up to here
	ObservedReads []ObservedRead    // earlier reads of the session; this one must reflect all that they reflected
	MaxAge        time.Duration     // in ReadMaxAge mode, the greatest age of the data
	Place         string            // of the entry host
	Selector      labels.Selector   // nil: any replica
	Waited        time.Duration     // time already waited for a replica
	MaxWait       time.Duration     // limit of Waited
}

// ObservedRead is an earlier read of the session at a target, which ended at or before At.
type ObservedRead struct {
	Target string
	At     time.Time
}

// Decision says where a read goes. If Wait is set, a replica is expected to satisfy the read soon, and
// Choose should be called again after the next status replies. Otherwise an empty Replica means the
// primary.
type Decision struct {
	Replica string
	Applied position.Position // of the replica when it was chosen
	Wait    bool
}

// Group is the state of a service's targets at one term.
type Group struct {
	Term           uint64
	Databases      int                // configured group size, from which majorities are computed
	Targets        map[string]*Target // by name
	PrimarySamples *Samples           // of the primary's position
}

// Choose decides where a read goes. Of two random replicas that satisfy the read it chooses the less
// loaded one, or the one in the entry host's place if their loads are about equal.
func (g *Group) Choose(now time.Time, r ReadRequest, rng *rand.Rand) Decision {
	if r.Mode == wire.ReadCurrent {
		return Decision{}
	}
	var suitable []*Target
	worthWaiting := false // a replica is expected to reach the floor within MaxWait
	for _, t := range g.readableReplicas(now, r.Selector) {
		if g.satisfies(now, t, r) {
			suitable = append(suitable, t)
			continue
		}
		worthWaiting = worthWaiting || r.Mode == wire.ReadSession && t.Lag <= r.MaxWait
	}
	if len(suitable) > 0 {
		t := lessLoaded(suitable, r.Place, rng)
		return Decision{Replica: t.Name, Applied: t.Applied}
	}
	return Decision{Wait: worthWaiting && r.Waited < r.MaxWait}
}

// readableReplicas returns the replicas that may serve reads at the group's term, sorted by name.
func (g *Group) readableReplicas(now time.Time, sel labels.Selector) []*Target {
	var out []*Target
	for _, t := range g.Targets {
		if g.canServeReads(now, t, sel) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// canServeReads reports whether a target is a replica that may serve reads at the group's term.
func (g *Group) canServeReads(now time.Time, t *Target, sel labels.Selector) bool {
	if t.Role != RoleReplica || t.Leaving || t.Term != g.Term {
		return false
	}
	if t.StatusReceivedAt.IsZero() || now.Sub(t.StatusReceivedAt) > UnresponsiveAfter {
		return false
	}
	return sel == nil || sel.Matches(labels.Set(t.Labels))
}

// satisfies reports whether the data at t satisfies the consistency mode of the read.
func (g *Group) satisfies(now time.Time, t *Target, r ReadRequest) bool {
	if !t.Applied.Covers(r.Floor) {
		return false
	}
	for _, earlier := range r.ObservedReads {
		if !g.covers(t, earlier) {
			return false
		}
	}
	if r.Mode != wire.ReadMaxAge {
		return true
	}
	age, ok := g.PrimarySamples.Age(now, t.Applied)
	return ok && age <= r.MaxAge
}

// covers reports whether a read at t reflects all that an earlier read reflected. This holds at the same
// target, whose applied position never decreases. For another target, the position that the earlier read
// reflected is at most that of the first sample requested after it ended: a sample of its target, or one
// of the primary, since no replica is ahead of the primary.
func (g *Group) covers(t *Target, earlier ObservedRead) bool {
	if t.Name == earlier.Target {
		return true
	}
	if source := g.Targets[earlier.Target]; source != nil && source.History != nil {
		if bound, ok := source.History.After(earlier.At); ok && t.Applied.Covers(bound) {
			return true
		}
	}
	bound, ok := g.PrimarySamples.After(earlier.At)
	return ok && t.Applied.Covers(bound)
}

// lessLoaded picks two candidates at random and returns the less loaded one. If their loads are about
// equal, it prefers the one in the given place.
func lessLoaded(candidates []*Target, place string, rng *rand.Rand) *Target {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := rng.IntN(len(candidates))
	j := (i + 1 + rng.IntN(len(candidates)-1)) % len(candidates)
	a, b := candidates[i], candidates[j]
	diff := a.Load - b.Load
	if diff < loadTolerance && diff > -loadTolerance {
		if b.Place == place && a.Place != place {
			return b
		}
		return a
	}
	if diff > 0 {
		return b
	}
	return a
}

// Majority returns the number of targets that form a majority. It is computed from the registered
// targets if they outnumber the configured databases, so that any two majorities overlap.
func (g *Group) Majority() int { return max(g.Databases, len(g.Targets))/2 + 1 }

// QuorumPosition returns the highest position that a majority has received at the group's term. The primary
// counts as having received its own log. ok is false if fewer than a majority are known to be at the
// term, or if the position was written in an earlier term: a target that isn't among them may then have a
// later position of a term in between, and Candidate would prefer it to the majority.
func (g *Group) QuorumPosition(primary string) (p position.Position, ok bool) {
	var received []position.Position
	for _, t := range g.Targets {
		if t.Term != g.Term {
			continue
		}
		if t.Role == RoleReplica || t.Role == RolePrimary && t.Name == primary {
			received = append(received, t.Received)
		}
	}
	if len(received) < g.Majority() {
		return position.Position{}, false
	}
	sort.Slice(received, func(i, j int) bool { return received[i].Compare(received[j]) > 0 })
	p = received[g.Majority()-1]
	if p.Term < g.Term {
		return position.Position{}, false
	}
	return p, true
}

// HighestReceived returns the highest position received by the targets that replied to a status request sent
// after since. ok is false if they aren't a majority.
func (g *Group) HighestReceived(since time.Time) (p position.Position, ok bool) {
	voters := g.voters(since)
	for _, t := range voters {
		p = p.Max(t.Received)
	}
	return p, len(voters) >= g.Majority()
}

// Candidate returns the target to promote at the given term: of the targets that replied to a status
// request sent after since, the one with the highest received position. A target that already is
// primary at the term is returned as it is. ok is false if fewer than a majority replied, if a target
// reports a newer term, or if only a leaving target holds the highest position and the others aren't a
// majority.
//
// Only positions are compared, not the terms that targets follow: the term in a position is the one
// that wrote its last record, while a replica that follows a newer term may still lack records of
// earlier ones. Diverged targets don't count, since their logs say nothing about the writes of later
// terms.
func (g *Group) Candidate(term uint64, since time.Time) (name string, ok bool) {
	voters := g.voters(since)
	if len(voters) < g.Majority() {
		return "", false
	}
	var best *Target
	eligible := 0
	highest := position.Position{}
	for _, t := range voters {
		if t.Term > term {
			return "", false // a newer term exists, so this election is obsolete
		}
		if t.Role == RolePrimary && t.Term == term {
			return t.Name, true
		}
		highest = highest.Max(t.Received)
		if t.Leaving {
			continue
		}
		eligible++
		if best == nil || t.Received.Compare(best.Received) > 0 {
			best = t
		}
	}
	if best == nil || eligible < g.Majority() && !best.Received.Covers(highest) {
		return "", false
	}
	return best.Name, true
}

// voters returns the targets that replied to a status request sent after since and may hold
// acknowledged commits, sorted by name.
func (g *Group) voters(since time.Time) []*Target {
	var out []*Target
	for _, t := range g.Targets {
		if !t.StatusReceivedAt.IsZero() && t.StatusSentAt.After(since) && t.Role != RoleDiverged {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// CanServe reports whether the named target is a replica that may serve the read at now.
func (g *Group) CanServe(now time.Time, name string, r ReadRequest) bool {
	t := g.Targets[name]
	return t != nil && g.canServeReads(now, t, r.Selector) && g.satisfies(now, t, r)
}
