package gateway

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// minSampleInterval is the least time between two samples of a service.
	minSampleInterval = 100 * time.Millisecond
	// maxSamples bounds the samples of a service. They cover 6.4 s, which is more than the maximum age of
	// any route.
	maxSamples = 64
	// clockDriftMargin is subtracted from a maximum age to allow for clock drift: 2% of 2.5 s, the greatest
	// maximum age of a route.
	clockDriftMargin = 50 * time.Millisecond
)

// sample states that pos covers every commit of the service that was acknowledged before takenAt.
type sample struct {
	takenAt time.Time
	pos     position.Position
}

// primarySamples holds the position samples of a service's primary, oldest first.
type primarySamples struct{ kept []sample }

// add records a sample from the reply to a request that was sent at sentAt. The holder took the sample
// reported.Age before it replied, and it replied after sentAt; so sentAt minus the age is a lower bound of
// the time at which the sample was taken. A sample less than minSampleInterval after the last one, or with
// a lower position, is dropped.
func (ps *primarySamples) add(sentAt time.Time, reported *wire.Sample) {
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
