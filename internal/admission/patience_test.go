package admission

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Load: a burst that a target needs longer to serve than callers wait. Guards against statements that wait although they would
// start too late, and against late ones that queue before those that can still be in time.
func TestPatienceEndsWithTheObjective(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		p := Patience{Objective: ms("objective", 600), Timeout: ms("timeout", 1500)}
		elapsed, overhead := ms("elapsed", 2000), ms("overhead", 200)
		got := p.StartWithin(elapsed, overhead)
		if got < 0 || got > 0 && elapsed+overhead+got > p.Timeout {
			rt.Fatalf("may wait %v, beyond the timeout", got)
		}
		late := elapsed+overhead+got > p.Objective
		if p.Objective > 0 && late && got > p.Objective/latePatienceDivisor {
			rt.Fatalf("a late statement may wait %v", got)
		}
	})
}

// Load: one team keeps a target busy. Guards against a time to return at which the queue would refuse the request again, and
// against a refusal without such a time once a request has waited in vain.
func TestRefusalsSayWhenToReturn(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(epoch)
	g := NewGate(Config{}, clk)
	g.SetTarget("a", 1, 10)
	first, err := g.Acquire(t.Context(), "t", "a", 1, time.Time{})
	is.NoErr(err)
	clk.Advance(40 * time.Millisecond)
	first.Release() // so that the mean slot time is known
	_, err = g.Acquire(t.Context(), "t", "a", 1, time.Time{})
	is.NoErr(err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = g.Acquire(ended, "t", "a", 1, time.Time{})
	is.Equal(verdict.As(err).RetryAfter, 40*time.Millisecond)
	_, err = g.Acquire(t.Context(), "t", "a", 1, clk.Now().Add(10*time.Millisecond))
	is.Equal(verdict.As(err).Code, verdict.CodeTooBusy)
	is.Equal(verdict.As(err).RetryAfter, 30*time.Millisecond)
}

// Load: a target that stops answering while requests arrive. Guards against an estimate from the requests that have ended: new
// ones would be admitted and held until their time is over.
func TestStalledTargetLetsNobodyWait(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(epoch)
	g := NewGate(Config{}, clk)
	g.SetTarget("a", 1, 10)
	first, err := g.Acquire(t.Context(), "t", "a", 1, time.Time{})
	is.NoErr(err)
	clk.Advance(2 * time.Millisecond)
	first.Release()
	_, err = g.Acquire(t.Context(), "t", "a", 1, time.Time{}) // never ends
	is.NoErr(err)
	clk.Advance(150 * time.Millisecond)
	_, err = g.Acquire(t.Context(), "t", "a", 1, clk.Now().Add(100*time.Millisecond))
	is.Equal(verdict.As(err).Code, verdict.CodeTooBusy)
	is.Equal(verdict.As(err).RetryAfter, 50*time.Millisecond)
}
