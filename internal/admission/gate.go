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

// SetLane creates or changes a lane, see Queue.SetLane.
func (g *Gate) SetLane(name string, slots, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.SetLane(name, slots, conns)
	g.wake()
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
	t := &Ticket{g: g, req: Request{Lane: lane, Team: team, Share: share, Deadline: deadline}}
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
	t.g.q.ReleaseConn(t.req.Lane, t.req.Team)
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
	ready, err := g.offer(&t.req)
	if err != nil {
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

func (g *Gate) offer(r *Request) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	r.ID = g.next
	if err := g.q.Offer(g.clk.Now(), *r); err != nil {
		return nil, err
	}
	ch := make(chan struct{})
	g.ready[r.ID] = ch
	g.wake()
	return ch, nil
}

func (g *Gate) withdraw(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.q.Withdraw(id) {
		return false
	}
	delete(g.ready, id)
	return true
}

func (g *Gate) wake() {
	for _, id := range g.q.Grants(g.clk.Now()) {
		close(g.ready[id])
		delete(g.ready, id)
	}
}
