package pool

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
)

// nonexistentStatement is the name of a prepared statement that is never created. Closing it is no error
// and makes the target send a response.
const nonexistentStatement = "citronrun_none"

// maxIdleSendBufBytes bounds the send buffer that a connection keeps between calls of Send.
const maxIdleSendBufBytes = 64 << 10

var parseComplete = pgwire.Frame(pgwire.Append(nil, pgwire.ParseComplete, nil))

// Send sends any number of complete frames of a caller. A Parse of a named statement that already exists
// on this connection is not sent; Next returns its ParseComplete in the right order. Statements are known by
// name alone, so a name must always stand for the same SQL and parameter types. After an error the connection
// is discarded.
func (c *Conn) Send(frames []byte) error {
	if c.discarded.Load() {
		return fmt.Errorf("send to target: %w", errConnClosed)
	}
	out, err := c.rewriteRequests(frames)
	if err != nil {
		return c.markFailed("send to target", err)
	}
	if len(out) == 0 {
		return nil
	}
	_, err = c.net.Write(out)
	if cap(c.sendBuf) > maxIdleSendBufBytes {
		c.sendBuf = nil
	}
	if err != nil {
		return c.markFailed("send to target", err)
	}
	return nil
}

// rewriteRequests records the requests in frames and returns the bytes to send. It returns frames itself
// unless a request has to be omitted or added.
func (c *Conn) rewriteRequests(frames []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBuf = c.sendBuf[:0]
	rewritten := false
	copied := 0 // number of bytes of frames already copied to c.sendBuf or omitted
	for offset := 0; offset < len(frames); {
		size, err := frameSize(frames[offset:])
		if err != nil {
			return nil, err
		}
		rewrite, err := c.recordRequest(pgwire.Frame(frames[offset : offset+size]))
		if err != nil {
			return nil, err
		}
		if rewrite.omit || len(rewrite.prepend) > 0 {
			rewritten = true
			c.sendBuf = append(c.sendBuf, frames[copied:offset]...)
			c.sendBuf = append(c.sendBuf, rewrite.prepend...)
			copied = offset
		}
		offset += size
		if rewrite.omit {
			copied = offset
		}
	}
	if !rewritten {
		return frames, nil
	}
	c.sendBuf = append(c.sendBuf, frames[copied:]...)
	return c.sendBuf, nil
}

func frameSize(b []byte) (int, error) {
	if len(b) < pgwire.HeaderBytes {
		return 0, fmt.Errorf("incomplete frame header of %d bytes, want %d: %w", len(b), pgwire.HeaderBytes, pgwire.ErrFrameLength)
	}
	size := uint64(binary.BigEndian.Uint32(b[1:])) + 1
	if size < pgwire.HeaderBytes || size > uint64(len(b)) {
		return 0, fmt.Errorf("length of frame %q implies %d bytes, want %d to %d: %w", b[0], size, pgwire.HeaderBytes, len(b), pgwire.ErrFrameLength)
	}
	return int(size), nil
}

// requestRewrite describes how the frames of a request differ from those sent to the target.
type requestRewrite struct {
	omit    bool   // the request is not sent
	prepend []byte // frames to send before the request
}

// recordRequest records a request and returns its rewrite. mu is held.
func (c *Conn) recordRequest(f pgwire.Frame) (requestRewrite, error) {
	if c.targetSkipsToSync && f.Type() != pgwire.Sync {
		return requestRewrite{}, nil
	}
	switch f.Type() {
	case pgwire.Parse:
		return c.recordParse(f)
	case pgwire.Sync, pgwire.Query:
		c.track(f.Type(), pgwire.Relay, "")
		c.batchesSent++
		c.batchOpen = false
		c.targetSkipsToSync = false
	case pgwire.Bind:
		c.recordBind(f)
		c.track(f.Type(), pgwire.Relay, "")
	case pgwire.Close:
		c.recordClose(f)
		c.track(f.Type(), pgwire.Relay, "")
	case pgwire.Execute:
		c.copyEndSent = false
		c.track(f.Type(), pgwire.Relay, "")
	case pgwire.Describe:
		c.track(f.Type(), pgwire.Relay, "")
	case pgwire.Flush:
		return requestRewrite{prepend: c.forceFlushResponse()}, nil
	case pgwire.CopyDone, pgwire.CopyFail:
		c.copyEndSent = true
	case pgwire.CopyData:
	default:
		return requestRewrite{}, fmt.Errorf("message type %q can't be relayed", f.Type())
	}
	return requestRewrite{}, nil
}

func (c *Conn) track(request byte, action pgwire.Action, name string) {
	c.tracker.Push(request, action, name)
	c.lastIsLocal = action == pgwire.RespondLocally
	c.batchOpen = true
}

func (c *Conn) recordParse(f pgwire.Frame) (requestRewrite, error) {
	name, _, ok := pgwire.CString(f.Body())
	if !ok {
		return requestRewrite{}, fmt.Errorf("statement name in Parse has no terminator: %w", pgwire.ErrFrameLength)
	}
	if len(name) == 0 {
		c.track(pgwire.Parse, pgwire.Relay, "")
		return requestRewrite{}, nil
	}
	if c.statements.canOmitParse(name, c.batchesSent) {
		c.statements.recordUse(name, c.checkouts)
		c.track(pgwire.Parse, pgwire.RespondLocally, "")
		return requestRewrite{omit: true}, nil
	}
	var prepend []byte
	nameCopy := string(name)
	if c.statements.recordParse(nameCopy, c.batchesSent, c.checkouts) {
		prepend = c.appendInternalClose(prepend, nameCopy)
	}
	for {
		evictedName, ok := c.statements.evict(c.batchesSent, c.checkouts)
		if !ok {
			break
		}
		prepend = c.appendInternalClose(prepend, evictedName)
	}
	c.track(pgwire.Parse, pgwire.Relay, nameCopy)
	return requestRewrite{prepend: prepend}, nil
}

// appendInternalClose appends a Close of the pool itself, whose response is not relayed, to dst.
func (c *Conn) appendInternalClose(dst []byte, name string) []byte {
	out, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(dst)
	if err != nil {
		return dst // can't happen: the name was part of a frame
	}
	c.track(pgwire.Close, pgwire.Discard, "")
	return out
}

// forceFlushResponse returns the frames to send before a Flush. If the last request gets a local response, it
// returns a request that the target responds to: otherwise a call of Next that is already reading from the
// target would not return the local response.
func (c *Conn) forceFlushResponse() []byte {
	if !c.lastIsLocal {
		return nil
	}
	return c.appendInternalClose(nil, nonexistentStatement)
}

func (c *Conn) recordBind(f pgwire.Frame) {
	_, rest, ok := pgwire.CString(f.Body())
	if !ok {
		return
	}
	if name, _, ok := pgwire.CString(rest); ok {
		c.statements.recordUse(name, c.checkouts)
	}
}

func (c *Conn) recordClose(f pgwire.Frame) {
	body := f.Body()
	if len(body) == 0 || body[0] != 'S' {
		return
	}
	if name, _, ok := pgwire.CString(body[1:]); ok {
		c.statements.recordClose(name)
	}
}

// Next returns the next response frame, which is valid until the following call. After an error the
// connection is discarded and the outcome of pending requests is unknown.
func (c *Conn) Next() (pgwire.Frame, error) {
	for {
		if c.popLocalResponse() {
			return parseComplete, nil
		}
		if c.buffered == nil {
			f, err := c.reader.Next()
			if err != nil {
				return nil, c.markFailed("read from target", err)
			}
			c.buffered = f
			continue // requests with local responses may have been recorded meanwhile
		}
		f := c.buffered
		c.buffered = nil
		if c.recordResponse(f) != pgwire.Discard {
			return f, nil
		}
	}
}

// popLocalResponse removes the next pending request if it gets a local response, and reports whether it did.
// A local response is always ParseComplete.
func (c *Conn) popLocalResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.tracker.PopLocal()
	return ok
}

// recordResponse records a response of the target and returns what to do with it.
func (c *Conn) recordResponse(f pgwire.Frame) pgwire.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f.Type() {
	case pgwire.ParameterStatus:
		c.recordParameterStatus(f)
		return pgwire.Relay
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		return pgwire.Relay
	}
	action, request, name, done := c.tracker.OnResponse(f.Type())
	switch {
	case f.Type() == pgwire.ErrorResponse:
		c.recordError(request)
	case f.Type() == pgwire.CopyInResponse && request == pgwire.Execute:
		c.recordCopyIn()
	case done && request == pgwire.Parse && name != "":
		c.statements.recordParseComplete()
	case f.Type() == pgwire.ReadyForQuery:
		c.recordReady(f)
	}
	return action
}

func (c *Conn) recordParameterStatus(f pgwire.Frame) {
	name, value, ok := pgwire.ParseParameterStatus(f)
	if !ok || name != pgwire.ParameterPosition {
		return
	}
	if pos, err := position.Parse(value); err == nil {
		c.position = pos
	}
}

func (c *Conn) recordError(request byte) {
	switch request {
	case 0:
		c.discarded.Store(true) // an unsolicited error precedes the end of the connection
	case pgwire.Query:
	default:
		c.statements.recordBatchFailure(c.batchesCompleted)
		c.targetSkipsToSync = c.batchesSent == c.batchesCompleted // the Sync of the failed batch was not sent yet
	}
}

// recordCopyIn removes the pending Sync requests when an Execute of COPY FROM STDIN makes the target enter
// copy-in mode: the target ignores those that it receives in this mode. If the end of the rows was sent before
// the target's CopyInResponse was read, it is unknown which Sync is ignored, and the connection is discarded.
func (c *Conn) recordCopyIn() {
	if c.copyEndSent {
		c.discarded.Store(true)
		return
	}
	c.batchesSent -= uint64(c.tracker.DropAllSyncs())
	c.batchOpen = true
}

func (c *Conn) recordReady(f pgwire.Frame) {
	if len(f.Body()) == 1 {
		c.txStatus = f.Body()[0]
	}
	c.statements.recordBatchEnd(c.batchesCompleted)
	c.batchesCompleted++
}
