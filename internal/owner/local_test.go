package owner

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against losing first frames that exceed the limit for a direct send.
func TestLargeFirstFrames(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		r := h.run(wire.TxRequest{ReadOnly: true}, "SELECT 3"+strings.Repeat(" ", 2*maxDirectBytes))
		is.Equal(r.rows, 3)
		is.Equal(r.status, byte('I'))
	})
}

// Guards against leaked slots and connections when a local stream is closed before anything has been
// read from it.
func TestUnreadStreamReleasesResources(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		for range 20 { // more than the connections of a target
			c := h.open(wire.TxRequest{}, "BEGIN")
			is.True(c.reply.Admitted)
			is.NoErr(c.Close())
			synctest.Wait()
		}
		is.Equal(h.run(writeRequest, "INSERT").status, byte('I'))
	})
}
