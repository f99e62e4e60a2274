package pool

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// alive reports whether an idle connection can be used: the target has neither closed it nor sent
// anything unasked. It doesn't block. Connections with TLS are assumed to be alive.
func (c *Conn) alive() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
