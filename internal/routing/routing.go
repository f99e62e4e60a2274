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
	// loadSlack is the difference in Load below which two targets count as equally loaded.
	loadSlack = 0.25
	// lagWeight is the weight of a new value in the moving average of a replica's lag.
	lagWeight = 0.25
)

// Target is the owner's view of one target, from its registration and its last status reply.
type Target struct {
	Name             string
	Place            string
	Labels           map[string]string
	Leaving          bool
	Role             string
	Term             uint64
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

// RecordStatus records a status reply that arrived at now, for a request sent at asked. primary holds samples
// of the primary's position, from which the lag is computed.
func (t *Target) RecordStatus(asked, now time.Time, role string, term uint64, received, applied position.Position, s *Samples) {
	t.StatusSentAt, t.StatusReceivedAt = asked, now
	t.Role, t.Term = role, term
	t.Received, t.Applied = received, applied
	if t.History == nil {
		t.History = NewSamples(historySamples)
	}
	t.History.Add(asked, applied)
	if role == RolePrimary {
		return
	}
	lag := time.Duration(0)
	if latest, ok := s.Latest(); ok && !applied.Covers(latest) {
		age, known := s.Age(now, applied)
		if !known {
			age = time.Hour
		}
		lag = age
	}
	t.Lag += time.Duration(lagWeight * float64(lag-t.Lag))
}

// Read describes a read for which a target is wanted.
type Read struct {
	Mode          wire.ReadMode
	Floor         position.Position // the read must reflect the log up to here
	ObservedReads []ObservedRead    // in ReadSession mode, the read must also reflect all that these reflected
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
	Term      uint64
	Databases int                // configured group size, from which majorities are computed
	Targets   map[string]*Target // by name
	Samples   *Samples           // of the primary's position
}

// Choose decides where a read goes. Of two random replicas that satisfy the read it takes the less
// loaded one, or the one at the entry host's place if their loads are about equal.
func (g *Group) Choose(now time.Time, r Read, rnd *rand.Rand) Decision {
	if r.Mode == wire.ReadCurrent {
		return Decision{}
	}
	var fit []*Target
	soon := false
	for _, t := range g.readable(now, r.Selector) {
		if g.fresh(now, t, r) {
			fit = append(fit, t)
			continue
		}
		soon = soon || r.Mode == wire.ReadSession && t.Lag <= r.MaxWait
	}
	if len(fit) > 0 {
		t := lighter(fit, r.Place, rnd)
		return Decision{Replica: t.Name, Applied: t.Applied}
	}
	return Decision{Wait: soon && r.Waited < r.MaxWait}
}

// readable returns the replicas that may serve reads at the group's term, sorted by name.
func (g *Group) readable(now time.Time, sel labels.Selector) []*Target {
	var out []*Target
	for _, t := range g.Targets {
		if g.serves(now, t, sel) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// serves reports whether a target is a replica that may serve reads at the group's term.
func (g *Group) serves(now time.Time, t *Target, sel labels.Selector) bool {
	if t.Role != RoleReplica || t.Leaving || t.Term != g.Term {
		return false
	}
	if t.StatusReceivedAt.IsZero() || now.Sub(t.StatusReceivedAt) > UnresponsiveAfter {
		return false
	}
	return sel == nil || sel.Matches(labels.Set(t.Labels))
}

// fresh reports whether the data at t satisfies the consistency mode of the read.
func (g *Group) fresh(now time.Time, t *Target, r Read) bool {
	if !t.Applied.Covers(r.Floor) {
		return false
	}
	for _, s := range r.ObservedReads {
		if !g.covers(t, s) {
			return false
		}
	}
	if r.Mode != wire.ReadMaxAge {
		return true
	}
	age, ok := g.Samples.Age(now, t.Applied)
	return ok && age <= r.MaxAge
}

// covers reports whether a read at t reflects all that the earlier read s reflected. This holds at the
// same target, whose applied position never decreases. At another target, the position that s reflected
// is at most the first sample requested after s ended: one of its target, or one of the primary, since
// no replica is ahead of the primary.
func (g *Group) covers(t *Target, s ObservedRead) bool {
	if t.Name == s.Target {
		return true
	}
	if at := g.Targets[s.Target]; at != nil && at.History != nil {
		if bound, ok := at.History.After(s.At); ok && t.Applied.Covers(bound) {
			return true
		}
	}
	bound, ok := g.Samples.After(s.At)
	return ok && t.Applied.Covers(bound)
}

// lighter picks two candidates at random and returns the less loaded one. If their loads are about equal
// it prefers the one at the given place.
func lighter(fit []*Target, place string, rnd *rand.Rand) *Target {
	if len(fit) == 1 {
		return fit[0]
	}
	i := rnd.IntN(len(fit))
	j := (i + 1 + rnd.IntN(len(fit)-1)) % len(fit)
	a, b := fit[i], fit[j]
	diff := a.Load - b.Load
	if diff < loadSlack && diff > -loadSlack {
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

// Quorum returns the highest position that a majority has received at the group's term. The primary
// counts as having received its own log. ok is false if fewer than a majority are known to be at the
// term.
func (g *Group) Quorum(primary string) (p position.Position, ok bool) {
	var got []position.Position
	for _, t := range g.Targets {
		if t.Term != g.Term {
			continue
		}
		if t.Role == RoleReplica || t.Role == RolePrimary && t.Name == primary {
			got = append(got, t.Received)
		}
	}
	if len(got) < g.Majority() {
		return position.Position{}, false
	}
	sort.Slice(got, func(i, j int) bool { return got[i].Compare(got[j]) > 0 })
	return got[g.Majority()-1], true
}

// Highest returns the highest position received by the targets that replied to a status request sent
// after since. ok is false if they aren't a majority.
func (g *Group) Highest(since time.Time) (p position.Position, ok bool) {
	v := g.voters(since)
	for _, t := range v {
		p = p.Max(t.Received)
	}
	return p, len(v) >= g.Majority()
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
	v := g.voters(since)
	if len(v) < g.Majority() {
		return "", false
	}
	var best *Target
	eligible := 0
	top := position.Position{}
	for _, t := range v {
		if t.Term > term {
			return "", false // a newer term exists, so this election is obsolete
		}
		if t.Role == RolePrimary && t.Term == term {
			return t.Name, true
		}
		top = top.Max(t.Received)
		if t.Leaving {
			continue
		}
		eligible++
		if best == nil || t.Received.Compare(best.Received) > 0 {
			best = t
		}
	}
	if best == nil || eligible < g.Majority() && !best.Received.Covers(top) {
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
func (g *Group) CanServe(now time.Time, name string, r Read) bool {
	t := g.Targets[name]
	return t != nil && g.serves(now, t, r.Selector) && g.fresh(now, t, r)
}
