package lease

import "time"

// Holder is a host's view of its leases. It is not safe for concurrent use.
type Holder struct {
	leases   map[string]Held
	returned map[string]uint64 // highest epoch given back, per service
}

// Held is a lease in a holder's hands. It is valid before Until.
type Held struct {
	Epoch     uint64
	ExpiresAt time.Time
	Revoked   bool // no longer renewed; valid until Until or its return
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder {
	return &Holder{leases: map[string]Held{}, returned: map[string]uint64{}}
}

// AcceptGrant notes a lease from an answer to a renewal sent at the given time. It reports whether the
// lease is accepted: not after a higher epoch, a revocation or a return of the same epoch. A
// holder whose clock resolution hides the margin still stops at sent+ttl.
func (h *Holder) AcceptGrant(sent time.Time, ttl time.Duration, service string, epoch uint64) bool {
	old, ok := h.leases[service]
	if epoch <= h.returned[service] || ok && epoch < old.Epoch {
		return false
	}
	if ok && epoch == old.Epoch && old.Revoked {
		return false
	}
	until := sent.Add(min(ttl, TTL))
	if ok && epoch == old.Epoch && old.ExpiresAt.After(until) {
		until = old.ExpiresAt
	}
	h.leases[service] = Held{Epoch: epoch, ExpiresAt: until}
	return true
}

// Revoke notes that the leader no longer renews the lease.
func (h *Holder) Revoke(service string, epoch uint64) {
	if held, ok := h.leases[service]; ok && held.Epoch == epoch {
		held.Revoked = true
		h.leases[service] = held
	}
}

// Return gives a lease back. No later grant of this or a lower epoch is accepted.
func (h *Holder) Return(service string, epoch uint64) {
	h.returned[service] = max(h.returned[service], epoch)
	if held, ok := h.leases[service]; ok && held.Epoch <= epoch {
		delete(h.leases, service)
	}
}

// Valid reports whether the holder may act as the owner of the service in the given epoch.
func (h *Holder) Valid(now time.Time, service string, epoch uint64) bool {
	held, ok := h.leases[service]
	return ok && held.Epoch == epoch && now.Before(held.ExpiresAt)
}

// Leases returns the leases, valid or not, that were not returned. The map must not be changed.
func (h *Holder) Leases() map[string]Held { return h.leases }

// ReturnedEpochs returns the highest returned epoch per service. The map must not be changed.
func (h *Holder) ReturnedEpochs() map[string]uint64 { return h.returned }
