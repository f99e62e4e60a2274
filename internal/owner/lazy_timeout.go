package owner

import (
	"context"
	"sync"
	"time"
)

// lazyTimeout is a context with a deadline that starts its timer on the first call of Done. Most
// transactions get a connection without waiting and never need the timer.
type lazyTimeout struct {
	context.Context // the parent
	deadline        time.Time

	mu     sync.Mutex
	inner  context.Context // nil before the first call of Done
	cancel context.CancelFunc
}

func withLazyTimeout(parent context.Context, timeout time.Duration) *lazyTimeout {
	return &lazyTimeout{Context: parent, deadline: time.Now().Add(timeout)}
}

// Deadline returns the earlier of the parent's deadline and its own.
func (c *lazyTimeout) Deadline() (time.Time, bool) {
	if d, ok := c.Context.Deadline(); ok && d.Before(c.deadline) {
		return d, true
	}
	return c.deadline, true
}

// Done starts the timer on its first call.
func (c *lazyTimeout) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.cancel = context.WithDeadline(c.Context, c.deadline)
	}
	return c.inner.Done()
}

// Err returns an error once the parent has ended or the deadline has passed, and after stop if Done
// has been called.
func (c *lazyTimeout) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner != nil {
		return c.inner.Err()
	}
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !time.Now().Before(c.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// stop releases the timer.
func (c *lazyTimeout) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}
