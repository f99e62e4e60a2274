package admission

import "time"

const (
	// minWork bounds the estimate of a statement's time at its target from below.
	minWork = 500 * time.Microsecond
	// maxWidth bounds the statements under way for each slot of a target.
	maxWidth = 8
	// spareConns is the part of a target's connections, 1 in so many, that statements under way leave
	// to idle transaction blocks.
	spareConns = 4
)

// ConcurrencyLimit returns the number of statements that a lane may have under way so that its target's slots
// stay busy while others travel. Delay is the round trip to the target; cost is the mean time of a
// statement, the round trip included, or 0 if it isn't known. When statements queue at the target,
// their cost grows and the width shrinks again.
func ConcurrencyLimit(slots, conns int, delay, cost time.Duration) int {
	if cost <= 0 || delay <= 0 {
		return slots
	}
	work := max(cost-delay, minWork)
	travelling := int(time.Duration(slots) * delay / work)
	limit := max(slots, conns-conns/spareConns)
	return min(slots+travelling, slots*maxWidth, limit)
}
