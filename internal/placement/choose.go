package placement

import (
	"cmp"
	"time"
)

const (
	// minHostUptime is the time since a host process first renewed after which it may get target leases that
	// are moved from a host that still serves them. It keeps leases away from a process that fails at its
	// start. A longer uptime of 3 s kept targets outside their own place for half of a rolling restart.
	minHostUptime = 1 * time.Second
	// minMoveGap is the difference in target leases between two hosts of a place that justifies a move.
	minMoveGap = 3
)

// Host is a host that may hold target leases.
type Host struct {
	Name           string
	BootID         string
	Place          string
	Draining       bool
	FirstRenewedAt time.Time // first renewal by this process
	Leases         int       // number of target leases that it holds
}

// established reports whether at least minHostUptime has passed since the first renewal of the process.
func (h *Host) established(now time.Time) bool { return now.Sub(h.FirstRenewedAt) >= minHostUptime }

// Summary answers, for one state of the hosts, whether a holder can stay without comparing it with all hosts.
type Summary struct {
	byName map[string]*Host
	fewest map[string]int // by place: the fewest leases of a host that is not draining
}

// Summarize returns the summary of hosts, which must not change while it is used.
func Summarize(hosts []Host) Summary {
	s := Summary{byName: make(map[string]*Host, len(hosts)), fewest: map[string]int{}}
	for i := range hosts {
		h := &hosts[i]
		s.byName[h.Name] = h
		if fewest, ok := s.fewest[h.Place]; !h.Draining && (!ok || h.Leases < fewest) {
			s.fewest[h.Place] = h.Leases
		}
	}
	return s
}

// Settled reports whether a holder is in the target's place, isn't draining, and has so few leases that ShouldMove
// would return false.
func (s Summary) Settled(holder, bootID, place string) bool {
	h := s.byName[holder]
	return h != nil && h.BootID == bootID && !h.Draining && h.Place == place && h.Leases-s.fewest[place] < minMoveGap
}

// Choose returns the host that should hold the lease of a target in the given place. Draining hosts are never
// chosen, and hosts for which avoid returns true only if there is no other. Of the rest, hosts in the same place
// come first, then established hosts, then those with the fewest leases, then by name. It returns nil if all
// hosts are draining or there are none.
func Choose(now time.Time, hosts []Host, place string, avoid func(host string) bool) *Host {
	var best *Host
	for i := range hosts {
		h := &hosts[i]
		if h.Draining {
			continue
		}
		if best == nil || compareHosts(now, h, best, place, avoid) < 0 {
			best = h
		}
	}
	return best
}

func compareHosts(now time.Time, a, b *Host, place string, avoid func(string) bool) int {
	return cmp.Or(
		compareBool(!avoid(a.Name), !avoid(b.Name)),
		compareBool(a.Place == place, b.Place == place),
		compareBool(a.established(now), b.established(now)),
		cmp.Compare(a.Leases, b.Leases),
		cmp.Compare(a.Name, b.Name),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// ShouldMove reports whether the lease of a target should move from its holder to the host that Choose returns.
// It should if only that host is in the target's place, or if both or neither are and it has at least minMoveGap
// fewer leases. The lease never moves to a host that is avoided or not established.
func ShouldMove(now time.Time, hosts []Host, holder, place string, avoid func(string) bool) bool {
	best := Choose(now, hosts, place, avoid)
	if best == nil || best.Name == holder || avoid(best.Name) || !best.established(now) {
		return false
	}
	for i := range hosts {
		h := &hosts[i]
		if h.Name != holder {
			continue
		}
		bestInPlace, holderInPlace := best.Place == place, h.Place == place
		return bestInPlace && !holderInPlace || bestInPlace == holderInPlace && h.Leases-best.Leases >= minMoveGap
	}
	return false
}
