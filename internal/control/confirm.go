package control

import (
	"context"
	"sync"
)

// confirmer lets concurrent requests share confirmations of leadership. A request joins only a
// confirmation that begins after it has arrived.
type confirmer struct {
	confirm func(context.Context) error

	mu      sync.Mutex
	running bool
	next    *round // starts once the running one has ended
}

type round struct {
	done chan struct{}
	err  error
}

// wait returns once a confirmation that began after the call has ended, with its error.
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

// run performs rounds until none is waiting.
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
