package daemon

import (
	"errors"
	"io"
	"sync"
)

// pipeBufferBytes is the amount of data that one direction of a local stream holds before its
// writer waits.
const pipeBufferBytes = 64 << 10

var errReset = errors.New("stream was closed by the other side")

// newPipe returns both ends of an in-process stream. It is used when the entry host owns the
// service itself. Closing an end lets the other one read what was written and then io.EOF; writes
// of the other end fail.
func newPipe() (a, b *pipeEnd) {
	ab, ba := newHalf(), newHalf()
	return &pipeEnd{in: ba, out: ab}, &pipeEnd{in: ab, out: ba}
}

type pipeEnd struct{ in, out *half }

func (p *pipeEnd) Read(b []byte) (int, error)  { return p.in.read(b) }
func (p *pipeEnd) Write(b []byte) (int, error) { return p.out.write(b) }

// CloseWrite ends the sending direction after all written data.
func (p *pipeEnd) CloseWrite() error {
	p.out.closeWrite()
	return nil
}

// Close ends both directions.
func (p *pipeEnd) Close() error {
	p.out.closeWrite()
	p.in.closeRead()
	return nil
}

// half is one direction of a pipe.
type half struct {
	mu       sync.Mutex
	changed  sync.Cond
	buf      []byte
	start    int // of the unread part of buf
	noWriter bool
	noReader bool
}

func newHalf() *half {
	h := &half{}
	h.changed.L = &h.mu
	return h
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.start == len(h.buf) && !h.noWriter && !h.noReader {
		h.changed.Wait()
	}
	if h.noReader {
		return 0, io.ErrClosedPipe
	}
	if h.start == len(h.buf) {
		return 0, io.EOF
	}
	n := copy(b, h.buf[h.start:])
	h.start += n
	if h.start == len(h.buf) {
		h.buf, h.start = h.buf[:0], 0
	}
	h.changed.Broadcast()
	return n, nil
}

func (h *half) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for written < len(b) {
		for len(h.buf)-h.start >= pipeBufferBytes && !h.noReader && !h.noWriter {
			h.changed.Wait()
		}
		if h.noReader {
			return written, errReset
		}
		if h.noWriter {
			return written, io.ErrClosedPipe
		}
		h.compact()
		n := min(len(b)-written, pipeBufferBytes-len(h.buf))
		h.buf = append(h.buf, b[written:written+n]...)
		written += n
		h.changed.Broadcast()
	}
	return written, nil
}

// compact moves the unread part to the front, so that the buffer doesn't grow past its bound.
func (h *half) compact() {
	if h.start == 0 {
		return
	}
	n := copy(h.buf, h.buf[h.start:])
	h.buf, h.start = h.buf[:n], 0
}

func (h *half) closeWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noWriter = true
	h.changed.Broadcast()
}

func (h *half) closeRead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noReader = true
	h.buf, h.start = nil, 0
	h.changed.Broadcast()
}
