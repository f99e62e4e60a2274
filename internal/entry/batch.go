package entry

import (
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
)

// batch buffers requests until they are sent to the owner, at the latest at the next Sync, Flush or
// Query.
type batch struct {
	frames       []byte
	requests     []batchRequest
	parsedNames  []string          // statements with a Parse in frames, by their names at the target
	unnamedParse *session.Prepared // statement of the last unnamed Parse

	executeCount  int
	hasWrite      bool // executes a statement that may write
	startsBlock   bool // contains BEGIN, so that the transaction may outlast the batch
	readOnlyBlock bool // the BEGIN is READ ONLY
}

// batchRequest is a request that expects a response, as recorded in the tracker. Text is the local response
// if there is one, or the name that a Parse gives its statement at the target.
type batchRequest struct {
	msgType byte
	action  pgwire.Action
	text    string
}

func (b *batch) empty() bool { return len(b.requests) == 0 && len(b.frames) == 0 }

// Limits of the buffers that an idle caller keeps for its next batch. Larger ones are released.
const (
	maxKeptFrameBytes = 512
	maxKeptRequests   = 8
)

func (b *batch) reset() {
	kept := batch{}
	if cap(b.frames) <= maxKeptFrameBytes {
		kept.frames = b.frames[:0]
	}
	if cap(b.requests) <= maxKeptRequests {
		kept.requests = b.requests[:0]
	}
	*b = kept
}

// addLocal adds a request that the entry host answers itself with the given frames.
func (b *batch) addLocal(msgType byte, response []byte) {
	b.requests = append(b.requests, batchRequest{msgType, pgwire.RespondLocally, string(response)})
}

// addRemote adds a request for the owner. Action says what happens to its responses.
func (b *batch) addRemote(msgType byte, action pgwire.Action, text string, body ...[]byte) {
	b.requests = append(b.requests, batchRequest{msgType, action, text})
	b.addFrame(msgType, body...)
}

// addFrame adds a frame without recording a request, as for a Flush, which has no response.
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

// readOnly reports whether the transaction that the batch opens may run at a replica. Complete is
// false if further requests of the same implicit transaction may follow: they may write.
func (b *batch) readOnly(complete bool) bool {
	if b.startsBlock {
		return b.readOnlyBlock && !b.hasWrite
	}
	return complete && !b.hasWrite
}
