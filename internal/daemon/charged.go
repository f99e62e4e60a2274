package daemon

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// relayedCopies is the number of copies of a statement or a result between hosts.
const relayedCopies = 3

var errNoClientMemory = errors.New("no memory for a message of another host")

// chargedStream charges the messages of a stream to an account, as long as they are read, handled or written. Each
// message is preceded by its length.
type chargedStream struct {
	stream  io.ReadWriter
	account *budget.Account
	length  []byte // of the message that follows, not delivered yet
	left    int    // bytes of the message that were not delivered yet
}

// Read reads from the stream. If there is no memory for the next message, it sends a reply that nothing has run, and
// fails.
func (s *chargedStream) Read(p []byte) (int, error) {
	if len(s.length) == 0 && s.left == 0 {
		var length [4]byte
		if _, err := io.ReadFull(s.stream, length[:]); err != nil {
			return 0, err
		}
		s.length, s.left = length[:], int(min(binary.BigEndian.Uint32(length[:]), wire.MaxSnapshotBytes))
		if !s.account.Hold(relayedCopies*int64(s.left), false) {
			return 0, errors.Join(errNoClientMemory, wire.Write(s.stream, wire.StatementReply{
				Verdict: uint8(verdict.NotRun), Code: verdict.CodeTooBusy, Message: "the holder of the target has no memory for this statement at present",
			}))
		}
	}
	if len(s.length) > 0 {
		n := copy(p, s.length)
		s.length = s.length[n:]
		return n, nil
	}
	n, err := s.stream.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// Write writes a message. If there is no memory for it, the stream fails.
func (s *chargedStream) Write(p []byte) (int, error) {
	if !s.account.Keep(relayedCopies * int64(len(p))) {
		return 0, errNoClientMemory
	}
	n, err := s.stream.Write(p)
	s.account.Hold(0, false)
	return n, err
}
