package daemon

import (
	"errors"
	"io"
	"sync"
)

// pipeBufferBytes is the buffer size of one direction of a pipe. A writer blocks while it is full.
const pipeBufferBytes = 64 << 10

var errPeerClosed = errors.New("local stream was closed by its reader")

// newPipe returns both ends of a buffered in-process stream, which replaces a network stream when the
// entry host owns the service itself. After one end is closed, the other end reads the remaining data
// and then io.EOF, and its writes fail.
func newPipe() (a, b *pipeEnd) {
	ab, ba := newHalf(), newHalf()
	return &pipeEnd{in: ba, out: ab}, &pipeEnd{in: ab, out: ba}
}

type pipeEnd struct{ in, out *half }

func (p *pipeEnd) Read(b []byte) (int, error)  { return p.in.read(b) }
func (p *pipeEnd) Write(b []byte) (int, error) { return p.out.write(b) }

// CloseWrite closes the sending direction. The other end still reads all data written before.
func (p *pipeEnd) CloseWrite() error {
	p.out.closeWrite()
	return nil
}

// Close closes both directions.
func (p *pipeEnd) Close() error {
	p.out.closeWrite()
	p.in.closeRead()
	return nil
}

// half is one direction of a pipe.
type half struct {
	mu          sync.Mutex
	cond        sync.Cond
	buf         []byte
	readOffset  int // start of the unread part of buf
	writeClosed bool
	readClosed  bool
}

func newHalf() *half {
	h := &half{}
	h.cond.L = &h.mu
	return h
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.readOffset == len(h.buf) && !h.writeClosed && !h.readClosed {
		h.cond.Wait()
	}
	if h.readClosed {
		return 0, io.ErrClosedPipe
	}
	if h.readOffset == len(h.buf) {
		return 0, io.EOF
	}
	n := copy(b, h.buf[h.readOffset:])
	h.readOffset += n
	if h.readOffset == len(h.buf) {
		h.buf, h.readOffset = h.buf[:0], 0
	}
	h.cond.Broadcast()
	return n, nil
}

func (h *half) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for written < len(b) {
		for len(h.buf)-h.readOffset >= pipeBufferBytes && !h.readClosed && !h.writeClosed {
			h.cond.Wait()
		}
		if h.readClosed {
			return written, errPeerClosed
		}
		if h.writeClosed {
			return written, io.ErrClosedPipe
		}
		h.compact()
		n := min(len(b)-written, pipeBufferBytes-len(h.buf))
		h.buf = append(h.buf, b[written:written+n]...)
		written += n
		h.cond.Broadcast()
	}
	return written, nil
}

// compact moves the unread part to the front of the buffer to make room within pipeBufferBytes.
func (h *half) compact() {
	if h.readOffset == 0 {
		return
	}
	n := copy(h.buf, h.buf[h.readOffset:])
	h.buf, h.readOffset = h.buf[:n], 0
}

func (h *half) closeWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeClosed = true
	h.cond.Broadcast()
}

func (h *half) closeRead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readClosed = true
	h.buf, h.readOffset = nil, 0
	h.cond.Broadcast()
}
