package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/budget"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a connection that stays open after its transaction was lost, because the next part of a large frame
// puts off the wake-up of its read loop.
func TestFrameDeadlineKeepsWakeUp(t *testing.T) {
	is := is.New(t)
	wakeUp, end := time.Unix(1, 0), time.Unix(1000, 0)
	for _, c := range []*caller{{}, {connBroken: true}, {draining: true}, {idleTimer: idleTimer{expired: true}}} {
		conn := &deadlineConn{deadline: wakeUp}
		c.nc = conn
		c.setFrameDeadline(end)
		is.Equal(conn.deadline.Equal(wakeUp), c.connBroken || c.draining || c.idleTimer.expired)
	}
}

// Guards against a caller that can't be closed although it has stopped in a frame, because a response was written to it
// meanwhile.
func TestHalfFrameStaysClosable(t *testing.T) {
	is := is.New(t)
	clients := budget.New(budget.Limits{Bytes: 1000})
	closed := false
	nc, peer := net.Pipe()
	defer nc.Close()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	c := &caller{srv: &Server{cfg: Config{}.withDefaults()}, nc: nc, account: clients.Open(func() { closed = true })}
	is.NoErr(c.reserveFrame(200))
	is.NoErr(c.write([]byte("response")))
	is.True(!clients.Open(nil).Hold(500, false)) // nothing is released in this test
	is.True(closed)
}
