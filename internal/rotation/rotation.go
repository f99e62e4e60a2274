// Package rotation decides whether a host that can't serve callers says so to the load balancer in front of it.
//
// A load balancer that is left with fewer than half of the hosts of a place takes its own checks for wrong and uses all of
// them again. A partition that cuts off more than half of a place would thus send most callers to hosts that have to refuse
// them, although the others have room. Of the hosts that can't serve, therefore, only as many leave the rotation as keep it
// above half. All hosts of one side of a partition see the same hosts and order them in the same way, so they need no messages.
package rotation

const (
	// minOthers is the fraction of the hosts of a place that have to be out of reach, and so may still serve, for a host to stay
	// in the rotation: without them no host of the place is better than another.
	minOthers = 0.25
	// maxLeaving is the greatest fraction of the hosts of a place that leave its rotation because of a partition. The rest of the
	// half is for hosts that are not ready for other reasons.
	maxLeaving = 0.4375
)

// Decision says what a host does that can't serve callers.
type Decision struct {
	Leave       bool // it may leave the rotation
	OthersServe bool // other hosts of its place may be able to serve its callers
}

// Decide decides for the host self. hosts are the addresses of all hosts of its place. A host that is connected and not silent
// is on the same side of a partition, so that it can't serve either. Whether a host is silent is known before its connection
// ends, but not to all hosts at the same time, so it doesn't count in the order of the hosts that leave.
func Decide(self string, hosts []string, connected, silent func(host string) bool) Decision {
	others, rank, total := 0, 0, 1
	for _, host := range hosts {
		if host == self {
			continue
		}
		total++
		isConnected := connected(host)
		if !isConnected || silent(host) {
			others++
		}
		if isConnected && host < self {
			rank++
		}
	}
	d := Decision{OthersServe: float64(others) >= minOthers*float64(total)}
	d.Leave = !d.OthersServe || rank < int(maxLeaving*float64(total))
	return d
}
