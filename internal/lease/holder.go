package lease

import "time"

// Holder keeps the leases of this host. It is not safe for concurrent use.
type Holder struct {
	leases         map[string]Held   // by service
	returnedEpochs map[string]uint64 // highest returned epoch, by service
}

// Held is a lease that the host holds. It is valid before ExpiresAt.
type Held struct {
	Epoch     uint64
	ExpiresAt time.Time
	Revoked   bool // not renewed any more, but valid until ExpiresAt or its return
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder {
	return &Holder{leases: map[string]Held{}, returnedEpochs: map[string]uint64{}}
}

// AcceptGrant applies a grant from the response to a renewal that was sent at the given time. It reports
// whether it accepted the grant: it rejects one with a lower epoch than the current lease, and one whose
// epoch was revoked or returned. The lease ends at most ttl after the renewal was sent, whatever the
// resolution of the host's clock.
func (h *Holder) AcceptGrant(sent time.Time, ttl time.Duration, service string, epoch uint64) bool {
	old, ok := h.leases[service]
	if epoch <= h.returnedEpochs[service] || ok && epoch < old.Epoch {
		return false
	}
	if ok && epoch == old.Epoch && old.Revoked {
		return false
	}
	expiresAt := sent.Add(min(ttl, TTL))
	if ok && epoch == old.Epoch && old.ExpiresAt.After(expiresAt) {
		expiresAt = old.ExpiresAt
	}
	h.leases[service] = Held{Epoch: epoch, ExpiresAt: expiresAt}
	return true
}

// Revoke marks a lease that the leader doesn't renew any more. It stays valid until it expires.
func (h *Holder) Revoke(service string, epoch uint64) {
	if held, ok := h.leases[service]; ok && held.Epoch == epoch {
		held.Revoked = true
		h.leases[service] = held
	}
}

// Return drops a lease that the host returns to the leader. Later grants of this or a lower epoch are rejected.
func (h *Holder) Return(service string, epoch uint64) {
	h.returnedEpochs[service] = max(h.returnedEpochs[service], epoch)
	if held, ok := h.leases[service]; ok && held.Epoch <= epoch {
		delete(h.leases, service)
	}
}

// Valid reports whether the host may act as the owner of the service in the given epoch.
func (h *Holder) Valid(now time.Time, service string, epoch uint64) bool {
	held, ok := h.leases[service]
	return ok && held.Epoch == epoch && now.Before(held.ExpiresAt)
}

// Leases returns the leases that were not returned, by service, including expired ones. The caller must
// not modify the map.
func (h *Holder) Leases() map[string]Held { return h.leases }

// ReturnedEpochs returns the highest returned epoch by service. The caller must not modify the map.
func (h *Holder) ReturnedEpochs() map[string]uint64 { return h.returnedEpochs }
