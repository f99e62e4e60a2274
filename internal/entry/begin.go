package entry

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// begin opens a transaction with the batch's frames. It retries, within the retry budget, refusals
// which guarantee that nothing ran.
func (c *caller) begin(complete bool) (*transaction, error) {
	b := &c.batch
	policy := c.srv.cfg.Directory.Catalog().EffectivePolicy(c.team, c.service)
	c.mu.Lock()
	req := c.sess.NextTxRequest(policy, b.readOnly(complete), b.startsBlock)
	c.mu.Unlock()
	req.Team, req.KeyID, req.Session, req.Place = c.team, c.keyID, c.sessionID, c.srv.cfg.Place
	if req.RequestKey != "" && !complete {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotSupported,
			"a request key needs one statement whose messages fit into %d bytes and end with Sync", maxBatchBytes)
	}
	timeout := c.sess.Timeout(c.srv.cfg.StatementTimeout)
	deadline := time.Now().Add(timeout)
	c.srv.budget.recordAttempt()
	tx, err := c.tryBegin(req, b.frames, deadline)
	if err != nil && retryable(verdict.As(err)) {
		ctx, cancel := context.WithTimeout(c.ctx, min(timeout, c.srv.cfg.RetryTimeout))
		tx, err = c.retryBegin(ctx, req, deadline, err)
		cancel()
	}
	if err == nil && req.RequestKey != "" {
		c.sess.ClearRequestKey()
	}
	return tx, err
}

// retryBegin retries a begin that was refused with err. It stops when the transaction is admitted or fails
// with an error that can't be retried, when the retry budget is spent, when the caller may no longer use the
// service, or when ctx is done. After a refusal with CodeUnavailable each retry is a probe of the outage.
func (c *caller) retryBegin(ctx context.Context, req wire.TxRequest, deadline time.Time, err error) (*transaction, error) {
	for retry := 0; retryable(verdict.As(err)); retry++ {
		endProbe := c.srv.outages.wait(ctx, c.service, retry, verdict.As(err).Code)
		if endProbe == nil { // ctx ended before this caller was allowed to retry
			return nil, err
		}
		if !c.srv.budget.trySpend() || !c.recheckAccess(&err) {
			endProbe(false)
			return nil, err
		}
		c.srv.metrics.retries.Inc()
		var tx *transaction
		tx, err = c.tryBegin(req, c.batch.frames, deadline)
		endProbe(err == nil)
		if err == nil {
			return tx, nil
		}
	}
	return nil, err
}

// recheckAccess reports whether the caller may still use its service after a wait. If not, it sets
// *err to the reason.
func (c *caller) recheckAccess(err *error) bool {
	if accessErr := c.checkAccess(); accessErr != nil {
		*err = accessErr
		return false
	}
	return true
}

func (c *caller) tryBegin(req wire.TxRequest, frames []byte, deadline time.Time) (*transaction, error) {
	req.Timeout = time.Until(deadline)
	ctx, cancel := context.WithCancel(c.ctx)
	timer := time.AfterFunc(req.Timeout+beginGrace, cancel)
	stream, err := c.srv.cfg.Transactor.Begin(ctx, req, frames)
	timer.Stop() // if it has already fired, the stream is broken, which the relay reports
	if err != nil {
		cancel()
		return nil, err
	}
	return &transaction{seq: req.Seq, stream: stream, cancel: cancel, parseSent: map[string]bool{}}, nil
}
