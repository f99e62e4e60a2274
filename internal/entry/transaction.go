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

// transaction is an open transaction at the owner. Fields from parseSent on are guarded by caller.mu; the
// others don't change.
type transaction struct {
	seq           uint64 // number within the session, for cancel requests
	stream        io.ReadWriteCloser
	cancel        context.CancelFunc
	parseSent     map[string]bool   // names of statements whose Parse was sent on the target connection and has not failed
	pendingParses []string          // names in parseSent whose ParseComplete has not arrived
	unnamed       *session.Prepared // the unnamed statement of the target connection
	unsynced      bool              // messages were sent after the last Sync
	copyIn        bool              // the target is in copy-in mode
	partialResult bool              // a part of the running request's result was relayed
}

// write sends frames to the owner. On failure it closes the stream, and the relay reports the loss.
func (t *transaction) write(frames []byte) {
	if _, err := t.stream.Write(frames); err != nil {
		t.close()
	}
}

func (t *transaction) close() {
	t.cancel()
	_ = t.stream.Close()
}

// send sends the batch to the owner, in the open transaction or else in a new one. If complete is true, no
// further message of the same implicit transaction can follow. The readyCount is the number of ReadyForQuery
// messages that the batch causes; withReady is as for refuse.
func (c *caller) send(complete bool, readyCount int, withReady bool) error {
	b := &c.batch
	defer b.reset()
	if b.executeCount == 0 && len(b.frames) > 0 {
		if err := c.checkAccess(); err != nil {
			return c.refuse(err, withReady)
		}
	}
	// Bound the queue of unanswered messages.
	if c.unansweredCount()+len(b.messages) > maxUnanswered && c.awaitSentResponses() {
		return c.refuseAfterLoss(withReady)
	}
	tx, lost := c.currentTransaction()
	if lost && len(b.frames) > 0 {
		return c.refuseAfterLoss(withReady)
	}
	if tx != nil || len(b.frames) == 0 {
		if !c.trackBatch(tx, readyCount) {
			return c.refuseAfterLoss(withReady)
		}
		if tx != nil && len(b.frames) > 0 {
			tx.write(b.frames)
		}
		return c.flushLocalResponses()
	}
	tx, err := c.begin(complete)
	if err != nil {
		return c.refuse(err, withReady)
	}
	c.mu.Lock()
	c.tx = tx
	c.mu.Unlock()
	c.trackBatch(tx, readyCount)
	if err := c.flushLocalResponses(); err != nil {
		tx.close()
		return err
	}
	c.srv.relayWorkers.Go(func() { c.relayResponses(tx) })
	return nil
}

// currentTransaction returns the open transaction. If lost is true, the transaction of the current request
// was lost after the request had been read; the request must not open a new one.
func (c *caller) currentTransaction() (tx *transaction, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = c.lossReported || c.sess.State() == session.StateRolledBack
	return c.tx, c.tx == nil && lost
}

// refuseAfterLoss refuses the batch because its transaction was lost after the batch had been read.
func (c *caller) refuseAfterLoss(withReady bool) error {
	count := len(c.batch.messages)
	endsWithSync := count > 0 && c.batch.messages[count-1].msgType == pgwire.Sync
	c.mu.Lock()
	reported := c.lossReported || c.connBroken
	if reported && endsWithSync {
		c.lossReported = false
	}
	c.mu.Unlock()
	if !reported {
		return c.refuse(errFailedTransaction(), withReady)
	}
	c.batch.reset()
	if endsWithSync {
		return c.respond(pgwire.AppendReadyForQuery(nil, c.txStatus()))
	}
	return nil // the read loop skips the messages up to the Sync
}

// checkAccess checks that the key is still valid and that this host's catalog was confirmed recently. It
// acquires no rate token: that is only needed to run a statement.
func (c *caller) checkAccess() error {
	if err := c.checkKey(); err != nil {
		return err
	}
	return c.checkConfirmedAge()
}

func (c *caller) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Len()
}

func (c *caller) flushLocalResponses() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.bufferLocalResponses(); err != nil {
		return err
	}
	return c.flush()
}

// trackBatch records the batch's messages before their responses can arrive. It returns false if tx is
// no longer the open transaction.
func (c *caller) trackBatch(tx *transaction, readyCount int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &c.batch
	if c.tx != tx {
		return false
	}
	for _, message := range b.messages {
		c.tracker.Push(message.msgType, message.action, message.text)
	}
	if tx == nil || len(b.frames) == 0 {
		return true
	}
	c.fire(session.EventRequest)
	if c.pendingReady == 0 && !tx.unsynced {
		c.requestStarted = time.Now()
	}
	c.pendingReady += readyCount
	tx.unsynced = readyCount == 0
	for _, name := range b.parsedNames {
		tx.parseSent[name] = true
	}
	tx.pendingParses = append(tx.pendingParses, b.parsedNames...)
	if b.unnamedParse != nil || readyCount > 0 && b.messages[len(b.messages)-1].msgType == pgwire.Query {
		tx.unnamed = b.unnamedParse
	}
	return true
}

// abort applies the event and closes the stream of the open transaction if the state chart says so,
// which rolls the transaction back.
func (c *caller) abort(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	actions := c.fire(event)
	tx := c.tx
	if tx == nil || !slices.Contains(actions, session.ActionAbort) {
		return
	}
	c.tx = nil
	c.pendingReady = 0
	c.tracker.Reset()
	tx.close()
}

// refuse reports an error of the entry host for the current request. An open transaction is aborted:
// its stream is closed, which rolls it back at the owner, and the caller gets 25P02 until it ends the
// block. If withReady is true, the refused message is a simple query or a Sync, so that ReadyForQuery follows
// the error; after any other message those up to the next Sync are skipped.
func (c *caller) refuse(err error, withReady bool) error {
	refusal := verdict.As(err)
	if refusal.Code == verdict.CodeKeyWithdrawn {
		c.batch.reset()
		c.abort(session.EventRefused)
		return refusal
	}
	// The error must be written after the responses to earlier messages.
	if lost := c.awaitSentResponses(); lost {
		return c.refuseAfterLoss(withReady) // the relay has reported the loss
	}
	c.batch.reset()
	c.srv.metrics.countRefusal(refusal)
	c.abort(session.EventRefused)
	out := pgwire.AppendError(nil, refusal)
	if withReady {
		return c.respond(pgwire.AppendReadyForQuery(out, c.txStatus()))
	}
	c.skipToSync = true
	return c.respond(out)
}

// awaitSentResponses sends a Flush and waits until all sent messages are answered, the target is in copy-in
// mode, or the stream breaks. It reports whether the stream broke.
func (c *caller) awaitSentResponses() (lost bool) {
	c.mu.Lock()
	tx := c.tx
	unanswered := tx != nil && c.tracker.Len() > 0
	c.mu.Unlock()
	if !unanswered {
		return false
	}
	tx.write(pgwire.Append(nil, pgwire.Flush, nil))
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.tx == tx && c.tracker.Len() > 0 && !c.connBroken && !tx.copyIn {
		c.cond.Wait()
	}
	return c.lossReported || c.connBroken
}

var relayReaderPool = sync.Pool{New: func() any {
	return pgwire.NewReaderSize(nil, pgwire.MaxFrameBytes, relayBufferBytes)
}}

// relayResponses relays responses until the transaction ends or the stream breaks.
func (c *caller) relayResponses(tx *transaction) {
	rd := relayReaderPool.Get().(*pgwire.Reader)
	rd.Reset(tx.stream)
	err := c.relayLoop(tx, rd)
	rd.Reset(nil)
	relayReaderPool.Put(rd)
	tx.close()
	if err != nil {
		c.onStreamLost(tx, err)
	}
}

func (c *caller) relayLoop(tx *transaction, rd *pgwire.Reader) error {
	for {
		f, err := rd.Next()
		if err != nil {
			return err
		}
		ended, err := c.relayFrame(tx, f, rd.Buffered() == 0)
		if ended || err != nil {
			return err
		}
	}
}

// relayFrame relays one frame. If noMoreBuffered is true, the next frame has not been received yet, so the
// write buffer is flushed. The result ended is true after the ReadyForQuery that ends the transaction, or if
// the transaction was aborted meanwhile.
func (c *caller) relayFrame(tx *transaction, f pgwire.Frame, noMoreBuffered bool) (ended bool, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.isUnsolicited(tx, f) {
		return false, errUnsolicitedResponse
	}
	forward, ok := c.matchResponse(tx, f)
	if !ok {
		return true, nil
	}
	if forward {
		if err := c.bufferWrite(f); err != nil {
			return false, callerConnError{err}
		}
	}
	if f.Type() != pgwire.ReadyForQuery {
		if err := c.bufferLocalResponses(); err != nil {
			return false, callerConnError{err}
		}
		if noMoreBuffered {
			err = c.flush()
		}
	} else if err = c.flush(); err == nil {
		ended = c.onReadyForQuery(tx, f)
	}
	if err != nil {
		return false, callerConnError{err}
	}
	return ended, nil
}

// errUnsolicitedResponse means that the owner sent a response while no request was pending, for example
// because it ended the transaction.
var errUnsolicitedResponse = errors.New("the owner sent a response while no request was pending")

// isUnsolicited reports whether a frame is a response although no request is pending. If it were relayed,
// the caller would take it for the response to its next request, and that request would run outside of the
// transaction block.
func (c *caller) isUnsolicited(tx *transaction, f pgwire.Frame) bool {
	switch f.Type() {
	case pgwire.ParameterStatus, pgwire.NoticeResponse, pgwire.NotificationResponse:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx == tx && c.tracker.Len() == 0 && c.pendingReady == 0
}

// callerConnError is a failure to write to the caller.
type callerConnError struct{ error }

// matchResponse matches a response with its message and reports whether to forward it to the caller.
// The result ok is false if the transaction was aborted meanwhile.
func (c *caller) matchResponse(tx *transaction, f pgwire.Frame) (forward, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return false, false
	}
	switch f.Type() {
	case pgwire.ParameterStatus:
		c.recordParameterStatus(f)
		return true, true
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		return true, true
	}
	action, msgType, name, done := c.tracker.OnResponse(f.Type())
	switch {
	case f.Type() == pgwire.ErrorResponse:
		tx.onError()
	case done && msgType == pgwire.Parse:
		tx.confirmParse(name)
	case f.Type() == pgwire.CopyInResponse:
		c.startCopyIn(tx, msgType)
	}
	tx.partialResult = !done && (tx.partialResult || isResult(f.Type()))
	if c.tracker.Len() == 0 {
		c.cond.Broadcast()
	}
	return action == pgwire.Relay, true
}

// startCopyIn records that the target entered copy-in mode after a message of the given type. The target
// ignores a Sync that was sent together with an Execute, so no ReadyForQuery is expected for it.
func (c *caller) startCopyIn(tx *transaction, msgType byte) {
	tx.copyIn = true
	c.updateIdleTimer()
	c.cond.Broadcast()
	if msgType == pgwire.Execute && c.tracker.DropFollowingSync() {
		c.pendingReady--
		tx.unsynced = true
	}
}

// isResult reports whether a response is a part of a result. If the stream is lost after a part of a
// result was relayed, the caller gets a fatal error and its connection is closed; see onStreamLost.
func isResult(response byte) bool {
	switch response {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete, pgwire.EmptyQueryResponse,
		pgwire.CopyInResponse, pgwire.CopyOutResponse, pgwire.CopyBothResponse, pgwire.CopyData:
		return true
	}
	return false
}

// onError removes the statements whose Parse didn't complete.
func (t *transaction) onError() {
	for _, name := range t.pendingParses {
		delete(t.parseSent, name)
	}
	t.pendingParses = nil
	t.unnamed = nil
	t.copyIn = false
}

func (t *transaction) confirmParse(name string) {
	for i, pendingName := range t.pendingParses {
		if pendingName == name {
			t.pendingParses = append(t.pendingParses[:i], t.pendingParses[i+1:]...)
			return
		}
	}
}

// recordParameterStatus raises the session's read floor when a ParameterStatus carries the session token.
func (c *caller) recordParameterStatus(f pgwire.Frame) {
	name, value, ok := pgwire.ParseParameterStatus(f)
	if !ok || name != pgwire.ParameterToken {
		return
	}
	if floor, reads, err := position.ParseTokenWithReads(c.service, value); err == nil {
		c.sess.RaiseFloor(floor, reads)
	}
}

// onReadyForQuery applies the transaction status after a ReadyForQuery was relayed. It reports whether the
// transaction has ended or was aborted meanwhile.
func (c *caller) onReadyForQuery(tx *transaction, f pgwire.Frame) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return true
	}
	c.pendingReady = max(c.pendingReady-1, 0)
	tx.partialResult = false
	c.srv.metrics.requestSeconds.UpdateDuration(c.requestStarted)
	defer c.updateIdleTimer()
	switch f.Body()[0] {
	case pgwire.TxBlock:
		c.fire(session.EventReadyBlock)
	case pgwire.TxFailed:
		c.fire(session.EventReadyFailed)
	default:
		c.fire(session.EventReadyIdle)
		c.tx = nil
		ended = true
		c.wakeIfDraining()
	}
	c.cond.Broadcast()
	return ended
}
