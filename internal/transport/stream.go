package transport

import (
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Codes sent when a stream or connection is reset.
const (
	codeCancelled = 1 // the user of the stream gave up
	codeRefused   = 2 // no handler has seen the stream
	codeClosed    = 3 // the endpoint shuts down
)

// Stream is one request in both directions. Read and Write may be called concurrently with each
// other and with the remaining methods.
type Stream interface {
	io.ReadWriteCloser
	// CloseWrite ends the sending direction after all written data.
	CloseWrite() error
	// Reset aborts both directions; the peer's reads and writes fail.
	Reset()
	SetDeadline(t time.Time) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
}

// stream holds the header back until the first write, so that both travel in one packet.
type stream struct {
	qs *quic.Stream

	mu     sync.Mutex
	header []byte // not yet sent
}

func (s *stream) takeHeader() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.header
	s.header = nil
	return h
}

func (s *stream) flush() error {
	h := s.takeHeader()
	if h == nil {
		return nil
	}
	_, err := s.qs.Write(h)
	return err
}

// Read reads from the peer. It sends a header that is still held back.
func (s *stream) Read(p []byte) (int, error) {
	if err := s.flush(); err != nil {
		return 0, err
	}
	return s.qs.Read(p)
}

// Write sends p, preceded by the header if that is still held back.
func (s *stream) Write(p []byte) (int, error) {
	h := s.takeHeader()
	if h == nil {
		return s.qs.Write(p)
	}
	n, err := s.qs.Write(append(h, p...))
	return max(0, n-len(h)), err
}

// CloseWrite ends the sending direction.
func (s *stream) CloseWrite() error {
	if err := s.flush(); err != nil {
		return err
	}
	return s.qs.Close()
}

// Close ends the sending direction and discards what the peer still sends.
func (s *stream) Close() error {
	err := s.CloseWrite()
	s.qs.CancelRead(codeCancelled)
	return err
}

// Reset aborts both directions.
func (s *stream) Reset() { s.cancel(codeCancelled) }

func (s *stream) cancel(code quic.StreamErrorCode) {
	s.takeHeader()
	s.qs.CancelWrite(code)
	s.qs.CancelRead(code)
}

// SetDeadline bounds reads and writes.
func (s *stream) SetDeadline(t time.Time) error { return s.qs.SetDeadline(t) }

// SetReadDeadline bounds reads.
func (s *stream) SetReadDeadline(t time.Time) error { return s.qs.SetReadDeadline(t) }

// SetWriteDeadline bounds writes.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.qs.SetWriteDeadline(t) }
