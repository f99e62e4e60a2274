// Package placement decides which host holds the lease of each target, and when a lease has ended.
//
// A target's lease gives its holder the right to open connections to it, so that hosts share a
// target's few connections without counting them together. The holder of a service's primary also
// has the right to do work that needs the primary; a promotion waits for the end of that right. The
// table lives for one leadership: a new leader takes over what holders claim, and treats any other
// lease as held until leases of its predecessor have expired.
package placement

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

const epochShift = 32 // an epoch is the leader's term and a counter of this many bits

// Seat is the lease of one target.
type Seat struct {
	Host  string
	Boot  string // process of the host
	Epoch uint64

	granted      bool // an answer with the lease was sent
	releasing    bool // not renewed any more
	until        time.Time
	hasPrimary   bool
	primaryUntil time.Time
}

// Releasing reports whether the lease is no longer renewed.
func (s *Seat) Releasing() bool { return s.releasing }

// Table holds the seats of one leadership. It is not safe for concurrent use.
type Table struct {
	quarantine time.Time // until then leases of an earlier leader may be valid
	lastEpoch  uint64
	seats      map[string]*Seat
}

// NewTable returns the table of a leader that was elected at the given time in the given term.
func NewTable(elected time.Time, term uint64) *Table {
	return &Table{
		quarantine: elected.Add(lease.Hold),
		lastEpoch:  term << epochShift,
		seats:      map[string]*Seat{},
	}
}

// Seat returns the seat of a target, or nil.
func (t *Table) Seat(target string) *Seat { return t.seats[target] }

// Count returns the number of seats that a host has.
func (t *Table) Count(host string) int {
	n := 0
	for _, s := range t.seats {
		if s.Host == host && !s.releasing {
			n++
		}
	}
	return n
}

// Claim notes all leases that a process of a host holds. A lease that was granted and isn't claimed has
// been given back, because the process sends a renewal only after it took over, or gave up, the answer
// to the one before.
func (t *Table) Claim(now time.Time, host, boot string, held []wire.TargetHeld) {
	claimed := map[string]wire.TargetHeld{}
	for _, h := range held {
		claimed[h.Target] = h
		t.adopt(now, host, boot, h)
	}
	for target, s := range t.seats {
		if s.Host != host || s.Boot != boot || !s.granted {
			continue
		}
		h, ok := claimed[target]
		if !ok || h.Epoch != s.Epoch {
			delete(t.seats, target)
			continue
		}
		s.hasPrimary = h.Primary
	}
}

// adopt takes over a lease that an earlier leader granted.
func (t *Table) adopt(now time.Time, host, boot string, h wire.TargetHeld) {
	if t.seats[h.Target] != nil || !now.Before(t.quarantine) || h.Epoch > t.lastEpoch {
		return
	}
	t.seats[h.Target] = &Seat{
		Host: host, Boot: boot, Epoch: h.Epoch, granted: true,
		until: t.quarantine, hasPrimary: h.Primary, primaryUntil: t.quarantine,
	}
}

// Renew extends the lease of a target if the process holds its seat. With primary set it also extends,
// or grants, the right to work that needs the primary. It must be called while the request of the
// process is answered.
func (t *Table) Renew(now time.Time, target, host, boot string, primary bool) (epoch uint64, ok bool) {
	s := t.seats[target]
	if s == nil || s.Host != host || s.Boot != boot || s.releasing {
		return 0, false
	}
	s.granted = true
	s.until = later(s.until, now.Add(lease.Hold))
	if primary {
		s.hasPrimary = true
		s.primaryUntil = later(s.primaryUntil, now.Add(lease.Hold))
	}
	return s.Epoch, true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Free reports whether no host can hold the lease of a target, and forgets an expired seat.
func (t *Table) Free(now time.Time, target string) bool {
	s := t.seats[target]
	if s == nil {
		return !now.Before(t.quarantine)
	}
	if now.Before(s.until) {
		return false
	}
	delete(t.seats, target)
	return true
}

// PrimaryFree reports whether no host can do work that needs a target as its primary.
func (t *Table) PrimaryFree(now time.Time, target string) bool {
	s := t.seats[target]
	if s == nil {
		return !now.Before(t.quarantine)
	}
	return !s.hasPrimary || !now.Before(s.primaryUntil)
}

// Assign gives a free target to a process. The seat lapses unless the process renews it in time.
func (t *Table) Assign(now time.Time, target, host, boot string) {
	t.lastEpoch++
	t.seats[target] = &Seat{Host: host, Boot: boot, Epoch: t.lastEpoch, until: now.Add(lease.FirstRenewal)}
}

// Release stops the renewal of a target's lease.
func (t *Table) Release(target string) {
	if s := t.seats[target]; s != nil {
		s.releasing = true
	}
}

// End returns the latest end of the lease of a target's seat; the zero time without one.
func (t *Table) End(target string) time.Time {
	if s := t.seats[target]; s != nil {
		return s.until
	}
	return time.Time{}
}
