// Package routing decides which target of a group serves a read and which one to promote, and computes
// the position that a majority of the group has received. It does no I/O and reads no clock.
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
	at  time.Time // when the status was requested
	pos position.Position
}

// NewSamples returns an empty ring that keeps the last n samples.
func NewSamples(n int) *Samples { return &Samples{ring: make([]sample, n)} }

// Add records that the target was at pos at time at or later; at is the time at which its status was
// requested. Samples that go back in time or position are ignored. If the position is unchanged, at
// replaces the time of the last sample.
func (s *Samples) Add(at time.Time, pos position.Position) {
	last, ok := s.last()
	if ok && (at.Before(last.at) || pos.Compare(last.pos) < 0) {
		return
	}
	if ok && pos == last.pos {
		s.ring[s.index(0)].at = at
		return
	}
	s.ring[s.next] = sample{at, pos}
	s.next = (s.next + 1) % len(s.ring)
	s.full = s.full || s.next == 0
}

// Age returns an upper bound on the age of data at position applied, given samples of the primary. ok is
// false if every sample is past applied.
func (s *Samples) Age(now time.Time, applied position.Position) (age time.Duration, ok bool) {
	for i := range s.len() {
		x := s.ring[s.index(i)]
		if applied.Covers(x.pos) {
			return max(now.Sub(x.at), 0), true
		}
	}
	return 0, false
}

// After returns the position of the oldest sample that was requested after at. ok is false if there is
// none.
func (s *Samples) After(at time.Time) (p position.Position, ok bool) {
	for i := range s.len() {
		x := s.ring[s.index(i)]
		if !x.at.After(at) {
			break
		}
		p, ok = x.pos, true
	}
	return p, ok
}

// Latest returns the newest sampled position.
func (s *Samples) Latest() (position.Position, bool) {
	x, ok := s.last()
	return x.pos, ok
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

// Floors holds the floor of each team: the highest position at which one of its commits was
// acknowledged. Reads without a session floor must reflect it.
type Floors struct {
	base    position.Position // lower bound of all floors
	hasBase bool
	teams   map[string]position.Position
}

// RaiseBase sets the lower bound of all floors to the primary's position at a takeover. It stands for the
// commits that earlier owners acknowledged.
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

// Floor returns a team's floor. ok is false before SetBase, when only the primary is known to reflect
// the commits that earlier owners acknowledged.
func (f *Floors) Floor(team string) (p position.Position, ok bool) {
	return f.base.Max(f.teams[team]), f.hasBase
}
