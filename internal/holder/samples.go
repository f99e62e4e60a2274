package holder

import (
	"context"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// sampleRefreshInterval is the age of the newest sample at which a read causes another one to be fetched, unless a
	// quarter of its maximum age is less.
	sampleRefreshInterval = 300 * time.Millisecond
	// sampleFetchTimeout bounds the wait for a sample from the holder of the primary.
	sampleFetchTimeout = 150 * time.Millisecond
	// sampleRetryInterval is the least time from a fetch that brought no newer sample to the next one. Until then, reads that need a sample are
	// refused at once.
	sampleRetryInterval = 100 * time.Millisecond
	// minSampleInterval is the least time between two samples of a service.
	minSampleInterval = 100 * time.Millisecond
	// maxSamples bounds the samples of a service. They cover 6.4 s, which is more than the maximum age of
	// any route.
	maxSamples = 64
	// clockDriftMargin is subtracted from a maximum age to allow for clock drift between hosts: 2% of 2.5 s, the
	// greatest maximum age of a route.
	clockDriftMargin = 50 * time.Millisecond
)

// sample states that pos covers every commit of the service that was acknowledged before takenAt.
type sample struct {
	takenAt time.Time
	pos     position.Position
}

// primarySamples holds the position samples of a service's primary, oldest first.
type primarySamples struct{ kept []sample }

// add records a sample from the reply to a request that was sent at sentAt. The holder of the primary took the sample
// reported.Age before it replied, and it replied after sentAt; so sentAt minus the age is a lower bound of
// the time at which the sample was taken. A sample less than minSampleInterval after the last one, or with
// a lower position, is dropped.
func (ps *primarySamples) add(sentAt time.Time, reported wire.Sample) {
	takenAt := sentAt.Add(-reported.Age)
	if n := len(ps.kept); n > 0 {
		last := ps.kept[n-1]
		if takenAt.Before(last.takenAt.Add(minSampleInterval)) || reported.Position.Compare(last.pos) < 0 {
			return
		}
	}
	ps.kept = append(ps.kept, sample{takenAt: takenAt, pos: reported.Position})
	if len(ps.kept) > maxSamples {
		ps.kept = ps.kept[1:]
	}
}

// oldestWithin returns the oldest sample that was taken within maxAge, less clockDriftMargin, before now, and
// whether there is one. A replica that has reached its position returns data that is no older than maxAge.
func (ps *primarySamples) oldestWithin(now time.Time, maxAge time.Duration) (sample, bool) {
	earliest := now.Add(-maxAge + clockDriftMargin)
	for _, s := range ps.kept {
		if !s.takenAt.Before(earliest) {
			return s, true
		}
	}
	return sample{}, false
}

// newest returns the time at which the newest sample was taken, or the zero time.
func (ps *primarySamples) newest() time.Time {
	if len(ps.kept) == 0 {
		return time.Time{}
	}
	return ps.kept[len(ps.kept)-1].takenAt
}

// SampleSource fetches position samples.
type SampleSource interface {
	// FetchSample returns the newest position sample of a service from the holder of its primary.
	FetchSample(ctx context.Context, service string) (wire.Sample, error)
}

// sampleStore holds the position samples of the services whose replicas this host holds. They are fetched while reads
// need them.
type sampleStore struct {
	cfg Config

	mu        sync.Mutex
	byService map[string]*serviceSamples
}

type serviceSamples struct {
	primarySamples
	fetching chan struct{} // closed when the running fetch ends; nil if none is running
	failedAt time.Time     // end of the last fetch, if it brought no newer sample; otherwise zero
}

func newSampleStore(cfg Config) *sampleStore {
	return &sampleStore{cfg: cfg, byService: map[string]*serviceSamples{}}
}

// positionWithin returns a position that a replica must have reached so that its data is no older than maxAge. If no
// sample is recent enough, it waits for one to be fetched.
func (s *sampleStore) positionWithin(ctx context.Context, service string, maxAge time.Duration) (sample, error) {
	receivedAt := s.cfg.Clock.Now() // the caller has sent the read before
	found, ok, fetched := s.lookup(ctx, service, receivedAt, maxAge)
	if ok {
		return found, nil
	}
	if fetched != nil {
		timer := time.NewTimer(sampleFetchTimeout)
		defer timer.Stop()
		select {
		case <-fetched:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok = s.byService[service].oldestWithin(receivedAt, maxAge); ok {
		return found, nil
	}
	return sample{}, verdict.New(verdict.NotRun, verdict.CodePositionUnknown, "no position of the primary of service %q within %v is known", service, maxAge).WithRetryAfter(sampleRetryInterval)
}

// keep records a sample that is known at now.
func (s *sampleStore) keep(service string, now time.Time, known wire.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samplesOf(service).add(now, known)
}

// newest returns the newest sample of a service, and whether there is one.
func (s *sampleStore) newest(service string) (wire.Sample, bool) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.byService[service]
	if samples == nil || len(samples.kept) == 0 {
		return wire.Sample{}, false
	}
	last := samples.kept[len(samples.kept)-1]
	return wire.Sample{Position: last.pos, Age: now.Sub(last.takenAt)}, true
}

// samplesOf returns the samples of a service, which it creates if necessary. mu is held.
func (s *sampleStore) samplesOf(service string) *serviceSamples {
	samples := s.byService[service]
	if samples == nil {
		samples = &serviceSamples{}
		s.byService[service] = samples
	}
	return samples
}

// lookup returns the oldest sample within maxAge before now. If the newest sample is due for a refresh, it starts a
// fetch. fetched is closed when the running fetch ends, and nil if none is running.
func (s *sampleStore) lookup(ctx context.Context, service string, now time.Time, maxAge time.Duration) (found sample, ok bool, fetched <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.samplesOf(service)
	due := now.Sub(samples.newest()) >= min(sampleRefreshInterval, maxAge/4) && now.Sub(samples.failedAt) >= sampleRetryInterval
	if due && samples.fetching == nil {
		samples.fetching = make(chan struct{})
		go s.fetch(context.WithoutCancel(ctx), service, samples)
	}
	found, ok = samples.oldestWithin(now, maxAge)
	return found, ok, samples.fetching
}

func (s *sampleStore) fetch(ctx context.Context, service string, samples *serviceSamples) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := s.cfg.Clock.Now()
	fetched, err := s.cfg.Samples.FetchSample(ctx, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := samples.newest()
	if err == nil {
		samples.add(sentAt, fetched)
	}
	samples.failedAt = time.Time{}
	if !samples.newest().After(before) {
		samples.failedAt = s.cfg.Clock.Now()
		samplesFailed.Inc()
	}
	close(samples.fetching)
	samples.fetching = nil
}
