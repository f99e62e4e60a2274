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
	// DefaultReplicaWait bounds the wait for a replica that doesn't cover the floor yet.
	DefaultReplicaWait = 10 * time.Millisecond
	// UnresponsiveAfter is the time without an answer after which a target gets no reads.
	UnresponsiveAfter = time.Second
	// loadSlack is the difference in running statements per slot up to which two loads count as equal.
	loadSlack = 0.25
	// lagWeight is the weight of a new value in the moving average of a replica's lag.
	lagWeight = 0.25
)

// Target is what the owner knows of one target.
type Target struct {
	Name             string
	Place            string
	Labels           map[string]string
	Leaving          bool
	Role             string
	Term             uint64
	Received         position.Position
	Applied          position.Position
	StatusSentAt     time.Time     // when the question of the last answer was sent
	StatusReceivedAt time.Time     // zero: never
	Lag              time.Duration // moving average
	Load             float64       // running and waiting statements per slot
	History          *Samples      // of Applied; nil before the first answer
}

// historySamples is the number of samples kept of each target's applied position. Older reads are
// compared with the oldest sample, which is still a bound.
const historySamples = 64

// RecordStatus records a status answer of the target at now, to a question sent at asked.
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

// ReadRequest is a request for a target to read from.
type ReadRequest struct {
	Mode          wire.ReadMode
	Floor         position.Position
	ObservedReads []ObservedRead // further bounds, in ReadSession mode
	MaxAge        time.Duration
	Place         string          // of the entry host
	Selector      labels.Selector // nil: any replica
	Waited        time.Duration   // time already waited for a replica
	MaxWait       time.Duration   // bound of the wait
}

// ObservedRead is an earlier read of the session at a target, which ended at or before At.
type ObservedRead struct {
	Target string
	At     time.Time
}

// Decision says where a read goes. With Wait set, a replica is expected to cover the floor soon: the
// caller asks again after the next status answers. With an empty Replica it goes to the primary.
type Decision struct {
	Replica string
	Applied position.Position // of the replica, when it was chosen
	Wait    bool
}

// Group is the state of a service's targets at one term.
type Group struct {
	Term           uint64
	Databases      int // group size, the base of majorities
	Targets        map[string]*Target
	PrimarySamples *Samples
}

// Choose decides where a read goes. It takes the less loaded of two random candidates, and the one at
// the entry host's place when their loads are about equal.
func (g *Group) Choose(now time.Time, r ReadRequest, rnd *rand.Rand) Decision {
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

func (g *Group) fresh(now time.Time, t *Target, r ReadRequest) bool {
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
	age, ok := g.PrimarySamples.Age(now, t.Applied)
	return ok && age <= r.MaxAge
}

// covers reports whether a read at t reflects all that the read s reflected. That is so at the same
// target, which never goes back. Otherwise the position of s is bounded by the first sample that was
// asked for after its end: one of its target, or one of the primary, as no replica is past it.
func (g *Group) covers(t *Target, s ObservedRead) bool {
	if t.Name == s.Target {
		return true
	}
	if at := g.Targets[s.Target]; at != nil && at.History != nil {
		if bound, ok := at.History.After(s.At); ok && t.Applied.Covers(bound) {
			return true
		}
	}
	bound, ok := g.PrimarySamples.After(s.At)
	return ok && t.Applied.Covers(bound)
}

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

// Majority returns the number of targets that make a majority. More registered targets than
// databases raise it: two majorities of a larger set must still overlap.
func (g *Group) Majority() int { return max(g.Databases, len(g.Targets))/2 + 1 }

// QuorumPosition returns the highest position that a majority has received at the group's term. The primary
// counts with its own log. ok is false when fewer than a majority are known to follow the term.
func (g *Group) QuorumPosition(primary string) (p position.Position, ok bool) {
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

// HighestReceived returns the highest position received by the targets that answered a question sent after
// since. ok is false when they aren't a majority.
func (g *Group) HighestReceived(since time.Time) (p position.Position, ok bool) {
	v := g.voters(since)
	for _, t := range v {
		p = p.Max(t.Received)
	}
	return p, len(v) >= g.Majority()
}

// Candidate returns the target to promote at the given term: the one that received most among the
// targets that answered a question sent after since. ok is false when they aren't a majority,
// or when only a leaving target holds the highest position. Positions alone are compared, as the
// term in them is the one that wrote the last record; a replica that follows a newer term may still
// lack records that its own position doesn't show. Diverged targets don't count: their logs say
// nothing about what later terms wrote. A target that already is primary at the term is kept.
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
			return "", false // a newer term exists: this election is outdated
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

// voters returns the targets with a recent answer that may hold acknowledged data, sorted by name.
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

// CanServe reports whether a replica may serve a read at now.
func (g *Group) CanServe(now time.Time, name string, r ReadRequest) bool {
	t := g.Targets[name]
	return t != nil && g.serves(now, t, r.Selector) && g.fresh(now, t, r)
}
