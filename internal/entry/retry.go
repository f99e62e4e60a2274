package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// retriesPerAttempt is the number of retries that each first attempt adds to the budget.
	retriesPerAttempt = 0.1
	// maxRetryBalance is the largest number of unused retries. It covers the callers of a small host
	// during one outage of an owner.
	maxRetryBalance = 500
)

// retryBudget limits retries to a fraction of the first attempts, so that they can't multiply the load
// of an overloaded owner. It is safe for concurrent use.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: maxRetryBalance} }

// recordAttempt adds retriesPerAttempt to the balance, for a first attempt.
func (b *retryBudget) recordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retriesPerAttempt, maxRetryBalance)
}

// trySpend takes one retry from the balance. It returns false if none is left.
func (b *retryBudget) trySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// backoff returns the wait before a retry, counted from 0. The wait is random between half of an upper
// bound and the bound, which doubles with each retry from 2*minBackoff to maxBackoff.
func backoff(retry int) time.Duration {
	bound := maxBackoff
	if retry < 5 {
		bound = min(2*minBackoff<<retry, maxBackoff)
	}
	return bound/2 + rand.N(bound/2+1)
}

// retryable reports whether a request that was refused with e may be retried.
func retryable(e *verdict.Error) bool {
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeUnavailable || e.Code == verdict.CodeTooBusy)
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
