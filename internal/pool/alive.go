package pool

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// alive reports whether an idle connection can be used: the target has neither closed it nor sent
// unsolicited data. It does not block. Connections with TLS are assumed to be alive.
func (c *Conn) alive() bool {
	if c.rawConn == nil {
		return true
	}
	c.noDataPending = false
	err := c.rawConn.Read(c.peekSocket)
	return err == nil && c.noDataPending
}

// initAliveCheck creates, once per connection, the callback that alive uses, so that alive does not allocate.
func (c *Conn) initAliveCheck() error {
	syscallConn, ok := c.net.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	var buf [1]byte
	c.peekSocket = func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.noDataPending = err == unix.EAGAIN
		return true
	}
	c.rawConn = raw
	return nil
}
