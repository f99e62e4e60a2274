package admission

import "time"

// latePatienceDivisor divides the latency objective to get how long a statement may wait that can't meet the objective any
// more. It gets a slot that is free or about to be, and does not queue before statements that can still be in time.
const latePatienceDivisor = 4

// Patience is what the caller of a statement has asked for.
type Patience struct {
	Objective time.Duration // intended latency; 0: none
	Timeout   time.Duration // of the statement
}

// StartWithin returns how long a statement may still wait for its start, if it arrived elapsed ago and takes overhead for the
// way to the target, the run and the way back. Beyond that it would come too late, and is better refused while its caller has
// time to return.
func (p Patience) StartWithin(elapsed, overhead time.Duration) time.Duration {
	left := p.Timeout - elapsed - overhead
	if p.Objective > 0 {
		left = min(left, max(p.Objective-elapsed-overhead, p.Objective/latePatienceDivisor))
	}
	return max(left, 0)
}

// AdmitWithin returns the longest expected wait with which a statement that may wait for startWithin is admitted. The actual wait
// is often longer, since requests of teams that have used less are served first; a statement that leaves in vain has been
// held for nothing.
func AdmitWithin(startWithin time.Duration) time.Duration { return startWithin * 2 / 3 }
