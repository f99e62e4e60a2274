package transport

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Error codes of reset streams and closed connections.
const (
	codeCancelled = 1 // the stream was reset by its user, or its remaining data is not wanted
	codeRefused   = 2 // the stream was refused before a handler saw it
	codeClosed    = 3 // the endpoint, or only this connection, was closed
	codeSilent    = 4 // the peer was silent
)

// Stream carries a request and its response. Read and Write may be called concurrently with each other
// and with the remaining methods.
type Stream interface {
	io.ReadWriteCloser
	// CloseWrite closes the sending direction; data already written is still delivered.
	CloseWrite() error
	// Reset aborts both directions; the peer's reads and writes fail.
	Reset()
	SetDeadline(t time.Time) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
}

// stream is a Stream that delays the header until the first write, so that both are sent in one packet.
type stream struct {
	quicStream *quic.Stream
	bytes      *streamCounter // of all streams of the same kind
	activity   *connActivity  // of the connection; counts the stream until it has ended
	ended      atomic.Bool

	mu     sync.Mutex
	header []byte // nil once sent
}

func newStream(quicStream *quic.Stream, activity *connActivity, header []byte) *stream {
	activity.streams.Add(1)
	return &stream{quicStream: quicStream, activity: activity, header: header}
}

// takeHeader returns the header and marks it as sent, or returns nil if it has been sent.
func (s *stream) takeHeader() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	header := s.header
	s.header = nil
	return header
}

func (s *stream) flushHeader() error {
	header := s.takeHeader()
	if header == nil {
		return nil
	}
	s.activity.recordWrite(time.Now())
	_, err := s.quicStream.Write(header)
	return err
}

// Read reads from the peer. It first sends the header if that has not been sent.
func (s *stream) Read(p []byte) (int, error) {
	if err := s.flushHeader(); err != nil {
		return 0, err
	}
	n, err := s.quicStream.Read(p)
	s.bytes.read.Add(uint64(n))
	return n, err
}

// Write sends p, preceded by the header if that has not been sent.
func (s *stream) Write(p []byte) (int, error) {
	header := s.takeHeader()
	data := p
	if header != nil {
		data = append(header, p...)
	}
	s.activity.recordWrite(time.Now())
	n, err := s.quicStream.Write(data)
	s.bytes.written.Add(uint64(n))
	return max(0, n-len(header)), err
}

// CloseWrite closes the sending direction.
func (s *stream) CloseWrite() error {
	if err := s.flushHeader(); err != nil {
		return err
	}
	return s.quicStream.Close()
}

// Close closes the sending direction and discards further data from the peer.
func (s *stream) Close() error {
	err := s.CloseWrite()
	s.quicStream.CancelRead(codeCancelled)
	s.end()
	return err
}

// end stops counting the stream as open.
func (s *stream) end() {
	if !s.ended.Swap(true) {
		s.activity.streams.Add(-1)
	}
}

// Reset aborts both directions.
func (s *stream) Reset() { s.cancel(codeCancelled) }

// cancel aborts both directions with a code. A header that has not been sent is dropped.
func (s *stream) cancel(code quic.StreamErrorCode) {
	s.takeHeader()
	s.quicStream.CancelWrite(code)
	s.quicStream.CancelRead(code)
	s.end()
}

// SetDeadline sets the deadline of reads and writes.
func (s *stream) SetDeadline(t time.Time) error { return s.quicStream.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (s *stream) SetReadDeadline(t time.Time) error { return s.quicStream.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.quicStream.SetWriteDeadline(t) }
