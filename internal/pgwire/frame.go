// Package pgwire reads and writes frames of the PostgreSQL frontend/backend protocol, version 3. A relay
// forwards most frames without decoding them; those that it has to interpret are decoded by pgproto3.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// HeaderBytes is the size of a frame's type byte and length field.
const HeaderBytes = 5

// MaxFrameBytes bounds the size of a frame, since an entire frame is held in memory.
const MaxFrameBytes = 64 << 20

// readBufferBytes is the size of a Reader's buffer. Frames up to this size are returned without a
// copy.
const readBufferBytes = 8 << 10

// ErrFrameLength means that a frame's length field is invalid, exceeds the limit, or does not match the
// available bytes.
var ErrFrameLength = errors.New("frame length out of range")

// Frame is one message: a type byte, a big-endian length that includes itself but not the type byte, and
// the body.
type Frame []byte

// Type returns the frame's type byte.
func (f Frame) Type() byte { return f[0] }

// Body returns the frame without its header.
func (f Frame) Body() []byte { return f[HeaderBytes:] }

// Reader reads frames from a byte stream.
type Reader struct {
	src      *bufio.Reader
	maxFrame int
	large    []byte // buffer for frames that exceed the buffer of src
	returned int    // buffered bytes of src that belong to the last returned frame
	reserve  func(size int) error
}

// firstLargeBytes is the size of the first buffer for a large frame. It grows as bytes arrive, because a length may be
// announced without them.
const firstLargeBytes = 64 << 10

// OnGrow makes the Reader call reserve before its buffer for large frames gets a new size, which is 0 once the frame
// was released. An error of reserve ends Next.
func (r *Reader) OnGrow(reserve func(size int) error) { r.reserve = reserve }

// NewReader returns a Reader that rejects frames of more than maxFrame bytes.
func NewReader(src io.Reader, maxFrame int) *Reader {
	return NewReaderSize(src, maxFrame, readBufferBytes)
}

// NewReaderSize is NewReader with a buffer of bufferBytes: a small one suits connections that are mostly idle.
func NewReaderSize(src io.Reader, maxFrame, bufferBytes int) *Reader {
	return &Reader{src: bufio.NewReaderSize(src, bufferBytes), maxFrame: maxFrame}
}

// Reset discards buffered data and switches the Reader to newSrc. It keeps the buffer, so that Readers can be
// pooled.
func (r *Reader) Reset(newSrc io.Reader) {
	r.src.Reset(newSrc)
	r.returned = 0
	r.large = nil
}

// Next returns the next frame, which is valid until the following call. It returns io.EOF only at a frame
// boundary, and io.ErrUnexpectedEOF within a frame.
func (r *Reader) Next() (Frame, error) {
	r.discardReturned()
	header, err := r.src.Peek(HeaderBytes)
	if err != nil {
		if err == io.EOF && len(header) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < 4 || uint64(length)+1 > uint64(r.maxFrame) {
		return nil, fmt.Errorf("frame %q has length %d, want 4 to %d: %w", header[0], length, r.maxFrame-1, ErrFrameLength)
	}
	return r.readFrame(int(length) + 1)
}

// readFrame reads a frame of the given size, header included.
func (r *Reader) readFrame(size int) (Frame, error) {
	if size <= r.src.Size() {
		frame, err := r.src.Peek(size)
		if err != nil {
			return nil, asUnexpectedEOF(err)
		}
		r.returned = size
		return frame, nil
	}
	for read := 0; read < size; {
		part := min(size, max(firstLargeBytes, 2*read))
		if err := r.growLarge(part, read); err != nil {
			return nil, err
		}
		n, err := io.ReadFull(r.src, r.large[read:part])
		if read += n; err != nil {
			return nil, asUnexpectedEOF(err)
		}
	}
	return r.large[:size], nil
}

// growLarge makes room for size bytes in large and keeps the first used bytes.
func (r *Reader) growLarge(size, used int) error {
	if cap(r.large) >= size {
		r.large = r.large[:cap(r.large)]
		return nil
	}
	if r.reserve != nil {
		if err := r.reserve(size); err != nil {
			return err
		}
	}
	grown := make([]byte, size)
	copy(grown, r.large[:used])
	r.large = grown
	return nil
}

// discardReturned releases the buffers of the last returned frame.
func (r *Reader) discardReturned() {
	if r.returned > 0 {
		_, _ = r.src.Discard(r.returned) // can't fail: the bytes are buffered
		r.returned = 0
	}
	switch {
	case r.reserve != nil && r.large != nil:
		r.large = nil // a kept buffer would stay reserved while the connection is idle
		_ = r.reserve(0)
	case cap(r.large) > 4*readBufferBytes:
		r.large = nil // the buffer of a single huge frame must not be kept for the life of a session
	}
}

// Buffered returns the number of bytes after the last returned frame that can be read without blocking.
func (r *Reader) Buffered() int { return r.src.Buffered() - r.returned }

// HasFrame reports whether the next frame is completely buffered, so that Next would not block. It is always
// false for a frame that is larger than the buffer.
func (r *Reader) HasFrame() bool {
	buffered := r.Buffered()
	if buffered < HeaderBytes {
		return false
	}
	header, err := r.src.Peek(r.returned + HeaderBytes)
	if err != nil {
		return false
	}
	return uint64(binary.BigEndian.Uint32(header[r.returned+1:]))+1 <= uint64(buffered)
}

func asUnexpectedEOF(err error) error {
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

// CString returns the zero-terminated string at the start of body, and the rest of body. It reports false if
// there is no terminator.
func CString(body []byte) (s, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return body[:i], body[i+1:], true
		}
	}
	return nil, body, false
}
