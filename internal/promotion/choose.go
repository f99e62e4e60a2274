package promotion

import (
	"slices"

	"github.com/citronrun/citronrun/internal/position"
)

// Report is the result of an inspection of one target of a service.
type Report struct {
	Target   string
	Answered bool
	Paused   bool // a replica that receives no log until it is resumed
	Primary  bool
	Leaving  bool // about to shut down
	Term     uint64
	Received position.Position
}

// Pending is an order without a recorded outcome. The zero value means that there is none.
type Pending struct {
	Target    string
	Received  position.Position // the log position of Target when it was chosen
	Contested bool              // orders for other targets may be carried out as well
}

// Choose returns the target to promote. Each acknowledged commit is at the primary and at syncReplicas or more
// replicas, of which some may have departed since. Of n replicas, any n-syncReplicas+1 therefore include one that has
// received it, and Choose returns false until that many are paused and have answered. With syncReplicas 0, a commit may
// be at the primary only and can be lost; then one paused replica is enough.
//
// Targets that did not answer count as replicas, and so does a target that leads by an order that was carried out late.
// The primary does not, nor does a target that leads while the primary has no report: it is the primary's process, which
// has restarted under another name. A target that has no log doesn't count as answering while another one has a log: its
// process may have started again without what it had.
//
// A target that is leaving is chosen only if no other replica has received as much and the primary, from
// which the others could still receive the rest, doesn't answer.
//
// The target of a pending order is chosen again if it still has what it had received then and isn't leaving: nothing was
// acknowledged since, and an earlier order that is carried out late changes nothing if all orders name the same target.
func Choose(reports []Report, primary string, syncReplicas, departed int, pending Pending) (target string, ok bool) {
	replicas, paused, primaryAnswers := departed, 0, false
	primaryIsGone := !slices.ContainsFunc(reports, func(r Report) bool { return r.Target == primary })
	anyLog := slices.ContainsFunc(reports, func(r Report) bool { return r.hasLog() })
	var best, ordered *Report
	for i := range reports {
		r := &reports[i]
		if r.Target == primary {
			primaryAnswers = r.Answered && r.Primary
			continue
		}
		if r.Answered && r.Primary && primaryIsGone {
			continue
		}
		replicas++
		if !r.Answered || !r.Paused || anyLog && !r.hasLog() {
			continue
		}
		paused++
		if best == nil || betterCandidate(r, best) {
			best = r
		}
		if r.Target == pending.Target && !r.Leaving && r.Received.Compare(pending.Received) >= 0 {
			ordered = r
		}
	}
	required := 1
	if syncReplicas > 0 {
		required = max(1, replicas-syncReplicas+1)
	}
	if best == nil || paused < required {
		return "", false
	}
	if ordered != nil {
		return ordered.Target, true
	}
	if best.Leaving && primaryAnswers {
		return "", false
	}
	return best.Target, true
}

// hasLog reports whether the target has answered and has received any commit.
func (r *Report) hasLog() bool { return r.Answered && r.Received.Offset > 0 }

// betterCandidate reports whether a is a better candidate than b: by the received position, then targets
// that are not leaving, then by name.
func betterCandidate(a, b *Report) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Target < b.Target
}
