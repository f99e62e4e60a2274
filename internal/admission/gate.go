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
	mu    sync.Mutex
	q     *Queue
	clk   clock.Clock
	next  uint64                   // id of the last request
	ready map[uint64]chan struct{} // by request id; closed when the request is granted
}

// NewGate returns a Gate around a new Queue.
func NewGate(cfg Config, clk clock.Clock) *Gate {
	return &Gate{q: New(cfg), clk: clk, ready: map[uint64]chan struct{}{}}
}

// Ticket is a granted request. It holds a connection of its target until Release, and a slot except
// between Pause and Resume. It is not safe for concurrent use.
type Ticket struct {
	g       *Gate
	req     Request
	holding bool // a slot
	over    bool // Release was called
}

// SetTarget adds or changes a target; see Queue.SetTarget.
func (g *Gate) SetTarget(name string, slots, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.SetTarget(name, slots, conns)
	g.wake()
}

// Cost returns the mean time for which a statement holds a slot of a target, or 0 if none has finished.
func (g *Gate) Cost(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Cost(name)
}

// Load returns the number of running and waiting requests of a target, and its number of slots.
func (g *Gate) Load(name string) (requests, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Load(name)
}

// Acquire waits for a slot and a connection. Every error, including the one for a cancelled ctx, is a
// *verdict.Error with verdict NotRun.
func (g *Gate) Acquire(ctx context.Context, team, lane string, share float64, deadline time.Time) (*Ticket, error) {
	t := &Ticket{g: g, req: Request{Target: lane, Team: team, Share: share, Deadline: deadline}}
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Resume waits for a slot for the next statement of a transaction block. Its errors are like those of
// Acquire.
func (t *Ticket) Resume(ctx context.Context) error {
	t.req.InBlock = true
	t.req.Deadline = time.Time{}
	return t.wait(ctx)
}

// Pause returns the slot between two statements of a transaction block and keeps the connection.
func (t *Ticket) Pause() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.pause()
}

// Release returns the slot and the connection. Further calls have no effect.
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
			return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "no slot became free before the deadline: %w", ctx.Err())
		}
	}
	g.mu.Lock()
	t.holding = true
	g.mu.Unlock()
	return nil
}

// offer adds the ticket's request to the queue. The channel is nil if the request was granted at once;
// otherwise it is closed when the request is granted.
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

// grant wakes the goroutines of all requests that may run now. It reports whether the request with the
// given id, whose goroutine doesn't wait yet, is one of them.
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
