package pool

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
)

// absentStatement is the name of a statement that never exists. Closing it makes the target answer.
const absentStatement = "citronrun_none"

// keptSendBytes bounds the buffer that an idle connection keeps for Send.
const keptSendBytes = 64 << 10

var parseComplete = pgwire.Frame(pgwire.Append(nil, pgwire.ParseComplete, nil))

// Send writes whole frames of a caller, any number. A Parse of a named statement that this
// connection has is not sent; Next returns its ParseComplete in order. After an error the connection
// isn't reused.
func (c *Conn) Send(frames []byte) error {
	if c.discarded.Load() {
		return fmt.Errorf("send to target: %w", errBroken)
	}
	out, err := c.plan(frames)
	if err != nil {
		return c.fail("send to target", err)
	}
	if len(out) == 0 {
		return nil
	}
	_, err = c.net.Write(out)
	if cap(c.out) > keptSendBytes {
		c.out = nil
	}
	if err != nil {
		return c.fail("send to target", err)
	}
	return nil
}

// plan records the requests in frames and returns the bytes to send. They are frames itself unless
// something has to be left out or added.
func (c *Conn) plan(frames []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = c.out[:0]
	changed := false
	run := 0 // start of the bytes not copied to c.out yet
	for at := 0; at < len(frames); {
		size, err := frameSize(frames[at:])
		if err != nil {
			return nil, err
		}
		e, err := c.request(pgwire.Frame(frames[at : at+size]))
		if err != nil {
			return nil, err
		}
		if e.skip || len(e.before) > 0 {
			changed = true
			c.out = append(c.out, frames[run:at]...)
			c.out = append(c.out, e.before...)
			run = at
		}
		at += size
		if e.skip {
			run = at
		}
	}
	if !changed {
		return frames, nil
	}
	c.out = append(c.out, frames[run:]...)
	return c.out, nil
}

func frameSize(b []byte) (int, error) {
	if len(b) < pgwire.HeaderBytes {
		return 0, fmt.Errorf("incomplete frame header: %w", pgwire.ErrFrameLength)
	}
	size := uint64(binary.BigEndian.Uint32(b[1:])) + 1
	if size < pgwire.HeaderBytes || size > uint64(len(b)) {
		return 0, fmt.Errorf("frame %q of %d bytes: %w", b[0], size, pgwire.ErrFrameLength)
	}
	return int(size), nil
}

// edit says how a request is changed on its way to the target.
type edit struct {
	skip   bool   // not sent
	before []byte // frames sent first
}

// request records one request. The caller holds mu.
func (c *Conn) request(f pgwire.Frame) (edit, error) {
	if c.skipping && f.Type() != pgwire.Sync {
		return edit{}, nil
	}
	switch f.Type() {
	case pgwire.Parse:
		return c.parse(f)
	case pgwire.Sync, pgwire.Query:
		c.push(f.Type(), pgwire.Relay, "")
		c.synced++
		c.open = false
		c.skipping = false
	case pgwire.Bind:
		c.touchBound(f)
		c.push(f.Type(), pgwire.Relay, "")
	case pgwire.Close:
		c.closeByCaller(f)
		c.push(f.Type(), pgwire.Relay, "")
	case pgwire.Execute:
		c.copyEnded = false
		c.push(f.Type(), pgwire.Relay, "")
	case pgwire.Describe:
		c.push(f.Type(), pgwire.Relay, "")
	case pgwire.Flush:
		return edit{before: c.wake()}, nil
	case pgwire.CopyDone, pgwire.CopyFail:
		c.copyEnded = true
	case pgwire.CopyData:
	default:
		return edit{}, fmt.Errorf("message type %q is not relayed", f.Type())
	}
	return edit{}, nil
}

func (c *Conn) push(request byte, a pgwire.Action, name string) {
	c.tracker.Push(request, a, name)
	c.lastLocal = a == pgwire.Synthesize
	c.open = true
}

func (c *Conn) parse(f pgwire.Frame) (edit, error) {
	name, _, ok := pgwire.CString(f.Body())
	if !ok {
		return edit{}, fmt.Errorf("statement name without terminator: %w", pgwire.ErrFrameLength)
	}
	if len(name) == 0 {
		c.push(pgwire.Parse, pgwire.Relay, "")
		return edit{}, nil
	}
	if c.statements.exists(name, c.synced) {
		c.statements.touch(name, c.checkout)
		c.push(pgwire.Parse, pgwire.Synthesize, "")
		return edit{skip: true}, nil
	}
	var before []byte
	owned := string(name)
	if c.statements.add(owned, c.synced, c.checkout) {
		before = c.closeFrame(before, owned)
	}
	for {
		old, ok := c.statements.evict(c.synced, c.checkout)
		if !ok {
			break
		}
		before = c.closeFrame(before, old)
	}
	c.push(pgwire.Parse, pgwire.Relay, owned)
	return edit{before: before}, nil
}

// closeFrame appends a Close whose response is not relayed.
func (c *Conn) closeFrame(dst []byte, name string) []byte {
	out, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(dst)
	if err != nil {
		return dst // a name of a frame's size always encodes
	}
	c.push(pgwire.Close, pgwire.Discard, "")
	return out
}

// wake makes the target answer a Flush whose last request is answered here. Next, which may already
// wait for the target, would otherwise not return that answer.
func (c *Conn) wake() []byte {
	if !c.lastLocal {
		return nil
	}
	return c.closeFrame(nil, absentStatement)
}

func (c *Conn) touchBound(f pgwire.Frame) {
	_, rest, ok := pgwire.CString(f.Body())
	if !ok {
		return
	}
	if name, _, ok := pgwire.CString(rest); ok {
		c.statements.touch(name, c.checkout)
	}
}

func (c *Conn) closeByCaller(f pgwire.Frame) {
	body := f.Body()
	if len(body) == 0 || body[0] != 'S' {
		return
	}
	if name, _, ok := pgwire.CString(body[1:]); ok {
		c.statements.closing(name)
	}
}

// Next returns the next response frame, valid until the following call. After an error the
// connection isn't reused, and the outcome of pending requests is unknown.
func (c *Conn) Next() (pgwire.Frame, error) {
	for {
		if c.local() {
			return parseComplete, nil
		}
		if c.held == nil {
			f, err := c.reader.Next()
			if err != nil {
				return nil, c.fail("read from target", err)
			}
			c.held = f
			continue // requests answered here may have been sent meanwhile
		}
		f := c.held
		c.held = nil
		if c.response(f) != pgwire.Discard {
			return f, nil
		}
	}
}

// local reports whether the next response is a ParseComplete that the target doesn't send.
func (c *Conn) local() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.tracker.PopLocal()
	return ok
}

// response records a response of the target.
func (c *Conn) response(f pgwire.Frame) pgwire.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f.Type() {
	case pgwire.ParameterStatus:
		c.status(f)
		return pgwire.Relay
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		return pgwire.Relay
	}
	action, request, name, done := c.tracker.OnResponse(f.Type())
	switch {
	case f.Type() == pgwire.ErrorResponse:
		c.errored(request)
	case f.Type() == pgwire.CopyInResponse && request == pgwire.Execute:
		c.copyIn()
	case done && request == pgwire.Parse && name != "":
		c.statements.parsed()
	case f.Type() == pgwire.ReadyForQuery:
		c.readyForQuery(f)
	}
	return action
}

func (c *Conn) status(f pgwire.Frame) {
	name, value, ok := pgwire.ParseParameterStatus(f)
	if !ok || name != pgwire.ParameterPosition {
		return
	}
	if pos, err := position.Parse(value); err == nil {
		c.position = pos
	}
}

func (c *Conn) errored(request byte) {
	switch request {
	case 0:
		c.discarded.Store(true) // an error without a request ends the connection
	case pgwire.Query:
	default:
		c.statements.failed(c.ready)
		c.skipping = c.synced == c.ready
	}
}

// copyIn forgets the Sync requests that the target ignores while it waits for the rows of an extended
// COPY. When the rows were sent ahead of the response, it is unknown which Sync is ignored.
func (c *Conn) copyIn() {
	if c.copyEnded {
		c.discarded.Store(true)
		return
	}
	c.synced -= uint64(c.tracker.DropSyncs())
	c.open = true
}

func (c *Conn) readyForQuery(f pgwire.Frame) {
	if len(f.Body()) == 1 {
		c.txStatus = f.Body()[0]
	}
	c.statements.ended(c.ready)
	c.ready++
}
