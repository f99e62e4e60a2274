// Package lease decides who may hold the lease of a service and for how long.
//
// Table is the control leader's side, Holder the host's side. A lease is named by service and
// ownership epoch. The leader counts a lease from the moment it grants it, and adds a margin; the
// holder counts it from the moment it sent the renewal, which is earlier. A holder therefore
// stops before the leader gives the service to another host, as long as no clock runs more than
// the margin slower than another.
package lease

import "time"

const (
	// TTL is how long a holder may use a lease, from the send of its renewal.
	TTL = 3 * time.Second
	// Margin is added by the leader for clocks that run at different speeds, 10% of TTL.
	Margin = TTL / 10
	// ExpiryWait is how long the leader waits after a grant or an election before a lease has expired.
	ExpiryWait = TTL + Margin
	// FirstRenewalTimeout is how long a new owner has to ask for its lease before the service goes to
	// another host. Hosts renew every 500 ms.
	FirstRenewalTimeout = 1500 * time.Millisecond
)

// Owner is the recorded owner of a service. A process that restarts gets a new boot id and is
// another owner, because the leases of its predecessor are unknown to it.
type Owner struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Table is the lease table of one leader for one consensus term. A leader that is elected again
// needs a new table. It is not safe for concurrent use.
type Table struct {
	quarantine time.Time // until then an earlier leader's leases may be valid
	entries    map[string]*entry
}

type entry struct {
	owner  Owner
	until  time.Time // the latest end of the lease, margin included
	closed bool      // never renewed again in this epoch
}

// NewTable returns the table of a leader that was elected at the given time. Earlier leaders may
// have granted leases up to then, because each grant follows a confirmation by a quorum.
func NewTable(elected time.Time) *Table {
	return &Table{quarantine: elected.Add(ExpiryWait), entries: map[string]*entry{}}
}

// entry returns the entry of the recorded owner. An owner that this table has not seen may hold a
// lease from an earlier leader.
func (t *Table) entry(service string, recorded Owner) *entry {
	e := t.entries[service]
	if e == nil || e.owner != recorded {
		e = &entry{owner: recorded, until: t.quarantine}
		t.entries[service] = e
	}
	return e
}

// RecordAssignment notes that the leader itself has committed a new owner, after Close had succeeded for
// the previous one. The new owner has no lease yet, unless it has renewed since the commit. Its
// epoch isn't free during FirstRenewal, so that it can ask for the lease.
func (t *Table) RecordAssignment(now time.Time, service string, recorded Owner) {
	if e := t.entries[service]; e != nil && e.owner == recorded {
		return
	}
	t.entries[service] = &entry{owner: recorded, until: now.Add(FirstRenewalTimeout)}
}

// Renew grants or renews the lease if the claimant is the recorded owner and the lease is not
// closed. The grant must reach the claimant as the answer to a renewal sent before now.
func (t *Table) Renew(now time.Time, service string, recorded, claimant Owner) bool {
	if claimant != recorded || recorded.Host == "" {
		return false
	}
	e := t.entry(service, recorded)
	if e.closed {
		return false
	}
	if until := now.Add(ExpiryWait); until.After(e.until) {
		e.until = until
	}
	return true
}

// Return notes that the owner itself has given its lease back. It never uses this epoch again.
func (t *Table) Return(service string, recorded, returner Owner) {
	if returner != recorded {
		return
	}
	e := t.entry(service, recorded)
	e.until = time.Time{}
	e.closed = true
}

// Free reports whether no host can hold the lease of the recorded owner any more.
func (t *Table) Free(now time.Time, service string, recorded Owner) bool {
	if recorded.Host == "" {
		return true
	}
	return !now.Before(t.entry(service, recorded).until)
}

// CloseEpoch ends an epoch for good if its lease is free. It must succeed before the leader proposes
// the next owner, so that the lease isn't renewed while the proposal is under way.
func (t *Table) CloseEpoch(now time.Time, service string, recorded Owner) bool {
	if !t.Free(now, service, recorded) {
		return false
	}
	if recorded.Host != "" {
		t.entry(service, recorded).closed = true
	}
	return true
}

// ExpiresAt returns the latest end of the recorded owner's lease, margin included.
func (t *Table) ExpiresAt(service string, recorded Owner) time.Time {
	return t.entry(service, recorded).until
}
