// Package pgwire reads and writes frames of the PostgreSQL protocol, version 3, without decoding
// what a relay doesn't need to understand. Messages that must be understood are decoded by
// pgproto3.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// HeaderBytes is the size of a frame's type byte and length.
const HeaderBytes = 5

// MaxFrameBytes bounds one frame that has to be held in memory.
const MaxFrameBytes = 64 << 20

// readBufferBytes is the size of a Reader's buffer. Frames up to this size are returned without a
// copy.
const readBufferBytes = 8 << 10

// ErrFrameLength means that a frame's length field is impossible or exceeds the limit.
var ErrFrameLength = errors.New("frame length out of range")

// Frame is one message with its header: type byte, big-endian length that counts itself, body.
type Frame []byte

// Type returns the frame's type byte.
func (f Frame) Type() byte { return f[0] }

// Body returns the frame without its header.
func (f Frame) Body() []byte { return f[HeaderBytes:] }

// Reader reads frames from a byte stream.
type Reader struct {
	r     *bufio.Reader
	limit int
	large []byte // buffer for frames that don't fit into r's buffer
	skip  int    // bytes of r's buffer that belong to the last returned frame
}

// NewReader returns a Reader that refuses frames above limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return NewReaderSize(r, limit, readBufferBytes)
}

// NewReaderSize is NewReader with a buffer of size bytes, for connections that are mostly idle.
func NewReaderSize(r io.Reader, limit, size int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, size), limit: limit}
}

// Reset discards buffered data and reads from r from now on. It keeps the buffer, for use in pools.
func (r *Reader) Reset(src io.Reader) {
	r.r.Reset(src)
	r.skip = 0
	r.large = nil
}

// Next returns the next frame. It is valid until the following call. The error is io.EOF only at a
// frame boundary.
func (r *Reader) Next() (Frame, error) {
	r.release()
	head, err := r.r.Peek(HeaderBytes)
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || uint64(size)+1 > uint64(r.limit) {
		return nil, fmt.Errorf("frame %q of %d bytes: %w", head[0], size, ErrFrameLength)
	}
	return r.body(int(size) + 1)
}

func (r *Reader) body(total int) (Frame, error) {
	if total <= r.r.Size() {
		frame, err := r.r.Peek(total)
		if err != nil {
			return nil, unexpected(err)
		}
		r.skip = total
		return frame, nil
	}
	if cap(r.large) < total {
		r.large = make([]byte, total)
	}
	frame := r.large[:total]
	if _, err := io.ReadFull(r.r, frame); err != nil {
		return nil, unexpected(err)
	}
	return frame, nil
}

func (r *Reader) release() {
	if r.skip > 0 {
		_, _ = r.r.Discard(r.skip) // never fails: the bytes are buffered
		r.skip = 0
	}
	if cap(r.large) > 4*readBufferBytes {
		r.large = nil // a single huge frame must not be kept for the life of a session
	}
}

// Buffered returns the number of bytes that can be read without blocking, past the last frame.
func (r *Reader) Buffered() int { return r.r.Buffered() - r.skip }

// HasFrame reports whether Next would return a frame without reading. A frame that is larger than
// the buffer doesn't count.
func (r *Reader) HasFrame() bool {
	n := r.Buffered()
	if n < HeaderBytes {
		return false
	}
	head, err := r.r.Peek(r.skip + HeaderBytes)
	if err != nil {
		return false
	}
	return uint64(binary.BigEndian.Uint32(head[r.skip+1:]))+1 <= uint64(n)
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Append appends a frame of the given type and body to dst.
func Append(dst []byte, typ byte, body []byte) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// CString returns the zero-terminated string at the start of body and the rest. ok is false when
// the terminator is missing.
func CString(body []byte) (s, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return body[:i], body[i+1:], true
		}
	}
	return nil, body, false
}
