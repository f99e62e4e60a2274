package entry

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
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
