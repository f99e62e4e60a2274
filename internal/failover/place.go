package failover

import "cmp"

// choose returns the host that gets a free service: the one that a release was for, else the most
// suitable one. Without a reason for a move, an owner that lost its lease for a while gets the
// service back; after a release or in an election another host goes first.
func (m *Machine) choose(in *Input) *Host {
	if h := find(in, m.to); h != nil {
		return h
	}
	if h := find(in, in.Record.Owner.Host); m.phase == Steady && h != nil && h.BootID == in.Record.Owner.BootID {
		return h
	}
	if m.phase == Releasing || m.phase == Electing {
		if h := m.other(in, nil); h != nil {
			return h
		}
	}
	return m.best(in, func(*Host) bool { return true })
}

func find(in *Input, name string) *Host {
	for i := range in.Hosts {
		if in.Hosts[i].Name == name && !in.Hosts[i].Draining {
			return &in.Hosts[i]
		}
	}
	return nil
}

// other returns the most suitable host besides the owner for which ok holds; nil: any.
func (m *Machine) other(in *Input, ok func(*Host) bool) *Host {
	return m.best(in, func(h *Host) bool {
		return h.Name != in.Record.Owner.Host && (ok == nil || ok(h))
	})
}

// askable returns a host for a second opinion that was not asked yet.
func (m *Machine) askable(in *Input) *Host {
	if len(m.asked) >= maxProbes {
		return nil
	}
	return m.other(in, func(h *Host) bool { return !m.asked[h.Name] })
}

// better returns a host to which the service should move although nothing is wrong, or nil.
func (m *Machine) better(in *Input) *Host {
	if !in.MayRebalance || in.Record.ElectionPending || in.Record.Primary == "" {
		return nil
	}
	// A move while the primary may be failing would start its detection anew at another owner.
	if in.Now.Sub(m.changed) < steadyTime || !m.answering(in) {
		return nil
	}
	owner := find(in, in.Record.Owner.Host)
	if owner == nil || owner.BootID != in.Record.Owner.BootID {
		return nil
	}
	h := m.other(in, func(h *Host) bool { return in.Now.Sub(h.FirstRenewedAt) >= hostTrial })
	if h == nil {
		return nil
	}
	here, there := near(in, owner), near(in, h)
	if there && !here {
		return h
	}
	if here == there && owner.Services-h.Services >= balanceGap {
		return h
	}
	return nil
}

// near reports whether a host is in the place of the recorded primary.
func near(in *Input, h *Host) bool {
	place := in.Places[in.Record.Primary]
	return place != "" && h.Place == place
}

// best returns the most suitable host for which ok holds: in the primary's place, then with the
// fewest services, then by name.
func (m *Machine) best(in *Input, ok func(*Host) bool) *Host {
	var best *Host
	for i := range in.Hosts {
		h := &in.Hosts[i]
		if h.Draining || !ok(h) {
			continue
		}
		if best == nil || compare(in, h, best) < 0 {
			best = h
		}
	}
	return best
}

func compare(in *Input, a, b *Host) int {
	if na, nb := near(in, a), near(in, b); na != nb {
		if na {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.Services, b.Services); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
