package pool

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// alive reports whether an idle connection can be used: the target has neither closed it nor sent
// anything unasked. It doesn't block. Connections with TLS are assumed to be alive.
func (c *Conn) alive() bool {
	if c.raw == nil {
		return true
	}
	c.quiet = false
	err := c.raw.Read(c.peek)
	return err == nil && c.quiet
}

// watch prepares alive, so that it allocates nothing.
func (c *Conn) watch() error {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var buf [1]byte
	c.peek = func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.quiet = err == unix.EAGAIN
		return true
	}
	c.raw = raw
	return nil
}
