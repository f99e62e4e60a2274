package outcome

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// target runs 50 statements/s as far as the judge allows them, and counts those that fail.
type target struct {
	Judge
	now        time.Time
	ran, fails int
}

func (x *target) run(duration time.Duration, fails func() bool) {
	if x.now.IsZero() {
		x.now = time.Unix(1000, 0)
	}
	for end := x.now.Add(duration); x.now.Before(end); x.now = x.now.Add(20 * time.Millisecond) {
		if x.Failing() && !x.Probe(x.now) {
			continue
		}
		x.ran++
		failed := fails()
		if failed {
			x.fails++
		}
		x.Record(x.now, failed)
	}
}

func share(seed uint64, p float64) func() bool {
	random := rand.New(rand.NewPCG(seed, 0))
	return func() bool { return random.Float64() < p }
}

func always() bool { return true }
func never() bool  { return false }

// Load: a database fails part of its statements while its health check is good. Guards against statements that
// continue to fail there, and against a target that is not used again after it has recovered.
func TestGreyTarget(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		x := &target{}
		x.run(7*time.Second, share(seed, 0.45))
		is.True(x.fails <= 35) // of the 157 that would have failed
		x.run(maxProbeInterval*recoveredRun, never)
		is.True(!x.Failing())
	}
}

// Load: a database answers position polls but no statement. Guards against more than a few failures before it is judged,
// and against probes that don't become rarer.
func TestTargetThatFailsEverything(t *testing.T) {
	is := is.New(t)
	x := &target{}
	x.run(60*time.Millisecond, always)
	is.True(x.Failing())
	is.Equal(x.fails, 3)
	x.run(10*time.Second, always)
	is.True(x.fails <= 3+10)
}

// Load: a database goes down and up by turns. Guards against a probe interval that starts from the beginning each time.
func TestFlappingTarget(t *testing.T) {
	is := is.New(t)
	x := &target{}
	for range 6 {
		x.run(1400*time.Millisecond, always)
		x.run(1400*time.Millisecond, never)
	}
	is.True(x.fails <= 30) // of the 420 that would have failed
	x.run(steadyTime+maxProbeInterval*recoveredRun, never)
	before := x.ran
	x.run(60*time.Millisecond, always)
	x.run(firstProbeInterval, never)
	is.True(x.ran-before >= 4) // the first probe follows soon again
}

// Load: a busy database fails one statement in three, and most of them can't go elsewhere. Guards against a judgement that
// changes with each run of luck.
func TestBusyGreyTargetKeepsItsJudgement(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		var j Judge
		now, fails, changes := time.Unix(1000, 0), share(seed, 0.33), 0
		for range 7 * 200 {
			now = now.Add(5 * time.Millisecond)
			if j.Record(now, fails()) {
				changes++
			}
		}
		is.True(j.Failing())
		is.True(changes <= 7) // of 60 to 80 without the time
	}
}

// Load: a healthy database that loses an answer now and then. Guards against a target that is left for single failures.
func TestSingleFailuresCountForLittle(t *testing.T) {
	is := is.New(t)
	failing := 0
	for seed := range uint64(50) {
		x := &target{}
		fails := share(seed, 0.02)
		for range 500 {
			x.run(20*time.Millisecond, fails)
			if x.Failing() {
				failing++
			}
		}
	}
	is.True(failing < 50*500/100)
}
