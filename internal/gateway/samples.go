package gateway

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// sampleSpacing is the least time between two kept samples of a service.
	sampleSpacing = 100 * time.Millisecond
	// maxSamples covers 6.4 s, more than any route's age.
	maxSamples = 64
	// ageMargin is taken from an age for clocks that run at different speeds, 2% of 2.5 s.
	ageMargin = 50 * time.Millisecond
)

// sample says that at the moment at every acknowledged commit of the service was at or before pos.
type sample struct {
	at  time.Time
	pos position.Position
}

// samples keeps the samples of one service, oldest first.
type samples struct{ kept []sample }

// add keeps a sample from an answer to a request that was sent at the given time. The holder took it
// at least s.Age before it sent the answer, and it sent the answer after the request.
func (x *samples) add(sent time.Time, s *wire.Sample) {
	at := sent.Add(-s.Age)
	if n := len(x.kept); n > 0 {
		last := x.kept[n-1]
		if at.Before(last.at.Add(sampleSpacing)) || s.Position.Compare(last.pos) < 0 {
			return
		}
	}
	x.kept = append(x.kept, sample{at: at, pos: s.Position})
	if len(x.kept) > maxSamples {
		x.kept = x.kept[1:]
	}
}

// within returns the oldest position that reflects every commit acknowledged up to maxAge before now.
func (x *samples) within(now time.Time, maxAge time.Duration) (sample, bool) {
	bound := now.Add(-maxAge + ageMargin)
	for _, s := range x.kept {
		if !s.at.Before(bound) {
			return s, true
		}
	}
	return sample{}, false
}
