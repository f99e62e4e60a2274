package holder

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

const (
	// firstCheckInterval is the time from the finding that a replica is behind to the first check whether it has caught
	// up. It doubles with each check that finds no data that a read needs.
	firstCheckInterval = 20 * time.Millisecond
	maxCheckInterval   = 320 * time.Millisecond
)

// replicaProgress is what the holder of a replica knows of the replica's log. It only saves requests that the replica would
// refuse: each read still carries the position that it needs.
type replicaProgress struct {
	reached  position.Position // last reported
	behind   bool              // the replica lacked a position that a read needed, and no check has found it caught up
	wanted   position.Position // lowest position that reads have needed and the replica lacked since the last check
	interval time.Duration     // between the last check and the next
	checkAt  time.Time         // of the next check
}

// wait returns how long it takes until it may be known that the replica has reached pos; 0 means that a read that needs pos
// can be sent.
func (p *replicaProgress) wait(now time.Time, pos position.Position) time.Duration {
	if !p.behind || p.reached.Covers(pos) {
		return 0
	}
	if p.wanted.IsZero() || pos.Compare(p.wanted) < 0 {
		p.wanted = pos
	}
	return max(p.checkAt.Sub(now), time.Nanosecond)
}

// refused records that the replica refused a read that needed pos, and the position that it reported.
func (p *replicaProgress) refused(now time.Time, pos, reported position.Position) {
	p.reached = reported
	if !p.behind {
		p.behind, p.interval, p.checkAt = true, firstCheckInterval, now.Add(firstCheckInterval)
	}
	if p.wanted.IsZero() || pos.Compare(p.wanted) < 0 {
		p.wanted = pos
	}
}

// report records a position that the replica has reported with a result.
func (p *replicaProgress) report(pos position.Position) {
	p.reached = p.reached.Max(pos)
}

// checkDue reports whether the replica's position has to be queried for the reads that wait.
func (p *replicaProgress) checkDue(now time.Time) bool {
	return p.behind && !p.wanted.IsZero() && !now.Before(p.checkAt)
}

// checked records the position that the replica has reported to a query. A replica that has reached what a read has waited
// for may be asked without a query again.
func (p *replicaProgress) checked(now time.Time, pos position.Position) {
	p.reached = pos
	if pos.Covers(p.wanted) {
		p.behind, p.wanted = false, position.Position{}
		return
	}
	p.interval = min(2*p.interval, maxCheckInterval)
	p.checkAt, p.wanted = now.Add(p.interval), position.Position{}
}

// checkFailed records a query without a response.
func (p *replicaProgress) checkFailed(now time.Time) {
	p.interval = min(2*p.interval, maxCheckInterval)
	p.checkAt = now.Add(p.interval)
}
