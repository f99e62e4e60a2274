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
	// retryShare is the number of retries earned by one first attempt.
	retryShare = 0.1
	// retryReserve is the number of retries that can be saved up. It covers the callers of a small
	// host during one change of owner.
	retryReserve = 500
)

// retryBudget bounds retries to a share of first attempts, so that retries can't multiply the load
// of an owner in trouble. It is safe for concurrent use.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

func newRetryBudget() *retryBudget { return &retryBudget{saved: retryReserve} }

func (b *retryBudget) attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, retryReserve)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// backoff returns the pause before retry n, counted from 0: between half of and the full bound,
// which doubles from minBackoff to maxBackoff.
func backoff(n int) time.Duration {
	bound := maxBackoff
	if n < 5 {
		bound = min(2*minBackoff<<n, maxBackoff)
	}
	return bound/2 + rand.N(bound/2+1)
}

// retryable reports whether a refused request may be sent again.
func retryable(e *verdict.Error) bool {
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeUnavailable || e.Code == verdict.CodeTooBusy)
}

// pause waits for d. It returns false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
