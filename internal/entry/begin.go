package entry

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// begin opens a transaction with the batch's frames. It retries refusals that promise that nothing
// ran, within the retry budget.
func (c *caller) begin(complete bool) (*transaction, error) {
	b := &c.batch
	rule := c.srv.cfg.Directory.Catalog().EffectivePolicy(c.team, c.service)
	c.mu.Lock()
	req := c.st.NextTxRequest(rule, b.readOnly(complete), b.block)
	c.mu.Unlock()
	req.Team, req.KeyID, req.Session, req.Place = c.team, c.keyID, c.sessionID, c.srv.cfg.Place
	if req.RequestKey != "" && !complete {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotSupported,
			"a request key needs one statement whose messages fit into %d bytes and end with Sync", batchBytes)
	}
	timeout := c.st.Timeout(c.srv.cfg.StatementTimeout)
	deadline := time.Now().Add(timeout)
	c.srv.budget.attempt()
	tx, err := c.tryBegin(req, b.frames, deadline)
	if err != nil && retryable(verdict.As(err)) {
		ctx, stop := context.WithTimeout(c.ctx, min(timeout, c.srv.cfg.RetryTimeout))
		tx, err = c.retryBegin(ctx, req, deadline, err)
		stop()
	}
	if err == nil && req.RequestKey != "" {
		c.st.ClearRequestKey()
	}
	return tx, err
}

// retryBegin repeats a refused request until it is admitted, fails otherwise, or ctx ends.
func (c *caller) retryBegin(ctx context.Context, req wire.TxRequest, deadline time.Time, err error) (*transaction, error) {
	for n := 0; retryable(verdict.As(err)); n++ {
		turn := c.srv.outages.wait(ctx, c.service, n, verdict.As(err).Code)
		if turn == nil {
			return nil, err
		}
		if !c.srv.budget.take() || !c.stillAllowed(&err) {
			turn(false)
			return nil, err
		}
		c.srv.metrics.retries.Inc()
		var tx *transaction
		tx, err = c.tryBegin(req, c.batch.frames, deadline)
		turn(err == nil)
		if err == nil {
			return tx, nil
		}
	}
	return nil, err
}

// stillAllowed checks the key again after a wait and replaces err when it was withdrawn.
func (c *caller) stillAllowed(err *error) bool {
	if keyErr := c.admitPrepare(); keyErr != nil {
		*err = keyErr
		return false
	}
	return true
}

func (c *caller) tryBegin(req wire.TxRequest, frames []byte, deadline time.Time) (*transaction, error) {
	req.Timeout = time.Until(deadline)
	ctx, cancel := context.WithCancel(c.ctx)
	timer := time.AfterFunc(req.Timeout+beginGrace, cancel)
	stream, err := c.srv.cfg.Transactor.Begin(ctx, req, frames)
	timer.Stop() // if it has fired, the stream is broken and the responder says so
	if err != nil {
		cancel()
		return nil, err
	}
	return &transaction{seq: req.Seq, stream: stream, cancel: cancel, parsed: map[string]bool{}}, nil
}
