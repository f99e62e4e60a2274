package owner

import (
	"bytes"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
)

// codeReadOnly is the SQLSTATE read_only_sql_transaction, with which a replica rejects a write.
const codeReadOnly = "25006"

// relayState is used only by the goroutine that relays the responses.
type downState struct {
	out       []byte // responses to write to the caller
	held      []byte // responses held back until a commit is confirmed
	holding   bool   // further responses are added to held
	commitTag bool   // held contains the CommandComplete of a COMMIT
	relayed   bool   // something has been written to the caller
	reported  bool   // the target has reported its position since the last ReadyForQuery
}

func (d *downState) reset() { *d = downState{out: d.out[:0], held: d.held[:0]} }

// relayResponses relays response frames to the caller until the transaction ends.
func (t *tx) down() {
	for t.step() {
	}
}

// step reads and handles the next response. It returns false after the last one.
func (t *tx) step() bool {
	f, err := t.p.conn.Next()
	if err != nil {
		return !t.over() && t.rerun(err)
	}
	if t.refusedWrite(f) {
		return t.rerun(errReplicaRefused)
	}
	return t.response(f)
}

// refusedWrite reports whether f is a replica's rejection of a write that can be rerun on the
// primary.
func (t *tx) refusedWrite(f pgwire.Frame) bool {
	return f.Type() == pgwire.ErrorResponse && isReadOnlyError(f) && t.canRerun()
}

// endedNormally reports whether the transaction has ended without an error. A read that is waiting
// for a response is interrupted in that case.
func (t *tx) over() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended && t.cause == nil && !t.switching
}

// handleResponse handles one response frame. It returns false after the last one.
func (t *tx) response(f pgwire.Frame) bool {
	switch f.Type() {
	case pgwire.ReadyForQuery:
		return t.ready(f)
	case pgwire.ParameterStatus:
		if name, _, ok := pgwire.ParseStatus(f); ok && name == pgwire.StatusPosition {
			t.d.reported = true
			return true // internal to target and owner, not relayed
		}
	case pgwire.CommandComplete:
		t.complete(f)
	}
	if t.d.holding {
		return t.hold(f)
	}
	t.d.out = append(t.d.out, f...)
	if t.mustFlush(f.Type()) {
		return t.flush()
	}
	return true
}

// commandComplete starts holding back responses: on the primary, a CommandComplete may acknowledge
// a commit that isn't confirmed yet.
func (t *tx) complete(f pgwire.Frame) {
	if !t.p.primary {
		return
	}
	t.d.holding = true
	t.d.commitTag = t.d.commitTag || bytes.HasPrefix(f.Body(), []byte("COMMIT"))
}

// hold holds back a response until ReadyForQuery. The held responses are confirmed and relayed
// earlier when they become large, or when the caller may wait for them before it sends its Sync.
func (t *tx) hold(f pgwire.Frame) bool {
	t.d.held = append(t.d.held, f...)
	if len(t.d.held) < heldBytes && t.outstanding() > 0 {
		return true
	}
	pos, err := t.s.earlyPosition(t)
	if err == nil {
		err = t.s.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return false
	}
	t.d.out = append(t.d.out, t.d.held...)
	t.d.held, t.d.holding, t.d.commitTag = t.d.held[:0], false, false
	return t.flush()
}

func (t *tx) outstanding() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.syncs
}

// mustFlush reports whether the buffered responses must be written to the caller after a response
// of type typ. Rows are buffered up to flushBytes while further frames have already arrived. Frames
// that precede the first row of a read are buffered until that row, so that the read can still be
// rerun on the primary, unless the caller may wait for them before it sends its Sync.
func (t *tx) mustFlush(typ byte) bool {
	if len(t.d.out) >= relayBytes {
		return true
	}
	switch typ {
	case pgwire.DataRow, pgwire.CopyData:
		return !t.p.conn.HasNext() // don't delay rows until the target produces the next one
	case pgwire.ParseComplete, pgwire.BindComplete, pgwire.RowDescription, pgwire.ParameterDescription,
		pgwire.NoData, pgwire.NoticeResponse, pgwire.ParameterStatus, pgwire.CloseComplete,
		pgwire.CommandComplete, pgwire.ErrorResponse:
		return t.outstanding() == 0
	}
	return true
}

func (t *tx) flush() bool {
	if len(t.d.out) == 0 {
		return true
	}
	t.d.relayed = true
	err := t.out.respond(t.d.out)
	t.d.out = t.d.out[:0]
	if err != nil {
		t.callerGone()
		return false
	}
	return true
}

// readyForQuery releases the slot, and at the end of the transaction the connection, then confirms
// a commit and relays the held responses. It returns false at the end of the transaction.
func (t *tx) ready(f pgwire.Frame) bool {
	status := t.p.conn.TxStatus()
	frame := append([]byte(nil), f...) // copied, since the connection may be released before it is relayed
	at := t.p.conn.Position()
	reports := !at.IsZero()
	pos := t.committed(at)
	ended := t.settleAtReady()
	if ended {
		t.detach()
	}
	var err error
	if !reports && t.p.primary && !t.job.req.ReadOnly {
		pos, err = t.s.primaryPosition(t.s.ctx, t.p.term) // the target hasn't reported the position of a possible commit
	}
	if err == nil {
		err = t.s.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return false
	}
	t.d.out = append(t.d.out, t.d.held...)
	t.d.held, t.d.holding, t.d.commitTag = t.d.held[:0], false, false
	if status == pgwire.TxIdle {
		t.d.out = pgwire.AppendStatus(t.d.out, pgwire.StatusToken, t.token(pos, at))
	}
	t.d.reported = false
	t.d.out = append(t.d.out, frame...)
	return t.flush() && !ended
}

// committed returns pos if the transaction ran on the primary and changed the position reported on
// the connection, else zero.
func (t *tx) committed(pos position.Position) position.Position {
	if !t.p.primary || pos == t.p.start {
		return position.Position{}
	}
	return pos
}

// settleAtReady ends the transaction or its current statement. If the response has arrived before
// the send of its request has returned, it waits for that send.
func (t *tx) settleAtReady() (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = true
	t.syncs = max(t.syncs-1, 0)
	t.recording, t.record = false, nil
	for t.sending && t.syncs == 0 && t.cause == nil {
		t.cond.Wait()
	}
	t.settle()
	return t.ended
}

// fail ends the transaction and sends the caller an error instead of the responses held back.
func (t *tx) fail(err error) {
	t.mu.Lock()
	t.ended = true
	if t.cause != nil {
		err = t.cause
	}
	sent := t.sent
	gone := t.cause == errCallerGone
	block := t.p.conn != nil && t.p.conn.TxStatus() != pgwire.TxIdle
	t.kill()
	t.cond.Broadcast()
	t.mu.Unlock()
	if gone {
		return
	}
	e := verdict.As(err)
	if !sent {
		e = verdict.As(unavailable("the connection to the target was lost before the request was sent"))
	}
	_ = t.s.m.logger.Log("msg", "transaction failed", "service", t.s.name, "team", t.job.team,
		"session", t.job.req.Session, "seq", t.job.req.Seq, "code", e.Code, "verdict", e.Verdict, "err", err)
	countRefusal(e.Code)
	if sent { // the session's next read must reflect what was relayed, and a commit whose outcome is unknown
		req := t.job.req
		t.d.out = pgwire.AppendStatus(t.d.out, pgwire.StatusToken, position.TokenWithReads(t.s.name, req.Floor, t.addSeen(req.ObservedReads)))
	}
	t.d.out = pgwire.AppendError(t.d.out, e)
	status := byte(pgwire.TxIdle)
	if block && e.Verdict == verdict.NotRun {
		status = pgwire.TxFailed // further statements of the block must not run outside of it
	}
	t.d.out = pgwire.AppendReady(t.d.out, status)
	t.flush()
}

// isReadOnlyError reports whether an ErrorResponse carries SQLSTATE 25006.
func isReadOnlyError(f pgwire.Frame) bool {
	return errorField(f, 'C') == codeReadOnly
}

func errorField(f pgwire.Frame, field byte) string {
	body := f.Body()
	for len(body) > 1 {
		value, rest, ok := pgwire.CString(body[1:])
		if !ok {
			return ""
		}
		if body[0] == field {
			return string(value)
		}
		body = rest
	}
	return ""
}
