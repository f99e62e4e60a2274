package control

import (
	"context"
	"sync"
)

// confirmationBatcher batches leadership confirmations, as batched read-index requests do in Raft. A request
// joins only a confirmation that starts after the request has arrived.
type confirmer struct {
	confirm func(context.Context) error

	mu      sync.Mutex
	running bool
	next    *round // starts when the running confirmation has ended
}

type round struct {
	done chan struct{}
	err  error
}

// wait blocks until a confirmation that started after the call has ended, and returns its error.
func (c *confirmer) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run performs confirmations until none is requested.
func (c *confirmer) run() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		c.running = r != nil
		c.mu.Unlock()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		r.err = c.confirm(ctx)
		cancel()
		close(r.done)
	}
}
