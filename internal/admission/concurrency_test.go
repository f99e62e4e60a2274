package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slots of a target in another place that are idle while statements are on the network, against
// more statements in flight than slots if the target is in the same place or already has a queue, and against a
// limit that leaves no connections for transaction blocks.
func TestConcurrencyLimit(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		rtt, meanSlotTime time.Duration
		want              int
	}{
		"mean slot time not known": {8 * ms, 0, 2},
		"same place":               {ms / 10, ms, 2},
		"remote, short statements": {8 * ms, 9 * ms, 12}, // 18 by the round trip, but 12 of 16 connections
		"remote, long statements":  {8 * ms, 12 * ms, 6},
		"queue at the target":      {8 * ms, 40 * ms, 2},
		"rtt above mean slot time": {9 * ms, 8 * ms, 12},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ConcurrencyLimit(2, 16, c.rtt, c.meanSlotTime), c.want)
		})
	}
}
