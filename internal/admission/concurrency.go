package admission

import "time"

const (
	// minWork is the lower bound of the estimated time that a statement runs at its target.
	minWork = 500 * time.Microsecond
	// maxWidth bounds the statements in flight per slot of a target.
	maxWidth = 8
	// spareConns reserves 1/spareConns of a target's connections for idle transaction blocks.
	spareConns = 4
)

// ConcurrencyLimit returns the number of statements that may be in flight to a target, so that its slots stay busy
// while other statements and results are on the network. rtt is the round-trip time to the target;
// meanTime is the mean time of a statement including the round trip, or 0 if it isn't known. When
// statements queue at the target, meanTime grows and the limit falls again.
func ConcurrencyLimit(slots, conns int, delay, cost time.Duration) int {
	if cost <= 0 || delay <= 0 {
		return slots
	}
	work := max(cost-delay, minWork)
	travelling := int(time.Duration(slots) * delay / work)
	limit := max(slots, conns-conns/spareConns)
	return min(slots+travelling, slots*maxWidth, limit)
}
