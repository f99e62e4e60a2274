// Package outcome judges a target by the outcomes of the statements that ran there. Neither what the target says of its
// health nor its answers to position polls count.
package outcome

import "time"

const (
	// weight is the weight of the newest outcome in the moving share of failures.
	weight = 1.0 / 8
	// failingShare is the share of failures from which a target counts as failing: the third failure in a row, or one
	// in three for a while. A retry then costs callers more than a way to another place.
	failingShare = 0.3
	// recoveredRun is the number of successes in a row after which a failing target counts as recovered, if no statement
	// has failed within the probe interval either. The time counts where statements can't go elsewhere and successes are
	// many.
	recoveredRun = 6
	// firstProbeInterval is the time between probes of a target that has begun to fail. It doubles with each failed
	// probe up to maxProbeInterval.
	firstProbeInterval = 100 * time.Millisecond
	maxProbeInterval   = 2 * time.Second
	// steadyTime is how long a target must not have failed for its probe interval to start again from the first one.
	steadyTime = 10 * time.Second
	// overdueFactor is how many mean run times a statement must have run without a response to count as failed when its
	// sender has given up.
	overdueFactor = 8
)

// Judge is the judgement on one target. The zero value is a healthy target without outcomes.
type Judge struct {
	failures float64       // moving share, 0 to 1
	meanRun  time.Duration // moving mean of the statements that succeeded; 0: none yet
	failing  bool
	run      int // successes in a row
	interval time.Duration
	probing  bool      // no outcome since the last probe
	probedAt time.Time // last probe, or when the target began to fail
	failedAt time.Time // last failure
}

// RecordSuccess records a statement that has succeeded after the given time, and reports whether the judgement has changed.
func (j *Judge) RecordSuccess(now time.Time, ran time.Duration) (changed bool) {
	if j.meanRun == 0 {
		j.meanRun = ran
	}
	j.meanRun += time.Duration(float64(ran-j.meanRun) * weight)
	return j.Record(now, false)
}

// Overdue reports whether a statement that has run for the given time without a response should have had one.
func (j *Judge) Overdue(ran time.Duration) bool {
	return j.meanRun > 0 && ran >= overdueFactor*j.meanRun
}

// Record records the outcome of a statement and reports whether the judgement has changed.
func (j *Judge) Record(now time.Time, failed bool) (changed bool) {
	before, probed := j.failing, j.probing
	j.probing = false
	if !failed {
		j.run++
		j.failures -= j.failures * weight
		if j.failing && j.run >= recoveredRun && now.Sub(j.failedAt) >= j.interval {
			j.failing, j.failures = false, 0
		}
		return j.failing != before
	}
	if now.Sub(j.failedAt) >= steadyTime {
		j.interval = 0
	}
	j.run, j.failedAt = 0, now
	j.failures += (1 - j.failures) * weight
	switch {
	case j.failing && probed:
		j.interval = min(2*j.interval, maxProbeInterval)
	case !j.failing && j.failures >= failingShare:
		j.failing, j.probedAt = true, now
		j.interval = min(max(2*j.interval, firstProbeInterval), maxProbeInterval)
	}
	return j.failing != before
}

// Failing reports whether statements that can run elsewhere should.
func (j *Judge) Failing() bool { return j.failing }

// Failures returns the moving share of failed statements.
func (j *Judge) Failures() float64 { return j.failures }

// Probe reports whether a statement that can run elsewhere should run at the failing target all the same, to learn
// whether it has recovered. It allows one statement per probe interval.
func (j *Judge) Probe(now time.Time) bool {
	if now.Sub(j.probedAt) < j.interval {
		return false
	}
	j.probedAt, j.probing = now, true
	return true
}
