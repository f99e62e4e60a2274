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

	headerMu sync.Mutex // held until the header is written, so that no data overtakes it
	header   []byte     // nil once sent
}

func newStream(quicStream *quic.Stream, activity *connActivity, header []byte) *stream {
	activity.streams.Add(1)
	return &stream{quicStream: quicStream, activity: activity, header: header}
}

// flushHeader sends the header if that has not been sent.
func (s *stream) flushHeader() error {
	_, err := s.writeHeader(nil)
	return err
}

// writeHeader sends the header, followed by p, unless the header has been sent. It returns how many bytes of p it has
// sent.
func (s *stream) writeHeader(p []byte) (n int, err error) {
	s.headerMu.Lock()
	defer s.headerMu.Unlock()
	if s.header == nil {
		return 0, nil
	}
	header := s.header
	s.header = nil
	s.activity.recordWrite(time.Now())
	n, err = s.quicStream.Write(append(header, p...))
	return max(0, n-len(header)), err
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
	n, err := s.writeHeader(p)
	if err == nil && n < len(p) { // the header was sent before
		s.activity.recordWrite(time.Now())
		n, err = s.quicStream.Write(p)
	}
	s.bytes.written.Add(uint64(n))
	return n, err
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

// cancel aborts both directions with a code. A header that has not been sent can't be sent any more.
func (s *stream) cancel(code quic.StreamErrorCode) {
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
