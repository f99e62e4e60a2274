package owner

import (
	"context"
	"encoding/binary"
	"io"

	"github.com/citronrun/citronrun/internal/pgwire"
)

// forwardRequests sends request frames to the target until the source or the transaction ends.
func (t *tx) forwardRequests(source io.Reader) {
	reader := requestReaders.Get().(*pgwire.Reader)
	reader.Reset(source)
	defer func() {
		reader.Reset(nil)
		requestReaders.Put(reader)
	}()
	var buf []byte
	for {
		f, err := reader.Next()
		if err != nil || f.Type() == pgwire.Terminate {
			t.callerDisconnected()
			return
		}
		buf = append(buf, f...)
		if reader.Buffered() > 0 && len(buf) < sendBatchBytes {
			continue
		}
		if !t.forward(buf) {
			return
		}
		if cap(buf) > 2*sendBatchBytes {
			buf = nil // don't retain the memory of a single large frame
		}
		buf = buf[:0]
	}
}

// callerDisconnected aborts an unfinished transaction whose caller has disconnected. A running
// statement is cancelled, so that it doesn't keep the target busy.
func (t *tx) callerDisconnected() {
	t.cancelStatement()
	t.abort(errCallerDisconnected)
}

// forward sends complete frames to the target. It returns false when the transaction has ended.
func (t *tx) forward(frames []byte) bool {
	acquired, needsSlot := t.beginSend(frames)
	if acquired == nil {
		return false
	}
	if needsSlot && !t.resumeSlot(acquired) {
		t.endSend(nil)
		return false
	}
	err := acquired.conn.Send(frames)
	t.endSend(err)
	return err == nil
}

// beginSend waits until no rerun is in progress, and marks a send as in progress. acquired is nil when
// the transaction has ended. needsSlot reports whether the transaction must wait for a slot first.
func (t *tx) beginSend(frames []byte) (acquired *acquiredConn, needsSlot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.rerunning && !t.ended && t.abortCause == nil {
		t.cond.Wait()
	}
	if t.ended || t.abortCause != nil {
		return nil, false
	}
	t.sending, t.sent, t.idle = true, true, false
	t.pendingSyncs += countSyncs(frames)
	t.recordRequests(frames)
	return t.acquired, !t.hasSlot
}

// resumeSlot waits for a slot for the next statement of a transaction block. The lease must be valid for each
// statement, not only for the first.
func (t *tx) resumeSlot(acquired *acquiredConn) bool {
	if !t.service.leaseValid() {
		t.abort(errLeaseExpired)
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.params.timeout)
	defer cancel()
	if err := acquired.ticket.Resume(ctx); err != nil {
		t.abort(err)
		return false
	}
	t.mu.Lock()
	t.hasSlot = true
	t.mu.Unlock()
	return true
}

// endSend marks the send as finished. A statement isn't finished while a send is in progress, so
// endSend finishes it if all its responses have arrived in the meantime.
func (t *tx) endSend(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sending = false
	if err != nil {
		t.interrupt()
	} else if !t.ended && t.abortCause == nil {
		t.finishStatement()
		if t.ended {
			t.interrupt() // wakes the goroutine that waits for a response, since none will come
		}
	}
	t.cond.Broadcast()
}

// recordRequests records requests for a rerun on the primary. Above the size limit it discards the
// record, which rules out a rerun. mu must be held.
func (t *tx) recordRequests(frames []byte) {
	if !t.recording {
		return
	}
	if len(t.recorded)+len(frames) > maxRecordedBytes {
		t.recording, t.recorded = false, nil
		return
	}
	t.recorded = append(t.recorded, frames...)
}

// countSyncs returns the number of frames that the target answers with a ReadyForQuery.
func countSyncs(frames []byte) int {
	n := 0
	for len(frames) >= pgwire.HeaderBytes {
		if frames[0] == pgwire.Sync || frames[0] == pgwire.Query {
			n++
		}
		size := int(binary.BigEndian.Uint32(frames[1:])) + 1
		frames = frames[min(size, len(frames)):]
	}
	return n
}

// canRerun reports whether the transaction can be rerun on the primary: it runs on a replica, no
// response has been relayed, and all of its requests are recorded.
func (t *tx) canRerun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recording && !t.relay.relayed && !t.acquired.isPrimary && t.abortCause == nil
}

// rerun runs the transaction on the primary after a replica rejected a write or its connection
// failed. Otherwise it reports an error to the caller and returns false: cause, or the error of sending
// the recorded requests.
func (t *tx) rerun(cause error) bool {
	if !t.canRerun() {
		t.fail(cause)
		return false
	}
	t.beginRerun()
	ctx, cancel := context.WithTimeout(t.ctx, rerunTimeout)
	defer cancel()
	acquired, err := t.service.acquirePrimary(ctx, t.params)
	if err != nil {
		t.fail(cause)
		return false
	}
	reruns.Inc()
	t.attach(acquired)
	if err := t.sendRecorded(); err != nil {
		t.fail(err)
		return false
	}
	return true
}

// beginRerun releases the replica's connection. Until sendRecorded has finished, no other request is
// sent.
func (t *tx) beginRerun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rerunning = true
	t.acquired.conn.Discard()
	t.releaseConn()
}

// sendRecorded sends the recorded requests to the primary, which ends the rerun phase: further requests
// may be sent.
func (t *tx) sendRecorded() error {
	t.mu.Lock()
	frames := t.recorded
	t.recorded, t.cancelled = nil, false
	t.mu.Unlock()
	t.relay.reset()
	var err error
	if len(frames) > 0 {
		err = t.acquired.conn.Send(frames)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rerunning = false
	t.cond.Broadcast()
	return err
}
