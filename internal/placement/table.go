// Package placement decides which host holds the lease of each target, and when a lease has ended.
//
// A target's lease gives its holder the right to open connections to it, so that hosts share a
// target's few connections without counting them together. The holder of a service's primary also
// has the right to do work that needs the primary; a promotion waits for the end of that right. The
// table lives for one leadership. Each holder is recorded in the replicated log before its lease is
// granted, so that a new leader knows who may hold leases of its predecessor.
package placement

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// TTL is how long a holder may use a target lease, from the send of its renewal. Another leader answers
	// within 1.3 s when one is lost, and hosts renew every 500 ms.
	TTL = 2 * time.Second
	// ExpiryWait is how long the leader waits after a grant or an election before a lease has expired: TTL and
	// 10% for clocks that run at different speeds.
	ExpiryWait = TTL + TTL/10

	epochShift = 32 // an epoch is the leader's term and a counter of this many bits
)

// Record is the replicated state of a seat: the process that may hold the lease of a target.
type Record struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"` // process of the host
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Lease is the lease of one target.
type Lease struct {
	Record
	granted      bool // an answer with the lease was sent
	releasing    bool // not renewed any more
	until        time.Time
	hasPrimary   bool
	primaryUntil time.Time
}

// Releasing reports whether the lease is no longer renewed.
func (s *Lease) Releasing() bool { return s.releasing }

// Table holds the seats of one leadership. It is not safe for concurrent use.
type Table struct {
	lastEpoch uint64
	seats     map[string]*Lease
}

// NewTable returns the table of a leader that was elected at the given time in the given term. Records
// are those of its predecessors, by target; their leases may be valid for some time yet.
func NewTable(elected time.Time, term uint64, records map[string]Record) *Table {
	t := &Table{lastEpoch: term << epochShift, seats: map[string]*Lease{}}
	until := elected.Add(ExpiryWait)
	for target, r := range records {
		t.seats[target] = &Lease{Record: r, granted: true, until: until, hasPrimary: true, primaryUntil: until}
	}
	return t
}

// Lease returns the seat of a target, or nil.
func (t *Table) Lease(target string) *Lease { return t.seats[target] }

// LeaseCount returns the number of seats that a host has.
func (t *Table) LeaseCount(host string) int {
	n := 0
	for _, s := range t.seats {
		if s.Host == host && !s.releasing {
			n++
		}
	}
	return n
}

// RecordHeld notes all leases that a process of a host holds. A lease that was granted and isn't claimed has
// been given back, because the process sends a renewal only after it took over, or gave up, the answer
// to the one before.
func (t *Table) RecordHeld(host, boot string, held []wire.HeldTarget) {
	claimed := map[string]wire.HeldTarget{}
	for _, h := range held {
		claimed[h.Target] = h
	}
	for target, s := range t.seats {
		if s.Host != host || s.BootID != boot || !s.granted {
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

// ReleaseEarlierProcesses frees the seats that an earlier process of a host held.
func (t *Table) ReleaseEarlierProcesses(host, boot string) {
	for target, s := range t.seats {
		if s.Host == host && s.BootID != boot {
			delete(t.seats, target)
		}
	}
}

// Renew extends the lease of a target if the process holds its seat. With primary set it also extends,
// or grants, the right to work that needs the primary. It must be called while the request of the
// process is answered.
func (t *Table) Renew(now time.Time, target, host, boot string, primary bool) (epoch uint64, ok bool) {
	s := t.seats[target]
	if s == nil || s.Host != host || s.BootID != boot || s.releasing {
		return 0, false
	}
	s.granted = true
	s.until = later(s.until, now.Add(ExpiryWait))
	if primary {
		s.hasPrimary = true
		s.primaryUntil = later(s.primaryUntil, now.Add(ExpiryWait))
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
	if s != nil && now.Before(s.until) {
		return false
	}
	delete(t.seats, target)
	return true
}

// PrimaryFree reports whether no host can do work that needs a target as its primary.
func (t *Table) PrimaryFree(now time.Time, target string) bool {
	s := t.seats[target]
	return s == nil || !s.hasPrimary || !now.Before(s.primaryUntil)
}

// NextEpoch returns the epoch for the record of a target's next holder.
func (t *Table) NextEpoch() uint64 {
	t.lastEpoch++
	return t.lastEpoch
}

// Assign gives a free target to the process that was recorded for it. The seat lapses unless the process
// renews it in time.
func (t *Table) Assign(now time.Time, target string, r Record) {
	t.seats[target] = &Lease{Record: r, until: now.Add(lease.FirstRenewalTimeout)}
}

// Release stops the renewal of a target's lease.
func (t *Table) Release(target string) {
	if s := t.seats[target]; s != nil {
		s.releasing = true
	}
}

// ExpiresAt returns the latest end of the lease of a target's seat; the zero time without one.
func (t *Table) ExpiresAt(target string) time.Time {
	if s := t.seats[target]; s != nil {
		return s.until
	}
	return time.Time{}
}
