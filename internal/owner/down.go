package owner

import (
	"bytes"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
)

// codeReadOnly is the SQLSTATE with which a replica refuses a write.
const codeReadOnly = "25006"

// downState is what only the goroutine of down uses.
type downState struct {
	out       []byte // responses to write to the caller
	held      []byte // responses that wait for a confirmation
	holding   bool   // all further responses go to held
	commitTag bool   // held contains the completion of a COMMIT
	relayed   bool   // something was written to the caller
	reported  bool   // the target reported its position since the last ReadyForQuery
}

func (d *downState) reset() { *d = downState{out: d.out[:0], held: d.held[:0]} }

// down moves response frames to the caller until the transaction ends.
func (t *tx) down() {
	for t.step() {
	}
}

// step handles the next response. It returns false after the last one.
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

// refusedWrite reports whether a replica refused a write and nothing was relayed, so that the request
// can run at the primary.
func (t *tx) refusedWrite(f pgwire.Frame) bool {
	return f.Type() == pgwire.ErrorResponse && isReadOnlyError(f) && t.canRerun()
}

// over reports whether the transaction has ended regularly while down waited for a response.
func (t *tx) over() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended && t.cause == nil && !t.switching
}

// response handles one frame. It returns false after the last one.
func (t *tx) response(f pgwire.Frame) bool {
	switch f.Type() {
	case pgwire.ReadyForQuery:
		return t.ready(f)
	case pgwire.ParameterStatus:
		if name, _, ok := pgwire.ParseParameterStatus(f); ok && name == pgwire.ParameterPosition {
			t.d.reported = true
			return true // between target and owner only
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

// complete starts to hold responses back: at the primary, the completion of a command may confirm a
// commit.
func (t *tx) complete(f pgwire.Frame) {
	if !t.p.primary {
		return
	}
	t.d.holding = true
	t.d.commitTag = t.d.commitTag || bytes.HasPrefix(f.Body(), []byte("COMMIT"))
}

// hold keeps a response until ReadyForQuery. Responses are confirmed earlier when they become large
// or when the caller waits for them before it sends its Sync.
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

// mustFlush reports whether collected responses go out now. Rows are collected up to a
// size and as long as more have arrived. Frames
// that precede the first row of a read wait for it, so that the read can still run at the primary,
// unless the caller may wait for them before its Sync.
func (t *tx) mustFlush(typ byte) bool {
	if len(t.d.out) >= relayBytes {
		return true
	}
	switch typ {
	case pgwire.DataRow, pgwire.CopyData:
		return !t.p.conn.HasNext() // rows must not wait while the target looks for more
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

// ready handles ReadyForQuery: it gives back what the transaction no longer needs, confirms a commit,
// and relays the held responses. It returns false at the end of the transaction.
func (t *tx) ready(f pgwire.Frame) bool {
	status := t.p.conn.TxStatus()
	frame := append([]byte(nil), f...) // the connection may be given back before it is relayed
	at := t.p.conn.Position()
	reports := !at.IsZero()
	pos := t.committed(at)
	ended := t.settleAtReady()
	if ended {
		t.detach()
	}
	var err error
	if !reports && t.p.primary && !t.job.req.ReadOnly {
		pos, err = t.s.primaryPosition(t.s.ctx, t.p.term) // no position is known for a possible commit
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
		t.d.out = pgwire.AppendParameterStatus(t.d.out, pgwire.ParameterToken, t.token(pos, at))
	}
	t.d.reported = false
	t.d.out = append(t.d.out, frame...)
	return t.flush() && !ended
}

// committed returns pos if the transaction has moved the connection's position, else zero.
func (t *tx) committed(pos position.Position) position.Position {
	if !t.p.primary || pos == t.p.start {
		return position.Position{}
	}
	return pos
}

// settleAtReady ends the transaction or its statement. A send that is just returning is waited for:
// its response has been read already.
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

// fail answers the caller with an error in place of the responses that were held back, and ends the
// transaction.
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
		e = verdict.As(unavailable("the connection to the target was lost"))
	}
	_ = t.s.m.logger.Log("msg", "transaction failed", "service", t.s.name, "team", t.job.team,
		"session", t.job.req.Session, "seq", t.job.req.Seq, "code", e.Code, "verdict", e.Verdict, "err", err)
	countRefusal(e.Code)
	if sent { // a next read must reflect what was relayed, and a commit whose outcome is unknown
		req := t.job.req
		t.d.out = pgwire.AppendParameterStatus(t.d.out, pgwire.ParameterToken, position.TokenWithReads(t.s.name, req.Floor, t.addSeen(req.ObservedReads)))
	}
	t.d.out = pgwire.AppendError(t.d.out, e)
	status := byte(pgwire.TxIdle)
	if block && e.Verdict == verdict.NotRun {
		status = pgwire.TxFailed // the caller may send more statements of the block, which must not run alone
	}
	t.d.out = pgwire.AppendReadyForQuery(t.d.out, status)
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
