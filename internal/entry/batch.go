package entry

import (
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
)

// batch holds requests that were not sent yet: at most up to the next Sync, Flush or Query.
type batch struct {
	frames  []byte
	entries []entryItem
	parsed  []string          // unique names of added or relayed Parse messages
	unnamed *session.Prepared // statement of the last unnamed Parse

	executes  int
	writes    bool
	block     bool // contains BEGIN
	blockRead bool // BEGIN READ ONLY
}

// entryItem is a request for the tracker. Frames is the answer of a local request, else the name of
// a parsed statement.
type entryItem struct {
	request byte
	action  pgwire.Action
	text    string
}

func (b *batch) empty() bool { return len(b.entries) == 0 && len(b.frames) == 0 }

// Sizes of the buffers that an idle caller keeps for its next batch.
const (
	keptFrameBytes = 512
	keptEntries    = 8
)

func (b *batch) reset() {
	kept := batch{}
	if cap(b.frames) <= keptFrameBytes {
		kept.frames = b.frames[:0]
	}
	if cap(b.entries) <= keptEntries {
		kept.entries = b.entries[:0]
	}
	*b = kept
}

// local adds a request that the entry host answers itself.
func (b *batch) local(request byte, frames []byte) {
	b.entries = append(b.entries, entryItem{request, pgwire.Synthesize, string(frames)})
}

// remote adds a request for the owner.
func (b *batch) remote(typ byte, action pgwire.Action, text string, body ...[]byte) {
	b.entries = append(b.entries, entryItem{typ, action, text})
	b.raw(typ, body...)
}

// raw adds a frame that has no answer of its own.
func (b *batch) raw(typ byte, body ...[]byte) {
	start := len(b.frames)
	b.frames = pgwire.Append(b.frames, typ, nil)
	for _, part := range body {
		b.frames = append(b.frames, part...)
	}
	size := uint32(len(b.frames) - start - 1)
	head := b.frames[start+1:]
	head[0], head[1], head[2], head[3] = byte(size>>24), byte(size>>16), byte(size>>8), byte(size)
}

// note records what the execution of a statement means for the routing of the batch.
func (b *batch) note(st session.Statement) {
	b.executes++
	switch st.Kind {
	case session.Begin:
		b.block = true
		b.blockRead = st.ReadOnly
	case session.Read, session.Empty:
	default:
		b.writes = true
	}
	b.block = b.block || st.StartsBlock
}

// readOnly reports whether the whole batch may run at a replica. Complete is false while further
// requests of the same implicit transaction may follow.
func (b *batch) readOnly(complete bool) bool {
	if b.block {
		return b.blockRead && !b.writes
	}
	return complete && !b.writes
}
