package holder

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// fakeSampleSource returns a sample whose position counts the fetches.
type fakeSampleSource struct {
	mu      sync.Mutex
	fetches uint64
	age     time.Duration
	delay   func() // called during each fetch
	err     error
}

func (s *fakeSampleSource) FetchSample(context.Context, string) (wire.Sample, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches++
	if s.delay != nil {
		s.delay()
	}
	return wire.Sample{Position: position.Position{Term: 1, Offset: s.fetches}, Age: s.age}, s.err
}

func (s *fakeSampleSource) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// Guards against reads at a replica of data that is older than the route allows, against reads that need the primary
// because only few hosts know a position of its log, and against one fetch for each read.
func TestPositionWithin(t *testing.T) {
	const maxAge = 1500 * time.Millisecond
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	source := &fakeSampleSource{age: 200 * time.Millisecond}
	store := newSampleStore(Config{Clock: clk, Samples: source})
	read := func() (uint64, error) {
		found, err := store.positionWithin(t.Context(), "s", maxAge)
		return found.pos.Offset, err
	}
	got, err := read() // waits for the first sample
	is.NoErr(err)
	is.Equal(got, uint64(1))
	got, err = read()
	is.NoErr(err)
	is.Equal(got, uint64(1))
	is.Equal(source.count(), uint64(1)) // the sample is recent

	clk.Advance(time.Second)
	got, err = read()
	is.NoErr(err)
	is.Equal(got, uint64(1)) // 1.2 s old; the next one is being fetched
	eventuallyTrue(t, func() bool { return source.count() == 2 })
	clk.Advance(300 * time.Millisecond) // the first sample is 1.5 s old
	eventuallyTrue(t, func() bool {
		got, err = read()
		return err == nil && got >= 2
	})

	source.mu.Lock()
	source.err = errors.New("the holder of the primary is unreachable")
	source.mu.Unlock()
	clk.Advance(2 * maxAge)
	_, err = read()
	is.Equal(verdict.As(err).Code, verdict.CodePositionUnknown)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

// Guards against a sample that counts as newer than it is because its reply was delayed.
func TestSampleAgeIncludesDelay(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	source := &fakeSampleSource{delay: func() { clk.Advance(2 * time.Second) }}
	store := newSampleStore(Config{Clock: clk, Samples: source})
	_, err := store.positionWithin(t.Context(), "s", time.Second)
	is.NoErr(err) // taken after the read was received
	_, ok, _ := store.lookup(t.Context(), "s", clk.Now(), time.Second)
	is.True(!ok) // but 2 s before now
}

// Guards against reads that go to the primary because a replica is a moment behind: at a busy service they would
// overload it. Guards against a replica that is known to be behind and refuses one read after another.
func TestReplicaBehindIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	replica := f.grantedLease
	replica.Primary = false
	f.Apply([]Lease{replica})
	required := position.Position{Term: 1, Offset: 9}
	tries := 0
	f.target.onRun = func(statement.Statement) error {
		tries++
		f.target.mu.Lock()
		defer f.target.mu.Unlock()
		if !f.target.pos.Covers(required) {
			return verdict.New(verdict.NotRun, verdict.CodeReplicaBehind, "behind")
		}
		return nil
	}
	stop := make(chan struct{})
	go func() { // real time passes on the clock of the holder as well
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				f.clock.Advance(time.Millisecond)
			}
		}
	}()
	defer close(stop)
	req := newRequest("t", statement.Read, "x", nil)
	req.NeedsPrimary, req.MinPosition = false, required
	for range 50 {
		reply, _ := f.Start(context.Background(), req)
		is.Equal(reply.Code, verdict.CodeReplicaBehind) // another target has to run it
		is.True(reply.RetryAfter > 0)
	}
	is.Equal(tries, 1)
	f.target.mu.Lock()
	f.target.pos = required
	f.target.mu.Unlock()
	eventuallyTrue(t, func() bool {
		reply, _ := f.Start(context.Background(), req)
		return reply.Code == ""
	})
	is.Equal(tries, 2) // not before it had caught up
}

// Guards against reads at replicas that end with the primary's answers: while it is silent and no commit is without a response,
// nothing is acknowledged, and what was proved stays true after its holder has lost the right, and the lease. Guards as well
// against a bound that outlives a commit whose response was lost, since the primary may have acknowledged it.
func TestSampleOutlivesThePrimary(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_, ok := f.Sample("db", "s")
	is.True(!ok) // commits of earlier holders may not be covered
	f.clock.Advance(time.Second)
	f.Start(context.Background(), newRequest("t", statement.Write, "x", nil))
	f.target.onRun = func(statement.Statement) error { return errConnLost }
	f.target.unreachable = true
	f.clock.Advance(time.Second)
	known := wire.Sample{Position: position.Position{Term: 1, Offset: 2}}
	sample, ok := f.Sample("db", "s")
	is.True(ok)
	is.Equal(sample, known)

	f.Start(context.Background(), newRequest("t", statement.Write, "lost", nil))
	for _, known.Age = range []time.Duration{time.Second, 2 * time.Second} {
		f.clock.Advance(time.Second)
		sample, _ = f.Sample("db", "s")
		is.Equal(sample, known)
	}
	f.leases.set(false, false)
	f.Apply(nil)
	f.clock.Advance(time.Second)
	sample, ok = f.Sample("db", "s")
	is.True(ok)
	is.Equal(sample, wire.Sample{Position: known.Position, Age: 3 * time.Second})
}

func eventuallyTrue(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
	}
}
