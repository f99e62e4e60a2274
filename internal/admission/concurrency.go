package admission

import "time"

const (
	// minRunTime is the lower bound of the estimated time that a statement runs at its target.
	minRunTime = 500 * time.Microsecond
	// maxInFlightPerSlot bounds the statements in flight per slot of a target.
	maxInFlightPerSlot = 8
	// reservedConnsDivisor reserves 1/reservedConnsDivisor of a target's connections for idle transaction
	// blocks.
	reservedConnsDivisor = 4
)

// ConcurrencyLimit returns the number of statements that may be in flight to a target, so that its slots
// stay busy while other statements and results are on the network. rtt is the round-trip time to the target.
// meanSlotTime is the mean time of a statement including the round trip, see Gate.MeanSlotTime. While either is
// 0, which means that it isn't known, the limit is slots. When statements queue at the target, meanSlotTime
// grows and the limit falls again.
func ConcurrencyLimit(slots, conns int, rtt, meanSlotTime time.Duration) int {
	if meanSlotTime <= 0 || rtt <= 0 {
		return slots
	}
	runTime := max(meanSlotTime-rtt, minRunTime)
	inTransit := int(time.Duration(slots) * rtt / runTime)
	connLimit := max(slots, conns-conns/reservedConnsDivisor)
	return min(slots+inTransit, slots*maxInFlightPerSlot, connLimit)
}
