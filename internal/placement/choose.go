package placement

import (
	"cmp"
	"time"
)

const (
	// hostTrial is how long a process must have served before targets move to it from a host that
	// still serves them. It keeps them off a process that fails at its start; at 3 s they spent half of a
	// rolling restart in other places.
	hostTrial = 1 * time.Second
	// balanceGap is the difference in seats between two hosts of a place that justifies a move.
	balanceGap = 3
)

// Host is a host that may hold leases.
type Host struct {
	Name           string
	BootID         string
	Place          string
	Draining       bool
	FirstRenewedAt time.Time // first renewal of this process
	Leases         int
}

// tried reports whether the process has served long enough for targets to move to it.
func (h *Host) tried(now time.Time) bool { return now.Sub(h.FirstRenewedAt) >= hostTrial }

// Choose returns the host for a target in a place: one in the same place if there is any, then one
// whose process has proved itself, then the one with the fewest seats, then by name. Hosts for which
// avoid returns true are the last resort. It returns nil if there is no host.
func Choose(now time.Time, hosts []Host, place string, avoid func(host string) bool) *Host {
	var best *Host
	for i := range hosts {
		h := &hosts[i]
		if h.Draining {
			continue
		}
		if best == nil || compare(now, h, best, place, avoid) < 0 {
			best = h
		}
	}
	return best
}

func compare(now time.Time, a, b *Host, place string, avoid func(string) bool) int {
	return cmp.Or(
		before(!avoid(a.Name), !avoid(b.Name)),
		before(a.Place == place, b.Place == place),
		before(a.tried(now), b.tried(now)),
		cmp.Compare(a.Leases, b.Leases),
		cmp.Compare(a.Name, b.Name),
	)
}

// before orders true in front of false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// ShouldMove reports whether a target should move from its holder to another host although nothing is
// wrong: the other one is in the target's place, or serves much less there.
func ShouldMove(now time.Time, hosts []Host, holder, place string, avoid func(string) bool) bool {
	best := Choose(now, hosts, place, avoid)
	if best == nil || best.Name == holder || avoid(best.Name) || !best.tried(now) {
		return false
	}
	for i := range hosts {
		h := &hosts[i]
		if h.Name != holder {
			continue
		}
		near, far := best.Place == place, h.Place != place
		return near && far || near == (h.Place == place) && h.Leases-best.Leases >= balanceGap
	}
	return false
}
