package entry

import (
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
)

// batch buffers messages until they are sent to the owner, at the latest at the next Sync, Flush or
// Query.
type batch struct {
	frames       []byte
	messages     []batchMessage
	parsedNames  []string          // statements with a Parse in frames, by their names at the target
	unnamedParse *session.Prepared // statement of the last unnamed Parse

	executeCount  int
	hasWrite      bool // executes a statement that may write
	startsBlock   bool // contains BEGIN, so that the transaction may outlast the batch
	readOnlyBlock bool // the BEGIN is READ ONLY
}

// batchMessage is a message that expects a response, as recorded in the tracker.
type batchMessage struct {
	msgType byte
	action  pgwire.Action
	text    string // the local response if there is one, or the name that a Parse gives its statement at the target
}

func (b *batch) empty() bool { return len(b.messages) == 0 && len(b.frames) == 0 }

// Limits of the buffers that an idle caller keeps for its next batch. Larger ones are released.
const (
	maxKeptFrameBytes = 512
	maxKeptMessages   = 8
)

func (b *batch) reset() {
	kept := batch{}
	if cap(b.frames) <= maxKeptFrameBytes {
		kept.frames = b.frames[:0]
	}
	if cap(b.messages) <= maxKeptMessages {
		kept.messages = b.messages[:0]
	}
	*b = kept
}

// addLocal adds a message that the entry host answers itself with the given frames.
func (b *batch) addLocal(msgType byte, response []byte) {
	b.messages = append(b.messages, batchMessage{msgType, pgwire.RespondLocally, string(response)})
}

// addRemote adds a message for the owner. The action says what happens to its responses.
func (b *batch) addRemote(msgType byte, action pgwire.Action, text string, body ...[]byte) {
	b.messages = append(b.messages, batchMessage{msgType, action, text})
	b.addFrame(msgType, body...)
}

// addFrame adds a frame without recording a message, as for a Flush, which has no response.
func (b *batch) addFrame(msgType byte, body ...[]byte) {
	start := len(b.frames)
	b.frames = pgwire.Append(b.frames, msgType, nil)
	for _, part := range body {
		b.frames = append(b.frames, part...)
	}
	size := uint32(len(b.frames) - start - 1)
	head := b.frames[start+1:]
	head[0], head[1], head[2], head[3] = byte(size>>24), byte(size>>16), byte(size>>8), byte(size)
}

// recordExecute updates the properties of the batch that its routing depends on.
func (b *batch) recordExecute(stmt session.Statement) {
	b.executeCount++
	switch stmt.Kind {
	case session.Begin:
		b.startsBlock = true
		b.readOnlyBlock = stmt.ReadOnly
	case session.Read, session.Empty:
	default:
		b.hasWrite = true
	}
	b.startsBlock = b.startsBlock || stmt.StartsBlock
}

// readOnly reports whether the transaction that the batch opens may run at a replica. If complete is
// false, further messages of the same implicit transaction may follow, and they may write.
func (b *batch) readOnly(complete bool) bool {
	if b.startsBlock {
		return b.readOnlyBlock && !b.hasWrite
	}
	return complete && !b.hasWrite
}
