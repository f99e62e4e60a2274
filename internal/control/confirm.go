package control

import (
	"context"
	"sync"
)

// confirmationBatcher lets concurrent requests share one confirmation of leadership, in the manner of
// batched read-index requests in Raft. A request joins only a confirmation that starts after the
// request has arrived.
type confirmationBatcher struct {
	confirm func(context.Context) error // Log.ReadBarrier

	mu      sync.Mutex
	running bool
	pending *confirmation // joined by new requests; starts once the running confirmation has ended
}

// confirmation is one call of confirm. err is valid once done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

// wait joins a confirmation that starts after wait is called, waits for it to end and returns its error.
// If ctx ends first, wait returns its cause.
func (c *confirmationBatcher) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.pending == nil {
		c.pending = &confirmation{done: make(chan struct{})}
	}
	joined := c.pending
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run performs one confirmation after the other until no request is waiting for one.
func (c *confirmationBatcher) run() {
	for {
		c.mu.Lock()
		current := c.pending
		c.pending = nil
		c.running = current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		current.err = c.confirm(ctx)
		cancel()
		close(current.done)
	}
}
