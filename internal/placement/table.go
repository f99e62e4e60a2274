// Package placement decides which host holds the lease of each target of the deployed services, and tracks when
// leases expire. The leases of whole services are in package lease.
//
// A target lease gives its holder the exclusive right to open connections to the target. Hosts can thus
// share the few connections of a target without a distributed count of them. The holder of the lease of a
// service's primary may also have the primary right: the right to do work that needs the primary. A
// promotion waits until that right has expired.
//
// A Table is valid for one leadership. Each holder is recorded in the replicated log before its lease is
// granted, so a new leader knows which hosts may hold leases granted by its predecessors.
package placement

import (
	"time"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// TTL is how long a holder may use a target lease after it sent the renewal. It covers the loss of the
	// leader: a new one answers within 1.3 s, and hosts renew every 500 ms.
	TTL = 2 * time.Second
	// ExpiryWait is how long after a grant, or after its election, the leader waits before it regards a
	// lease as expired: TTL and 10% to allow for clock drift.
	ExpiryWait = TTL + TTL/10

	epochShift = 32 // an epoch is the leader's term, followed by a counter of this many bits
)

// Record is the recorded holder of a target lease: the process that may hold the lease.
type Record struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"` // identifies the process on the host
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Lease is the lease of one target, as tracked by the control leader.
type Lease struct {
	Record
	granted          bool      // a response with the lease was sent
	releasing        bool      // not renewed any more
	expiresAt        time.Time // when no host can use the lease any more
	hasPrimary       bool      // the holder may have the primary right
	primaryExpiresAt time.Time // when no host can use the primary right any more
}

// Releasing reports whether the lease is not renewed any more.
func (l *Lease) Releasing() bool { return l.releasing }

// Table is the table of target leases of a control leader. It is not safe for concurrent use.
type Table struct {
	lastEpoch uint64
	leases    map[string]*Lease
}

// NewTable returns the table of a leader that was elected at the given time in the given consensus term.
// records holds the holders that its predecessors recorded, by target. Their leases may still be valid.
func NewTable(elected time.Time, term uint64, records map[string]Record) *Table {
	t := &Table{lastEpoch: term << epochShift, leases: map[string]*Lease{}}
	expiresAt := elected.Add(ExpiryWait)
	for target, r := range records {
		t.leases[target] = &Lease{Record: r, granted: true, expiresAt: expiresAt, hasPrimary: true, primaryExpiresAt: expiresAt}
	}
	return t
}

// Lease returns the lease of a target, or nil.
func (t *Table) Lease(target string) *Lease { return t.leases[target] }

// LeaseCounts returns the number of leases assigned to each host, without those being released.
func (t *Table) LeaseCounts() map[string]int {
	counts := map[string]int{}
	for _, l := range t.leases {
		if !l.releasing {
			counts[l.Host]++
		}
	}
	return counts
}

// RecordHeld records the complete set of leases that a process of a host reports in a renewal. A lease that
// was granted and isn't in it has been returned: the process sends a renewal only after it has applied the
// response to the previous one or has stopped waiting for it. RecordHeld reports whether it has freed a lease.
func (t *Table) RecordHeld(host, bootID string, held []wire.HeldTarget) (freed bool) {
	heldByTarget := map[string]wire.HeldTarget{}
	for _, h := range held {
		heldByTarget[h.Target] = h
	}
	for target, l := range t.leases {
		if l.Host != host || l.BootID != bootID || !l.granted {
			continue
		}
		h, ok := heldByTarget[target]
		if !ok || h.Epoch != l.Epoch {
			delete(t.leases, target)
			freed = true
			continue
		}
		l.hasPrimary = h.Primary
	}
	return freed
}

// HasLease reports whether a lease is assigned to a process.
func (t *Table) HasLease(host, bootID string) bool {
	for _, l := range t.leases {
		if l.Host == host && l.BootID == bootID {
			return true
		}
	}
	return false
}

// ReleaseEarlierProcesses frees the leases of all earlier processes of a host.
func (t *Table) ReleaseEarlierProcesses(host, bootID string) {
	for target, l := range t.leases {
		if l.Host == host && l.BootID != bootID {
			delete(t.leases, target)
		}
	}
}

// Renew grants or renews the lease of a target if it is assigned to the process. With primary set, it also
// grants or renews the primary right. It must be called while the renewal request of the process is being
// answered.
func (t *Table) Renew(now time.Time, target, host, bootID string, primary bool) (epoch uint64, ok bool) {
	l := t.leases[target]
	if l == nil || l.Host != host || l.BootID != bootID || l.releasing {
		return 0, false
	}
	l.granted = true
	l.expiresAt = later(l.expiresAt, now.Add(ExpiryWait))
	if primary {
		l.hasPrimary = true
		l.primaryExpiresAt = later(l.primaryExpiresAt, now.Add(ExpiryWait))
	}
	return l.Epoch, true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Free reports whether no host can hold the lease of a target. It removes an expired lease.
func (t *Table) Free(now time.Time, target string) bool {
	l := t.leases[target]
	if l != nil && now.Before(l.expiresAt) {
		return false
	}
	delete(t.leases, target)
	return true
}

// PrimaryFree reports whether no host can have the primary right on a target.
func (t *Table) PrimaryFree(now time.Time, target string) bool {
	l := t.leases[target]
	return l == nil || !l.hasPrimary || !now.Before(l.primaryExpiresAt)
}

// NextEpoch returns a new epoch, for the record of the next holder of a target lease.
func (t *Table) NextEpoch() uint64 {
	t.lastEpoch++
	return t.lastEpoch
}

// Assign assigns the free lease of a target to the process that was recorded as its holder. The assignment
// expires unless the process renews within lease.FirstRenewalTimeout.
func (t *Table) Assign(now time.Time, target string, r Record) {
	t.leases[target] = &Lease{Record: r, expiresAt: now.Add(lease.FirstRenewalTimeout)}
}

// Release stops renewing the lease of a target.
func (t *Table) Release(target string) {
	if l := t.leases[target]; l != nil {
		l.releasing = true
	}
}

// ExpiresAt returns the latest expiry of the lease of a target, or the zero time if there is none.
func (t *Table) ExpiresAt(target string) time.Time {
	if l := t.leases[target]; l != nil {
		return l.expiresAt
	}
	return time.Time{}
}
