package admission

import (
	"context"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Gate is a Queue for concurrent callers.
type Gate struct {
	mu    sync.Mutex
	q     *Queue
	clk   clock.Clock
	next  uint64
	ready map[uint64]chan struct{}
}

// NewGate returns a Gate around a new Queue.
func NewGate(cfg Config, clk clock.Clock) *Gate {
	return &Gate{q: New(cfg), clk: clk, ready: map[uint64]chan struct{}{}}
}

// Ticket is a granted request. It holds a connection of its lane until Release, and a slot except
// between Pause and Resume. One goroutine at a time may use it.
type Ticket struct {
	g       *Gate
	req     Request
	holding bool
	over    bool
}

// SetTarget creates or changes a lane, see Queue.SetTarget.
func (g *Gate) SetTarget(name string, slots, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.SetTarget(name, slots, conns)
	g.wake()
}

// MeanSlotTime returns the mean time for which a statement holds a slot of a lane, 0 if none has ended yet.
func (g *Gate) MeanSlotTime(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Cost(name)
}

// Load returns the number of running and waiting requests of a lane and its slots.
func (g *Gate) Load(name string) (requests, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Load(name)
}

// Acquire waits for a slot and a connection. Its error is a *verdict.Error with verdict NotRun, also
// when ctx ends first.
func (g *Gate) Acquire(ctx context.Context, team, lane string, share float64, deadline time.Time) (*Ticket, error) {
	t := &Ticket{g: g, req: Request{Target: lane, Team: team, Share: share, Deadline: deadline}}
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Resume waits for a slot for the next statement of a block. Errors are those of Acquire.
func (t *Ticket) Resume(ctx context.Context) error {
	t.req.InBlock = true
	t.req.Deadline = time.Time{}
	return t.wait(ctx)
}

// Pause gives back the slot between two statements of a block.
func (t *Ticket) Pause() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.pause()
}

// Release gives back the slot and the connection. Further calls have no effect.
func (t *Ticket) Release() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if t.over {
		return
	}
	t.over = true
	t.pause()
	t.g.q.ReleaseConn(t.req.Target, t.req.Team)
	t.g.wake()
}

func (t *Ticket) pause() {
	if !t.holding {
		return
	}
	t.holding = false
	t.g.q.Finish(t.g.clk.Now(), t.req.ID)
	t.g.wake()
}

func (t *Ticket) wait(ctx context.Context) error {
	g := t.g
	ready, err := g.offer(t)
	if err != nil || ready == nil {
		return err
	}
	select {
	case <-ready:
	case <-ctx.Done():
		if g.withdraw(t.req.ID) {
			return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "no slot before the deadline: %w", ctx.Err())
		}
	}
	g.mu.Lock()
	t.holding = true
	g.mu.Unlock()
	return nil
}

// offer adds the ticket's request to the queue. The channel is nil when the request was granted at
// once, else it is closed with the grant.
func (g *Gate) offer(t *Ticket) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	t.req.ID = g.next
	if err := g.q.Enqueue(g.clk.Now(), t.req); err != nil {
		return nil, err
	}
	if g.grant(t.req.ID) {
		t.holding = true
		return nil, nil
	}
	ch := make(chan struct{})
	g.ready[t.req.ID] = ch
	return ch, nil
}

func (g *Gate) withdraw(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.q.Cancel(id) {
		return false
	}
	delete(g.ready, id)
	return true
}

func (g *Gate) wake() { g.grant(0) }

// grant wakes the requests that may run now. It reports whether the request with the given id, which
// doesn't wait yet, is one of them.
func (g *Gate) grant(id uint64) (granted bool) {
	for _, other := range g.q.Grants(g.clk.Now()) {
		if other == id {
			granted = true
			continue
		}
		close(g.ready[other])
		delete(g.ready, other)
	}
	return granted
}
