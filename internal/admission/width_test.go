package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slots of a remote target that idle while statements travel, against a queue at a
// target that is near or slow, and against a width that leaves no connection to blocks.
func TestWidth(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		delay, cost time.Duration
		want        int
	}{
		"nothing measured":    {8 * ms, 0, 2},
		"same place":          {ms / 10, ms, 2},
		"remote, short work":  {8 * ms, 9 * ms, 12}, // 18 would fit the slots; 12 of 16 connections
		"remote, longer work": {8 * ms, 12 * ms, 6},
		"queue at the target": {8 * ms, 40 * ms, 2},
		"noisy delay":         {9 * ms, 8 * ms, 12},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ConcurrencyLimit(2, 16, c.delay, c.cost), c.want)
		})
	}
}
