// Package routing chooses targets: a replica or the primary for a read, the target to promote, and
// the position that a majority of a group has received. It does no I/O and reads no clock.
package routing

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// DefaultSamples is the number of samples that a ring keeps. At one sample per 100 ms it covers
// about 100 s of ages.
const DefaultSamples = 1024

// Samples is a bounded ring of the primary's positions. The zero value is not usable, see NewSamples.
type Samples struct {
	ring []sample
	next int
	full bool
}

type sample struct {
	at  time.Time
	pos position.Position
}

// NewSamples returns a ring of n samples.
func NewSamples(n int) *Samples { return &Samples{ring: make([]sample, n)} }

// Add records that the primary was at pos at time at or later; at is the time at which the question
// was sent. Samples that go back in time or position are ignored. A position that didn't change
// replaces the last sample's time.
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

// Age returns an upper bound on the age of data that reflects applied. ok is false when every sample
// is past applied.
func (s *Samples) Age(now time.Time, applied position.Position) (age time.Duration, ok bool) {
	for i := range s.len() {
		x := s.ring[s.index(i)]
		if applied.Covers(x.pos) {
			return max(now.Sub(x.at), 0), true
		}
	}
	return 0, false
}

// After returns the position of the oldest sample whose question was sent after at. ok is false when
// there is none.
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

// index returns the place of the i-th newest sample.
func (s *Samples) index(i int) int {
	return (s.next - 1 - i + 2*len(s.ring)) % len(s.ring)
}

// Floors holds the highest acknowledged position of each team.
type Floors struct {
	base  position.Position
	known bool
	teams map[string]position.Position
}

// RaiseBase sets the lower bound of all floors, from the primary's position at a takeover.
func (f *Floors) RaiseBase(base position.Position) {
	f.base = f.base.Max(base)
	f.known = true
}

// Raise records an acknowledged position of a team.
func (f *Floors) Raise(team string, p position.Position) {
	if f.teams == nil {
		f.teams = map[string]position.Position{}
	}
	f.teams[team] = f.teams[team].Max(p)
}

// Floor returns a team's floor. ok is false before Start: then only the primary is known to reflect
// what other owners acknowledged.
func (f *Floors) Floor(team string) (p position.Position, ok bool) {
	return f.base.Max(f.teams[team]), f.known
}
