package owner

import (
	"bytes"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
)

// sqlStateReadOnlyTransaction is the SQLSTATE read_only_sql_transaction, with which a replica rejects a write.
const sqlStateReadOnlyTransaction = "25006"

// relayState is used only by the goroutine that relays the responses.
type relayState struct {
	pending          []byte // responses to write to the caller
	held             []byte // responses held back until a commit is confirmed
	holding          bool   // further responses are added to held
	heldCommit       bool   // held contains the CommandComplete of a COMMIT
	relayed          bool   // something has been written to the caller
	positionReported bool   // the target has reported its position since the last ReadyForQuery
}

func (s *relayState) reset() { *s = relayState{pending: s.pending[:0], held: s.held[:0]} }

// relayResponses relays response frames to the caller until the transaction ends.
func (t *tx) relayResponses() {
	for t.step() {
	}
}

// step reads and handles the next response. It returns false after the last one.
func (t *tx) step() bool {
	f, err := t.acquired.conn.Next()
	if err != nil {
		return !t.endedNormally() && t.rerun(err)
	}
	if t.isRejectedWrite(f) {
		return t.rerun(errReplicaRejectedWrite)
	}
	return t.handleResponse(f)
}

// isRejectedWrite reports whether f is a replica's rejection of a write that can be rerun on the
// primary.
func (t *tx) isRejectedWrite(f pgwire.Frame) bool {
	return f.Type() == pgwire.ErrorResponse && isReadOnlyError(f) && t.canRerun()
}

// endedNormally reports whether the transaction has ended without an error. A read that is waiting
// for a response is interrupted in that case.
func (t *tx) endedNormally() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended && t.abortCause == nil && !t.rerunning
}

// handleResponse handles one response frame. It returns false after the last one.
func (t *tx) handleResponse(f pgwire.Frame) bool {
	switch f.Type() {
	case pgwire.ReadyForQuery:
		return t.readyForQuery(f)
	case pgwire.ParameterStatus:
		if name, _, ok := pgwire.ParseParameterStatus(f); ok && name == pgwire.ParameterPosition {
			t.relay.positionReported = true
			return true // internal to target and owner, not relayed
		}
	case pgwire.CommandComplete:
		t.commandComplete(f)
	}
	if t.relay.holding {
		return t.hold(f)
	}
	t.relay.pending = append(t.relay.pending, f...)
	if t.mustFlush(f.Type()) {
		return t.flush()
	}
	return true
}

// commandComplete starts holding back responses: on the primary, a CommandComplete may acknowledge
// a commit that isn't confirmed yet.
func (t *tx) commandComplete(f pgwire.Frame) {
	if !t.acquired.isPrimary {
		return
	}
	t.relay.holding = true
	t.relay.heldCommit = t.relay.heldCommit || bytes.HasPrefix(f.Body(), []byte("COMMIT"))
}

// hold holds back a response until ReadyForQuery. The held responses are confirmed and relayed
// earlier when they become large, or when the caller may wait for them before it sends its Sync.
func (t *tx) hold(f pgwire.Frame) bool {
	t.relay.held = append(t.relay.held, f...)
	if len(t.relay.held) < maxHeldBytes && t.outstandingSyncs() > 0 {
		return true
	}
	pos, err := t.service.positionToConfirm(t)
	if err == nil {
		err = t.service.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return false
	}
	t.relay.pending = append(t.relay.pending, t.relay.held...)
	t.relay.held, t.relay.holding, t.relay.heldCommit = t.relay.held[:0], false, false
	return t.flush()
}

// outstandingSyncs returns the number of Query and Sync requests without a ReadyForQuery. While it
// is zero, the caller may be waiting for responses before it sends its Sync.
func (t *tx) outstandingSyncs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pendingSyncs
}

// mustFlush reports whether the buffered responses must be written to the caller after a response
// of type typ. Rows are buffered up to flushBytes while further frames have already arrived. Frames
// that precede the first row of a read are buffered until that row, so that the read can still be
// rerun on the primary, unless the caller may wait for them before it sends its Sync.
func (t *tx) mustFlush(typ byte) bool {
	if len(t.relay.pending) >= flushBytes {
		return true
	}
	switch typ {
	case pgwire.DataRow, pgwire.CopyData:
		return !t.acquired.conn.HasNext() // don't delay rows until the target produces the next one
	case pgwire.ParseComplete, pgwire.BindComplete, pgwire.RowDescription, pgwire.ParameterDescription,
		pgwire.NoData, pgwire.NoticeResponse, pgwire.ParameterStatus, pgwire.CloseComplete,
		pgwire.CommandComplete, pgwire.ErrorResponse:
		return t.outstandingSyncs() == 0
	}
	return true
}

// flush writes the buffered responses to the caller. It returns false when that fails.
func (t *tx) flush() bool {
	if len(t.relay.pending) == 0 {
		return true
	}
	t.relay.relayed = true
	err := t.responder.respond(t.relay.pending)
	t.relay.pending = t.relay.pending[:0]
	if err != nil {
		t.callerDisconnected()
		return false
	}
	return true
}

// readyForQuery releases the slot, and at the end of the transaction the connection, then confirms
// a commit and relays the held responses. It returns false at the end of the transaction.
func (t *tx) readyForQuery(f pgwire.Frame) bool {
	status := t.acquired.conn.TxStatus()
	frame := append([]byte(nil), f...) // copied, since the connection may be released before it is relayed
	reported := t.acquired.conn.Position()
	hasPosition := !reported.IsZero()
	pos := t.committed(reported)
	ended := t.finishStatementAtReady()
	if ended {
		t.detach()
	}
	var err error
	if !hasPosition && t.acquired.isPrimary && !t.params.req.ReadOnly {
		pos, err = t.service.primaryPosition(t.service.ctx, t.acquired.term) // the target hasn't reported the position of a possible commit
	}
	if err == nil {
		err = t.service.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return false
	}
	t.relay.pending = append(t.relay.pending, t.relay.held...)
	t.relay.held, t.relay.holding, t.relay.heldCommit = t.relay.held[:0], false, false
	if status == pgwire.TxIdle {
		t.relay.pending = pgwire.AppendParameterStatus(t.relay.pending, pgwire.ParameterToken, t.sessionToken(pos, reported))
	}
	t.relay.positionReported = false
	t.relay.pending = append(t.relay.pending, frame...)
	return t.flush() && !ended
}

// committed returns pos if the transaction ran on the primary and changed the position reported on
// the connection, else zero.
func (t *tx) committed(pos position.Position) position.Position {
	if !t.acquired.isPrimary || pos == t.acquired.reportedBefore {
		return position.Position{}
	}
	return pos
}

// finishStatementAtReady ends the transaction or its current statement. If the response has arrived
// before the send of its request has returned, it waits for that send.
func (t *tx) finishStatementAtReady() (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = true
	t.pendingSyncs = max(t.pendingSyncs-1, 0)
	t.recording, t.recorded = false, nil
	for t.sending && t.pendingSyncs == 0 && t.abortCause == nil {
		t.cond.Wait()
	}
	t.finishStatement()
	return t.ended
}

// fail ends the transaction and sends the caller an error instead of the responses held back.
func (t *tx) fail(err error) {
	t.mu.Lock()
	t.ended = true
	if t.abortCause != nil {
		err = t.abortCause
	}
	sent := t.sent
	disconnected := t.abortCause == errCallerDisconnected
	inBlock := t.acquired.conn != nil && t.acquired.conn.TxStatus() != pgwire.TxIdle
	t.interrupt()
	t.cond.Broadcast()
	t.mu.Unlock()
	if disconnected {
		return
	}
	e := verdict.As(err)
	if !sent {
		e = verdict.As(unavailable("the connection to the target was lost before the request was sent"))
	}
	_ = t.service.manager.logger.Log("msg", "transaction failed", "service", t.service.name, "team", t.params.team,
		"session", t.params.req.Session, "seq", t.params.req.Seq, "code", e.Code, "verdict", e.Verdict, "err", err)
	countRefusal(e.Code)
	if sent { // the session's next read must reflect what was relayed, and a commit whose outcome is unknown
		req := t.params.req
		t.relay.pending = pgwire.AppendParameterStatus(t.relay.pending, pgwire.ParameterToken, position.TokenWithReads(t.service.name, req.Floor, t.addObservedRead(req.ObservedReads)))
	}
	t.relay.pending = pgwire.AppendError(t.relay.pending, e)
	status := byte(pgwire.TxIdle)
	if inBlock && e.Verdict == verdict.NotRun {
		status = pgwire.TxFailed // further statements of the block must not run outside of it
	}
	t.relay.pending = pgwire.AppendReadyForQuery(t.relay.pending, status)
	t.flush()
}

// isReadOnlyError reports whether an ErrorResponse carries SQLSTATE 25006.
func isReadOnlyError(f pgwire.Frame) bool {
	return errorField(f, 'C') == sqlStateReadOnlyTransaction
}

// errorField returns a field of an ErrorResponse, or "" if it is missing.
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
