package failover

import "cmp"

// nextOwner returns the host that becomes the owner of a service whose lease is free, or nil: the preferred
// next owner, else the most suitable host. In the steady phase, a recorded owner whose lease has expired
// gets the service back; after a release or in an election, other hosts are preferred.
func (m *Machine) nextOwner(in *Input) *Host {
	if h := findNonDrainingHost(in, m.preferredOwner); h != nil {
		return h
	}
	if h := findNonDrainingHost(in, in.Record.Owner.Host); m.phase == Steady && h != nil && h.BootID == in.Record.Owner.BootID {
		return h
	}
	if m.phase == Releasing || m.phase == Electing {
		if h := m.bestOther(in, nil); h != nil {
			return h
		}
	}
	return m.best(in, func(*Host) bool { return true })
}

// findNonDrainingHost returns the named host, or nil if it isn't known or is draining.
func findNonDrainingHost(in *Input, name string) *Host {
	for i := range in.Hosts {
		if in.Hosts[i].Name == name && !in.Hosts[i].Draining {
			return &in.Hosts[i]
		}
	}
	return nil
}

// bestOther returns the most suitable host, other than the owner, for which accept returns true, or nil if
// there is none. A nil accept accepts every host.
func (m *Machine) bestOther(in *Input, accept func(*Host) bool) *Host {
	return m.best(in, func(h *Host) bool {
		return h.Name != in.Record.Owner.Host && (accept == nil || accept(h))
	})
}

// nextProber returns the next host to probe the primary from, or nil if there is none left.
func (m *Machine) nextProber(in *Input) *Host {
	if len(m.probedHosts) >= maxProbes {
		return nil
	}
	return m.bestOther(in, func(h *Host) bool { return !m.probedHosts[h.Name] })
}

// betterOwner returns the host that the service should be rebalanced to, or nil.
func (m *Machine) betterOwner(in *Input) *Host {
	if !in.MayRebalance || in.Record.ElectionPending || in.Record.Primary == "" {
		return nil
	}
	// A move while the primary may be failing would restart the failure detection at the new owner.
	if in.Now.Sub(m.recordChangedAt) < rebalanceDelay || !m.primaryResponsive(in) {
		return nil
	}
	owner := findNonDrainingHost(in, in.Record.Owner.Host)
	if owner == nil || owner.BootID != in.Record.Owner.BootID {
		return nil
	}
	h := m.bestOther(in, func(h *Host) bool { return in.Now.Sub(h.FirstRenewedAt) >= minHostUptime })
	if h == nil {
		return nil
	}
	ownerInPlace, otherInPlace := inPrimaryPlace(in, owner), inPrimaryPlace(in, h)
	if otherInPlace && !ownerInPlace {
		return h
	}
	if ownerInPlace == otherInPlace && owner.Services-h.Services >= minRebalanceGap {
		return h
	}
	return nil
}

// inPrimaryPlace reports whether a host is in the place of the recorded primary.
func inPrimaryPlace(in *Input, h *Host) bool {
	place := in.Places[in.Record.Primary]
	return place != "" && h.Place == place
}

// best returns the most suitable host for which accept returns true, or nil: hosts in the primary's place
// first, then those with the fewest services, then by name.
func (m *Machine) best(in *Input, accept func(*Host) bool) *Host {
	var best *Host
	for i := range in.Hosts {
		h := &in.Hosts[i]
		if h.Draining || !accept(h) {
			continue
		}
		if best == nil || compareHosts(in, h, best) < 0 {
			best = h
		}
	}
	return best
}

func compareHosts(in *Input, a, b *Host) int {
	if aInPlace, bInPlace := inPrimaryPlace(in, a), inPrimaryPlace(in, b); aInPlace != bInPlace {
		if aInPlace {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.Services, b.Services); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
