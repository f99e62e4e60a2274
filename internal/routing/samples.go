// Package routing decides which target of a service serves a read and which one to promote, and computes
// the position that a majority of the targets has received. It does no I/O and reads no clock.
package routing

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// DefaultSamples is the number of samples kept of the primary's position. At one sample per 100 ms
// they reach back about 100 s.
const DefaultSamples = 1024

// Samples is a ring buffer of positions of one target over time. The zero value is not usable; see
// NewSamples.
type Samples struct {
	ring []sample
	next int // index in ring of the next sample to write
	full bool
}

type sample struct {
	requestedAt time.Time // when the status was requested
	pos         position.Position
}

// NewSamples returns an empty ring that keeps the last n samples.
func NewSamples(n int) *Samples { return &Samples{ring: make([]sample, n)} }

// Add records the position that a target reported in reply to a status request sent at requestedAt. The target
// reached pos at that time or later. A sample with an earlier time or a lower position than the last one is
// ignored. If the position is unchanged, the last sample gets the new time.
func (s *Samples) Add(requestedAt time.Time, pos position.Position) {
	last, ok := s.last()
	if ok && (requestedAt.Before(last.requestedAt) || pos.Compare(last.pos) < 0) {
		return
	}
	if ok && pos == last.pos {
		s.ring[s.index(0)].requestedAt = requestedAt
		return
	}
	s.ring[s.next] = sample{requestedAt, pos}
	s.next = (s.next + 1) % len(s.ring)
	s.full = s.full || s.next == 0
}

// Age returns an upper bound on the age of the data of a target that has applied the log up to applied, given
// samples of the primary. ok is false if every sample is past applied, or there is none.
func (s *Samples) Age(now time.Time, applied position.Position) (age time.Duration, ok bool) {
	for i := range s.len() {
		x := s.ring[s.index(i)]
		if applied.Covers(x.pos) {
			return max(now.Sub(x.requestedAt), 0), true
		}
	}
	return 0, false
}

// After returns the position of the oldest sample that was requested after t. ok is false if there is none.
func (s *Samples) After(t time.Time) (p position.Position, ok bool) {
	for i := range s.len() {
		x := s.ring[s.index(i)]
		if !x.requestedAt.After(t) {
			break
		}
		p, ok = x.pos, true
	}
	return p, ok
}

// Latest returns the newest sampled position. ok is false if there is no sample.
func (s *Samples) Latest() (p position.Position, ok bool) {
	last, ok := s.last()
	return last.pos, ok
}

func (s *Samples) last() (sample, bool) {
	if s.len() == 0 {
		return sample{}, false
	}
	return s.ring[s.index(0)], true
}

func (s *Samples) len() int {
	if s.full {
		return len(s.ring)
	}
	return s.next
}

// index returns the index in ring of the i-th newest sample, counted from 0.
func (s *Samples) index(i int) int {
	return (s.next - 1 - i + 2*len(s.ring)) % len(s.ring)
}

// Floors holds the floor of each team: the highest position at which one of its commits was acknowledged.
// Reads of a session that has no floor of its own must reflect it.
type Floors struct {
	base    position.Position // lower bound of all floors
	hasBase bool
	teams   map[string]position.Position
}

// RaiseBase raises the lower bound of all floors to a position that covers all commits that earlier owners of the
// service acknowledged. This host calls it after it has become the owner, with the primary's position or the
// highest one that any of a majority of the targets has received.
func (f *Floors) RaiseBase(base position.Position) {
	f.base = f.base.Max(base)
	f.hasBase = true
}

// Raise records the position of an acknowledged commit of a team.
func (f *Floors) Raise(team string, p position.Position) {
	if f.teams == nil {
		f.teams = map[string]position.Position{}
	}
	f.teams[team] = f.teams[team].Max(p)
}

// Floor returns a team's floor. ok is false before RaiseBase, while only the primary is known to reflect
// the commits that earlier owners acknowledged.
func (f *Floors) Floor(team string) (p position.Position, ok bool) {
	return f.base.Max(f.teams[team]), f.hasBase
}
