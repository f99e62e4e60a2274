package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/pgwire"
)

var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferBytes)
	return &b
}}

// bufferWrite adds frames to the write buffer and flushes it when it is full. writeMu is held.
func (c *caller) bufferWrite(frames []byte) error {
	if c.writeBuffer != nil && len(*c.writeBuffer)+len(frames) > writeBufferBytes {
		if err := c.flush(); err != nil {
			return err
		}
	}
	if len(frames) > writeBufferBytes {
		return c.write(frames)
	}
	if c.writeBuffer == nil {
		c.writeBuffer = writeBuffers.Get().(*[]byte)
	}
	*c.writeBuffer = append(*c.writeBuffer, frames...)
	return nil
}

// flush writes the contents of the write buffer and returns it to the pool. writeMu is held.
func (c *caller) flush() error {
	if c.writeBuffer == nil {
		return nil
	}
	err := c.write(*c.writeBuffer)
	*c.writeBuffer = (*c.writeBuffer)[:0]
	writeBuffers.Put(c.writeBuffer)
	c.writeBuffer = nil
	return err
}

func (c *caller) write(frames []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.srv.cfg.WriteTimeout)); err != nil {
		return err
	}
	c.account.SetClosable(true)
	_, err := c.nc.Write(frames)
	c.account.SetClosable(c.frameStarted.Load())
	if isTimeout(err) {
		c.srv.cfg.Refusals.Record(budget.LimitReadTime, c.nc.RemoteAddr())
	}
	return err
}

// respond writes frames that the entry host produced, between the frames that are relayed.
func (c *caller) respond(frames []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.bufferWrite(frames); err != nil {
		return err
	}
	return c.flush()
}

// bufferLocalResponses buffers the local responses to the requests at the head of the tracker's queue.
// writeMu is held.
func (c *caller) bufferLocalResponses() error {
	for {
		c.mu.Lock()
		_, frames, ok := c.tracker.PopLocal()
		c.mu.Unlock()
		if !ok {
			return nil
		}
		if err := c.bufferWrite([]byte(frames)); err != nil {
			return err
		}
	}
}

// sendFatal sends a FATAL error and lingers.
func (c *caller) sendFatal(err error) {
	c.srv.metrics.countRefusal(err)
	if c.respond(pgwire.AppendFatal(nil, err)) == nil {
		linger(c.nc)
	}
}

// linger closes the sending side, then reads until the caller closes or a limit is reached, and closes
// the connection. Closing at once with unread input would send a TCP reset, which can discard an error
// in transit.
func linger(nc net.Conn) {
	if w, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, nc, maxLingerBytes)
	_ = nc.Close()
}

// commandComplete appends a CommandComplete with the given tag.
func commandComplete(dst []byte, tag string) []byte {
	return pgwire.Append(dst, pgwire.CommandComplete, append([]byte(tag), 0))
}
