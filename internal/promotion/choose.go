package promotion

import (
	"github.com/citronrun/citronrun/internal/position"
)

// Report is what one target of a service answered to an inspection.
type Report struct {
	Target   string
	Answered bool
	Paused   bool // a replica that receives nothing until it is resumed
	Primary  bool
	Leaving  bool
	Received position.Position
}

// Choose returns the target to promote. An acknowledged commit is at the primary and at syncReplicas
// replicas, so that among all replicas but syncReplicas-1 there is one that has received it. Until so
// many have been paused and have answered, nothing is chosen. With syncReplicas 0 a commit may be at the
// primary only; then any replica that answers is as good as it gets. Members that didn't answer count as
// replicas; the primary itself does not.
//
// A target that is leaving is chosen only if it alone has the highest position and the primary, from
// which the others could still receive it, doesn't answer.
func Choose(reports []Report, primary string, syncReplicas int) (target string, ok bool) {
	replicas, paused, primaryAnswers := 0, 0, false
	var best *Report
	for i := range reports {
		r := &reports[i]
		if r.Target == primary {
			primaryAnswers = r.Answered && r.Primary
			continue
		}
		replicas++
		if !r.Answered || !r.Paused {
			continue
		}
		paused++
		if best == nil || better(r, best) {
			best = r
		}
	}
	needed := 1
	if syncReplicas > 0 {
		needed = max(1, replicas-syncReplicas+1)
	}
	if best == nil || paused < needed {
		return "", false
	}
	if best.Leaving && primaryAnswers {
		return "", false
	}
	return best.Target, true
}

// better orders reports by position, then targets that stay before those that leave, then by name.
func better(a, b *Report) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Target < b.Target
}
