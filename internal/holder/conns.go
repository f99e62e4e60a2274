package holder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	// maxPrepared bounds the prepared statements of one connection.
	maxPrepared = 64
	// fullPause is the time without a new connection after the target has refused one for want of room.
	// It may keep the connections of a lost holder for seconds, and each refusal takes it time.
	fullPause = 50 * time.Millisecond
)

// conn is a connection with what it holds of its team's sessions.
type conn struct {
	Conn
	team     string
	values   map[string]string
	prepared map[statement.Definition]bool
}

// fit gives the connection exactly the given values, and the prepared statement of st if it has one.
// After an error the state of the connection is unknown.
func (c *conn) fit(ctx context.Context, values map[string]string, st statement.Statement) error {
	if err := c.fitValues(ctx, values); err != nil {
		return err
	}
	if st.Prepared == nil || c.prepared[*st.Prepared] {
		return nil
	}
	if len(c.prepared) >= maxPrepared {
		if err := c.reset(ctx); err != nil {
			return err
		}
		if err := c.fitValues(ctx, values); err != nil {
			return err
		}
	}
	if err := c.Prepare(ctx, *st.Prepared); err != nil {
		return err
	}
	c.prepared[*st.Prepared] = true
	return nil
}

func (c *conn) fitValues(ctx context.Context, values map[string]string) error {
	for name := range c.values {
		if _, wanted := values[name]; !wanted {
			if err := c.reset(ctx); err != nil {
				return err
			}
			break
		}
	}
	for name, value := range values {
		if have, ok := c.values[name]; ok && have == value {
			continue
		}
		if err := c.Set(ctx, name, value); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

func (c *conn) reset(ctx context.Context) error {
	if err := c.Reset(ctx); err != nil {
		return err
	}
	clear(c.values)
	clear(c.prepared)
	return nil
}

// conns are the connections to one target. Idle ones are kept for their team until another team
// needs the room.
type conns struct {
	m    *Manager
	dial func(ctx context.Context, team string) (Conn, error)

	mu        sync.Mutex
	max       int
	open      int
	fullUntil time.Time // the target has no room for more than open connections
	idle      []*conn   // least recently used first
	closed    bool
}

// get returns an idle connection of a team, preferably one that has the wanted values, or opens one.
func (p *conns) get(ctx context.Context, team string, values map[string]string) (*conn, error) {
	for {
		c, err := p.take(team, values)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.openConn(ctx, team)
		}
		if c.Usable() {
			p.m.metrics.reused.Inc()
			return c, nil
		}
		p.drop(c)
	}
}

// take returns an idle connection, or nil after it has made room for a new one.
func (p *conns) take(team string, values map[string]string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errLeaseEnded
	}
	found := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].team != team {
			continue
		}
		if maps.Equal(p.idle[i].values, values) {
			found = i
			break
		}
		if found < 0 {
			found = i
		}
	}
	if found >= 0 {
		return p.remove(found), nil
	}
	limit := p.max
	if p.m.cfg.Clock.Now().Before(p.fullUntil) {
		limit = min(limit, p.open)
	}
	if p.open >= limit && len(p.idle) > 0 {
		p.remove(0).Close()
		p.open--
		p.m.metrics.evicted.Inc()
	}
	if p.open >= limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "all connections to the target are in use")
	}
	p.open++
	return nil, nil
}

func (p *conns) remove(i int) *conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

// openConn dials a connection for which take has made room.
func (p *conns) openConn(ctx context.Context, team string) (*conn, error) {
	raw, err := p.dial(ctx, team)
	if err != nil {
		p.m.metrics.dialsFailed.Inc()
		p.mu.Lock()
		p.open--
		if verdict.As(err).Code == verdict.CodeTooBusy {
			p.fullUntil = p.m.cfg.Clock.Now().Add(fullPause)
		}
		p.mu.Unlock()
		return nil, err
	}
	p.m.metrics.dials.Inc()
	return &conn{Conn: raw, team: team, values: map[string]string{}, prepared: map[statement.Definition]bool{}}, nil
}

// put gives a connection back that is between two statements and outside of a block.
func (p *conns) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.max {
		c.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection. A block that is open on it is rolled back.
func (p *conns) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// anyIdle takes the most recently used idle connection of any team, or returns nil.
func (p *conns) anyIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	return p.remove(len(p.idle) - 1)
}

func (p *conns) setMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = n
}

func (p *conns) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// close closes the idle connections. Those in use are closed when they come back.
func (p *conns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}
