package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/pgwire"
)

var outPool = sync.Pool{New: func() any {
	b := make([]byte, 0, outBytes)
	return &b
}}

// put collects bytes for the caller. wmu is held.
func (c *caller) put(b []byte) error {
	if c.out != nil && len(*c.out)+len(b) > outBytes {
		if err := c.flush(); err != nil {
			return err
		}
	}
	if len(b) > outBytes {
		return c.writeNow(b)
	}
	if c.out == nil {
		c.out = outPool.Get().(*[]byte)
	}
	*c.out = append(*c.out, b...)
	return nil
}

// flush writes what put collected and gives the buffer back. wmu is held.
func (c *caller) flush() error {
	if c.out == nil {
		return nil
	}
	err := c.writeNow(*c.out)
	*c.out = (*c.out)[:0]
	outPool.Put(c.out)
	c.out = nil
	return err
}

func (c *caller) writeNow(b []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.srv.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write(b)
	return err
}

// answer writes frames of the entry host itself, between the responses of requests.
func (c *caller) answer(frames []byte) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if err := c.put(frames); err != nil {
		return err
	}
	return c.flush()
}

// answerLocal writes the answers of requests at the head of the queue that were not sent on. wmu is
// held.
func (c *caller) answerLocal() error {
	for {
		c.mu.Lock()
		_, frames, ok := c.tracker.PopLocal()
		c.mu.Unlock()
		if !ok {
			return nil
		}
		if err := c.put([]byte(frames)); err != nil {
			return err
		}
	}
}

// fatal reports an error that ends the connection.
func (c *caller) fatal(err error) {
	c.srv.metrics.refusal(err)
	if c.answer(pgwire.AppendFatal(nil, err)) == nil {
		linger(c.nc)
	}
}

// linger ends the sending side and reads until the caller closes, within bounds. Closing at once
// with unread input would send a reset, which can discard an error on its way.
func linger(nc net.Conn) {
	if w, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, nc, lingerBytes)
	_ = nc.Close()
}

// commandComplete appends a CommandComplete with the given tag.
func commandComplete(dst []byte, tag string) []byte {
	return pgwire.Append(dst, pgwire.CommandComplete, append([]byte(tag), 0))
}
