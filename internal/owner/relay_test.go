package owner

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
)

// endlessRows is a connection that returns the same row from each call of Next.
type endlessRows struct {
	Conn
	row pgwire.Frame
}

func (e endlessRows) Next() (pgwire.Frame, error) { return e.row, nil }

func (e endlessRows) HasNext() bool { return true }

type discardStream struct{ io.ReadWriteCloser }

func (discardStream) Write(p []byte) (int, error) { return len(p), nil }

// Guards against an allocation for each relayed row, which would dominate the cost of large
// results.
func TestRowsAreRelayedWithoutAllocation(t *testing.T) {
	is := is.New(t)
	x := newRelayTx(endlessRows{row: pgwire.Append(nil, pgwire.DataRow, make([]byte, 100))})
	n := testing.AllocsPerRun(10000, func() {
		f, _ := x.acquired.conn.Next()
		x.handleResponse(f)
	})
	t.Logf("%.4f allocations per row", n)
	is.True(n < 0.01)
}

// newRelayTx returns a transaction on the primary that relays the responses of c and discards them.
func newRelayTx(c Conn) *tx {
	x := &tx{responder: streamResponder{discardStream{}}, acquired: &acquiredConn{conn: c, isPrimary: true}}
	x.pendingSyncs = 1
	return x
}

func BenchmarkRelayRow(b *testing.B) {
	x := newRelayTx(endlessRows{row: pgwire.Append(nil, pgwire.DataRow, make([]byte, 100))})
	b.ReportAllocs()
	b.SetBytes(105)
	for b.Loop() {
		f, _ := x.acquired.conn.Next()
		x.handleResponse(f)
	}
}

// Guards against a COMMIT that is relayed before it is confirmed, or confirmed without a position,
// when further results follow it in the same batch. Also checks that request keys are quoted
// against SQL injection.
func TestCommitIsHeldBack(t *testing.T) {
	is := is.New(t)
	x := newRelayTx(endlessRows{})
	x.acquired.isPrimary = true
	is.True(x.handleResponse(pgwire.Append(nil, pgwire.CommandComplete, []byte("COMMIT\x00"))))
	is.True(x.handleResponse(pgwire.Append(nil, pgwire.DataRow, make([]byte, 10))))
	is.True(x.relay.heldCommit)
	is.True(!x.relay.relayed) // nothing is relayed before the confirmation
	is.Equal(x.committed(position.Position{}), position.Position{})
	is.Equal(quote("k'1\x00"), "'k''1'")
}

// Guards against rows that are buffered in the owner until the target has produced the next one.
func TestRowsAreNotDelayed(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		h.locked(func() { h.targets["a"].fault = func(string) string { return "hang" } })
		c := h.open(writeRequest, "SELECT 2")
		synctest.Wait()
		from := time.Now()
		for range 2 {
			h.locked(func() { h.targets["a"].conns[0].row("x") })
			f, err := c.reader.Next()
			is.NoErr(err)
			is.Equal(f.Type(), byte(pgwire.DataRow))
		}
		is.Equal(time.Since(from), time.Duration(0))
		_ = c.Close()
	})
}
