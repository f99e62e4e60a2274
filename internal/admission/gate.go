package admission

import (
	"context"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Gate makes a Queue safe for concurrent use and lets goroutines wait for their grants.
type Gate struct {
	mu     sync.Mutex
	queue  *Queue
	clock  clock.Clock
	lastID uint64                   // id of the last request
	grants map[uint64]chan struct{} // by id of a waiting request; closed when it is granted
}

// NewGate returns a Gate around a new Queue.
func NewGate(cfg Config, clk clock.Clock) *Gate {
	return &Gate{queue: NewQueue(cfg), clock: clk, grants: map[uint64]chan struct{}{}}
}

// Ticket is a granted request. It holds a connection of its target until Release, and a slot except
// between Pause and Resume. It is not safe for concurrent use.
type Ticket struct {
	gate     *Gate
	req      Request
	hasSlot  bool
	released bool
}

// SetTarget adds or changes a target; see Queue.SetTarget.
func (g *Gate) SetTarget(name string, slots, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetTarget(name, slots, conns)
	g.deliverGrants()
}

// MeanSlotTime returns the mean time for which a statement holds a slot of a target, or 0 if none has
// finished.
func (g *Gate) MeanSlotTime(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanSlotTime(name)
}

// Load returns the number of running and waiting requests of a target, and its number of slots.
func (g *Gate) Load(name string) (requests, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(name)
}

// ExpectedWait returns the expected wait of a new request like req.
func (g *Gate) ExpectedWait(req Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ExpectedWait(g.clock.Now(), req)
}

// Acquire waits for a slot and a connection. share is the weight of the team at the target. A request whose
// expected wait exceeds the deadline is refused at once; a zero deadline means none. After that only ctx ends
// the wait. Every error, including the one for an ended ctx, is a *verdict.Error with verdict NotRun.
func (g *Gate) Acquire(ctx context.Context, team, target string, share float64, deadline time.Time) (*Ticket, error) {
	return g.AcquireFor(ctx, Request{Target: target, Team: team, Share: share, Deadline: deadline})
}

// AcquireFor is like Acquire for a request whose ID is not set.
func (g *Gate) AcquireFor(ctx context.Context, req Request) (*Ticket, error) {
	t := &Ticket{gate: g, req: req}
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Resume waits for a slot for the next statement of a transaction block, until ctx ends. Its errors are like
// those of Acquire.
func (t *Ticket) Resume(ctx context.Context) error {
	t.req.InBlock = true
	t.req.Deadline = time.Time{}
	return t.wait(ctx)
}

// Pause frees the slot between two statements of a transaction block and keeps the connection.
func (t *Ticket) Pause() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.freeSlot()
}

// Release frees the slot and the connection. Further calls have no effect.
func (t *Ticket) Release() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	t.freeSlot()
	t.gate.queue.ReleaseConn(t.req.Target, t.req.Team)
	t.gate.deliverGrants()
}

func (t *Ticket) freeSlot() {
	if !t.hasSlot {
		return
	}
	t.hasSlot = false
	t.gate.queue.Finish(t.gate.clock.Now(), t.req.ID)
	t.gate.deliverGrants()
}

func (t *Ticket) wait(ctx context.Context) error {
	g := t.gate
	ready, err := g.enqueue(t)
	if err != nil || ready == nil {
		return err
	}
	select {
	case <-ready:
	case <-ctx.Done():
		if expectedWait, ok := g.cancel(t.req); ok {
			return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "stopped waiting for a slot: %w", ctx.Err()).WithRetryAfter(expectedWait)
		}
	}
	g.mu.Lock()
	t.hasSlot = true
	g.mu.Unlock()
	return nil
}

// enqueue adds the ticket's request to the queue. The channel is nil if the request was granted at once;
// otherwise it is closed when the request is granted.
func (g *Gate) enqueue(t *Ticket) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	t.req.ID = g.lastID
	if err := g.queue.Enqueue(g.clock.Now(), t.req); err != nil {
		return nil, err
	}
	if g.deliverGrantsFor(t.req.ID) {
		t.hasSlot = true
		return nil, nil
	}
	ready := make(chan struct{})
	g.grants[t.req.ID] = ready
	return ready, nil
}

// cancel removes a waiting request and returns the expected wait of a new one. It returns false if the request was granted
// before.
func (g *Gate) cancel(req Request) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(req.ID) {
		return 0, false
	}
	delete(g.grants, req.ID)
	return g.queue.ExpectedWait(g.clock.Now(), req), true
}

// deliverGrants grants all requests that may run now and wakes their goroutines.
func (g *Gate) deliverGrants() { g.deliverGrantsFor(0) }

// deliverGrantsFor is like deliverGrants while the request id is being enqueued. The goroutine of that request
// doesn't wait yet and isn't woken; instead, the result reports whether the request was granted. Id 0 stands for
// no request.
func (g *Gate) deliverGrantsFor(id uint64) (granted bool) {
	for _, grantedID := range g.queue.Grant(g.clock.Now()) {
		if grantedID == id {
			granted = true
			continue
		}
		close(g.grants[grantedID])
		delete(g.grants, grantedID)
	}
	return granted
}
