package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// transaction is a stream to the owner. Its fields other than stream belong to caller.mu.
type transaction struct {
	seq      uint64
	stream   io.ReadWriteCloser
	cancel   context.CancelFunc
	parsed   map[string]bool   // statements that the target connection has
	open     []string          // those of parsed without a ParseComplete so far
	unnamed  *session.Prepared // what the unnamed statement of the target connection is
	unsynced bool              // requests were sent after the last Sync
	copyIn   bool              // the target waits for the caller's data
	partial  bool              // a part of the running request's result was relayed
}

// write sends frames to the owner. On failure the stream is closed, which the responder reports.
func (t *transaction) write(frames []byte) {
	if _, err := t.stream.Write(frames); err != nil {
		t.close()
	}
}

func (t *transaction) close() {
	t.cancel()
	_ = t.stream.Close()
}

// send passes the batch to the owner and opens a transaction if none is open. Complete is set when
// no further request of the same implicit transaction can follow; ready is the number of
// ReadyForQuery that the batch causes.
func (c *caller) send(complete bool, ready int, simple bool) error {
	b := &c.batch
	defer b.reset()
	if b.executes == 0 && len(b.frames) > 0 {
		if err := c.admitPrepare(); err != nil {
			return c.refuse(err, simple)
		}
	}
	if c.outstanding()+len(b.entries) > maxOutstanding && c.finishSent() {
		return c.refuseLost(simple)
	}
	tx, gone := c.current()
	if gone && len(b.frames) > 0 {
		return c.refuseLost(simple)
	}
	if tx != nil || len(b.frames) == 0 {
		if !c.push(tx, ready) {
			return c.refuseLost(simple)
		}
		if tx != nil && len(b.frames) > 0 {
			tx.write(b.frames)
		}
		return c.drainLocal()
	}
	tx, err := c.begin(complete)
	if err != nil {
		return c.refuse(err, simple)
	}
	c.mu.Lock()
	c.tx = tx
	c.mu.Unlock()
	c.push(tx, ready)
	if err := c.drainLocal(); err != nil {
		tx.close()
		return err
	}
	c.srv.responders.Go(func() { c.respond(tx) })
	return nil
}

// current returns the open transaction. Gone is set when the transaction that a request belongs to was
// lost after the request had been read: it must not start a transaction of its own.
func (c *caller) current() (tx *transaction, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone = c.skipLost || c.st.State() == session.StateRolledBack
	return c.tx, c.tx == nil && gone
}

// refuseLost refuses the batch because its transaction was lost meanwhile.
func (c *caller) refuseLost(simple bool) error {
	n := len(c.batch.entries)
	endsBatch := n > 0 && c.batch.entries[n-1].request == pgwire.Sync
	c.mu.Lock()
	reported := c.skipLost || c.dead
	if reported && endsBatch {
		c.skipLost = false
	}
	c.mu.Unlock()
	if !reported {
		return c.refuse(failedTransaction(), simple)
	}
	c.batch.reset()
	if endsBatch {
		return c.answer(pgwire.AppendReadyForQuery(nil, c.status()))
	}
	return nil // the loop skips the requests up to the Sync
}

// admitPrepare checks the key before messages that reach a target without running a statement.
func (c *caller) admitPrepare() error {
	if err := c.checkKey(); err != nil {
		return err
	}
	return c.checkConfirmed()
}

func (c *caller) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Len()
}

func (c *caller) drainLocal() error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if err := c.answerLocal(); err != nil {
		return err
	}
	return c.flush()
}

// push records the batch's requests before their responses can arrive. It returns false when the
// transaction was lost meanwhile.
func (c *caller) push(tx *transaction, ready int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &c.batch
	if c.tx != tx {
		return false
	}
	for _, e := range b.entries {
		c.tracker.Push(e.request, e.action, e.text)
	}
	if tx == nil || len(b.frames) == 0 {
		return true
	}
	c.fire(session.EventRequest)
	if c.pending == 0 && !tx.unsynced {
		c.started = time.Now()
	}
	c.pending += ready
	tx.unsynced = ready == 0
	for _, name := range b.parsed {
		tx.parsed[name] = true
	}
	tx.open = append(tx.open, b.parsed...)
	if b.unnamed != nil || ready > 0 && b.entries[len(b.entries)-1].request == pgwire.Query {
		tx.unnamed = b.unnamed
	}
	return true
}

// abort gives up the open transaction, which rolls it back.
func (c *caller) abort(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	actions := c.fire(event)
	tx := c.tx
	if tx == nil || !slices.Contains(actions, session.ActionAbort) {
		return
	}
	c.tx = nil
	c.pending = 0
	c.tracker.Reset()
	tx.close()
}

// refuse reports an error of the entry host for the current request. In a transaction it fails the
// transaction: the stream is closed, which rolls it back at the owner, and the caller gets 25P02
// until it ends the block.
func (c *caller) refuse(err error, simple bool) error {
	e := verdict.As(err)
	if e.Code == verdict.CodeKeyWithdrawn {
		c.batch.reset()
		c.abort(session.EventRefused)
		return e
	}
	if lost := c.finishSent(); lost {
		return c.refuseLost(simple) // the responder has reported the error
	}
	c.batch.reset()
	c.srv.metrics.refusal(e)
	c.abort(session.EventRefused)
	out := pgwire.AppendError(nil, e)
	if simple {
		return c.answer(pgwire.AppendReadyForQuery(out, c.status()))
	}
	c.skip = true
	return c.answer(out)
}

// finishSent waits for the responses of requests that were sent without a Sync, so that the error of
// a later one follows them. It reports whether the stream broke meanwhile.
func (c *caller) finishSent() (lost bool) {
	c.mu.Lock()
	tx := c.tx
	outstanding := tx != nil && c.tracker.Len() > 0
	c.mu.Unlock()
	if !outstanding {
		return false
	}
	tx.write(pgwire.Append(nil, pgwire.Flush, nil))
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.tx == tx && c.tracker.Len() > 0 && !c.dead && !tx.copyIn {
		c.cond.Wait()
	}
	return c.skipLost || c.dead
}

var relayReaders = sync.Pool{New: func() any {
	return pgwire.NewReaderSize(nil, pgwire.MaxFrameBytes, relayBufferBytes)
}}

// respond relays responses until the transaction ends or the stream breaks.
func (c *caller) respond(tx *transaction) {
	rd := relayReaders.Get().(*pgwire.Reader)
	rd.Reset(tx.stream)
	err := c.relay(tx, rd)
	rd.Reset(nil)
	relayReaders.Put(rd)
	tx.close()
	if err != nil {
		c.lost(tx, err)
	}
}

func (c *caller) relay(tx *transaction, rd *pgwire.Reader) error {
	for {
		f, err := rd.Next()
		if err != nil {
			return err
		}
		ended, err := c.response(tx, f, rd.Buffered() == 0)
		if ended || err != nil {
			return err
		}
	}
}

// response relays one frame. Ended is set after the ReadyForQuery that ends the transaction.
func (c *caller) response(tx *transaction, f pgwire.Frame, last bool) (ended bool, err error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if c.unsolicited(tx, f) {
		return false, errUnsolicited
	}
	pass, ok := c.track(tx, f)
	if !ok {
		return true, nil
	}
	if pass {
		if err := c.put(f); err != nil {
			return false, errCaller{err}
		}
	}
	if f.Type() != pgwire.ReadyForQuery {
		if err := c.answerLocal(); err != nil {
			return false, errCaller{err}
		}
		if last {
			err = c.flush()
		}
	} else if err = c.flush(); err == nil {
		ended = c.ready(tx, f)
	}
	if err != nil {
		return false, errCaller{err}
	}
	return ended, nil
}

// errUnsolicited means that the owner ended a transaction in which no request was running.
var errUnsolicited = errors.New("transaction ended by the owner between two requests")

// unsolicited reports whether a frame answers no request. The caller would take it for the answer to
// its next one, which would then run outside of the block.
func (c *caller) unsolicited(tx *transaction, f pgwire.Frame) bool {
	switch f.Type() {
	case pgwire.ParameterStatus, pgwire.NoticeResponse, pgwire.NotificationResponse:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx == tx && c.tracker.Len() == 0 && c.pending == 0
}

// errCaller is a failure of the connection to the caller.
type errCaller struct{ error }

// track pairs a response with its request and says whether the caller gets it. ok is false when the
// transaction was given up meanwhile.
func (c *caller) track(tx *transaction, f pgwire.Frame) (pass, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return false, false
	}
	switch f.Type() {
	case pgwire.ParameterStatus:
		c.noteStatus(f)
		return true, true
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		return true, true
	}
	action, request, name, done := c.tracker.OnResponse(f.Type())
	switch {
	case f.Type() == pgwire.ErrorResponse:
		tx.failed()
	case done && request == pgwire.Parse:
		tx.confirm(name)
	case f.Type() == pgwire.CopyInResponse:
		c.startCopy(tx, request)
	}
	tx.partial = !done && (tx.partial || isResult(f.Type()))
	if c.tracker.Len() == 0 {
		c.cond.Broadcast()
	}
	return action == pgwire.Relay, true
}

// startCopy notes that the target entered copy-in mode, where it ignores a Sync sent before.
func (c *caller) startCopy(tx *transaction, request byte) {
	tx.copyIn = true
	c.boundIdle()
	c.cond.Broadcast()
	if request == pgwire.Execute && c.tracker.DropFollowingSync() {
		c.pending--
		tx.unsynced = true
	}
}

// isResult reports whether a response belongs to a result that can be cut in the middle.
func isResult(response byte) bool {
	switch response {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete, pgwire.EmptyQueryResponse,
		pgwire.CopyInResponse, pgwire.CopyOutResponse, pgwire.CopyBothResponse, pgwire.CopyData:
		return true
	}
	return false
}

// failed forgets the statements whose Parse didn't complete.
func (t *transaction) failed() {
	for _, name := range t.open {
		delete(t.parsed, name)
	}
	t.open = nil
	t.unnamed = nil
	t.copyIn = false
}

func (t *transaction) confirm(name string) {
	for i, n := range t.open {
		if n == name {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}

func (c *caller) noteStatus(f pgwire.Frame) {
	name, value, ok := pgwire.ParseParameterStatus(f)
	if !ok || name != pgwire.ParameterToken {
		return
	}
	if p, seen, err := position.ParseTokenWithReads(c.service, value); err == nil {
		c.st.RaiseFloor(p, seen)
	}
}

// ready takes over the transaction state after a ReadyForQuery was relayed.
func (c *caller) ready(tx *transaction, f pgwire.Frame) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return true
	}
	c.pending = max(c.pending-1, 0)
	tx.partial = false
	c.srv.metrics.latency.UpdateDuration(c.started)
	defer c.boundIdle()
	switch f.Body()[0] {
	case pgwire.TxBlock:
		c.fire(session.EventReadyBlock)
	case pgwire.TxFailed:
		c.fire(session.EventReadyFailed)
	default:
		c.fire(session.EventReadyIdle)
		c.tx = nil
		ended = true
		c.wakeIfIdle()
	}
	c.cond.Broadcast()
	return ended
}
