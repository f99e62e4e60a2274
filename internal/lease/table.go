// Package lease implements the leases that give a host, the owner, the ownership of a service of the catalog.
// The leases of single targets are in package placement.
//
// Table is used by the control leader, Holder by a host. A lease is identified by the service and the
// ownership epoch. The leader counts the duration of a lease from the moment it grants it and adds a
// margin; the owner counts it from the moment it sent the renewal, which is earlier. An owner therefore stops
// using a lease before the leader assigns the service to another host, provided that no clock runs slower
// than another by more than the margin.
package lease

import "time"

const (
	// TTL is how long an owner may use a lease after it sent the renewal.
	TTL = 3 * time.Second
	// Margin is what the leader adds to TTL to allow for clock drift: 10% of TTL.
	Margin = TTL / 10
	// ExpiryWait is how long after a grant, or after its election, the leader waits before it regards a
	// lease as expired.
	ExpiryWait = TTL + Margin
	// FirstRenewalTimeout is how long a new owner has to request its lease before the service is assigned to
	// another host. Hosts renew every 500 ms.
	FirstRenewalTimeout = 1500 * time.Millisecond
)

// Owner identifies the owner of a service in one epoch. A restarted process has a new boot ID and counts as another
// owner, because it doesn't know the leases of its predecessor.
type Owner struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Table is the lease table of a control leader for one consensus term. A leader that is elected again
// needs a new table. It is not safe for concurrent use.
type Table struct {
	earlierLeasesExpireAt time.Time // leases granted by earlier leaders may be valid until then
	entries               map[string]*entry
}

type entry struct {
	owner     Owner
	expiresAt time.Time // latest expiry of the lease, including Margin
	closed    bool      // not renewed any more in this epoch
}

// NewTable returns the table of a leader that was elected at the given time. Earlier leaders can't have
// granted leases after that, because a quorum confirms the leadership before each grant.
func NewTable(elected time.Time) *Table {
	return &Table{earlierLeasesExpireAt: elected.Add(ExpiryWait), entries: map[string]*entry{}}
}

// entry returns the entry of the recorded owner and creates it if needed. An owner without an entry may
// hold a lease from an earlier leader.
func (t *Table) entry(service string, recorded Owner) *entry {
	e := t.entries[service]
	if e == nil || e.owner != recorded {
		e = &entry{owner: recorded, expiresAt: t.earlierLeasesExpireAt}
		t.entries[service] = e
	}
	return e
}

// RecordAssignment adds an owner whose record this leader has committed, after CloseEpoch has succeeded for
// the previous owner. The new owner has no lease yet, unless it has renewed since the commit. Its lease
// does not count as free during FirstRenewalTimeout, which gives it time to request the lease.
func (t *Table) RecordAssignment(now time.Time, service string, recorded Owner) {
	if e := t.entries[service]; e != nil && e.owner == recorded {
		return
	}
	t.entries[service] = &entry{owner: recorded, expiresAt: now.Add(FirstRenewalTimeout)}
}

// Renew grants or renews the lease if the requester of the renewal is the recorded owner and the epoch is not
// closed. It reports whether it did. The grant must be sent in the response to a renewal that the requester
// sent before now.
func (t *Table) Renew(now time.Time, service string, recorded, requester Owner) bool {
	if requester != recorded || recorded.Host == "" {
		return false
	}
	e := t.entry(service, recorded)
	if e.closed {
		return false
	}
	if expiresAt := now.Add(ExpiryWait); expiresAt.After(e.expiresAt) {
		e.expiresAt = expiresAt
	}
	return true
}

// Return frees the lease because its owner has returned it. The owner doesn't use this epoch again.
func (t *Table) Return(service string, recorded, returner Owner) {
	if returner != recorded {
		return
	}
	e := t.entry(service, recorded)
	e.expiresAt = time.Time{}
	e.closed = true
}

// Free reports whether the lease of the recorded owner has been returned or has expired, so that no host
// can hold it.
func (t *Table) Free(now time.Time, service string, recorded Owner) bool {
	if recorded.Host == "" {
		return true
	}
	return !now.Before(t.entry(service, recorded).expiresAt)
}

// CloseEpoch ends the epoch of the recorded owner if its lease is free, and reports whether it is. It must
// succeed before the leader proposes the next owner, so that the lease isn't renewed while the proposal is
// pending.
func (t *Table) CloseEpoch(now time.Time, service string, recorded Owner) bool {
	if !t.Free(now, service, recorded) {
		return false
	}
	if recorded.Host != "" {
		t.entry(service, recorded).closed = true
	}
	return true
}

// ExpiresAt returns the latest expiry of the recorded owner's lease, including Margin.
func (t *Table) ExpiresAt(service string, recorded Owner) time.Time {
	return t.entry(service, recorded).expiresAt
}
