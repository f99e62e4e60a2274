package holder

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	// maxPrepared bounds the prepared statements of one connection.
	maxPrepared = 64
	// maxIdleSettings bounds the settings of an idle connection.
	maxIdleSettings = 64
	// fullRetryDelay is how long no new connection is dialled after the target has refused one at its
	// connection limit. A target may keep the connections of a failed holder for seconds, and each refusal
	// costs it time.
	fullRetryDelay = 50 * time.Millisecond
)

// conn is a connection together with the session state that is set on it. The state outlasts the session, whose
// memory for clients is released by then, so that it has no text of more than maxKeptText.
type conn struct {
	Conn
	team     string
	settings map[string]string             // as returned by keptSettings
	prepared map[statement.Definition]bool // as returned by keptDefinition
	resetDue bool                          // settings and prepared are incomplete
}

func newConn(raw Conn, team string) *conn {
	return &conn{Conn: raw, team: team, settings: map[string]string{}, prepared: map[statement.Definition]bool{}}
}

// applySession makes the settings of the connection equal to the given ones, and prepares the statement
// that st executes, if any. After an error the session state of the connection is unknown.
func (c *conn) applySession(ctx context.Context, settings map[string]string, st statement.Statement) error {
	if c.resetDue {
		if err := c.reset(ctx); err != nil {
			return err
		}
	}
	if err := c.applySettings(ctx, settings); err != nil {
		return err
	}
	if st.Prepared == nil {
		return nil
	}
	kept := keptDefinition(*st.Prepared)
	if c.prepared[kept] {
		return nil
	}
	if len(c.prepared) >= maxPrepared {
		if err := c.reset(ctx); err != nil {
			return err
		}
		if err := c.applySettings(ctx, settings); err != nil {
			return err
		}
	}
	if err := c.Prepare(ctx, *st.Prepared); err != nil {
		return err
	}
	kept.Body = strings.Clone(kept.Body)
	c.prepared[kept] = true
	return nil
}

func (c *conn) applySettings(ctx context.Context, settings map[string]string) error {
	kept := keptSettings(settings)
	for name := range c.settings {
		if _, wanted := kept[name]; !wanted {
			if err := c.reset(ctx); err != nil {
				return err
			}
			break
		}
	}
	for name, value := range settings {
		keptName, keptValue := keptText(name), keptText(value)
		if current, ok := c.settings[keptName]; ok && current == keptValue {
			continue
		}
		if err := c.Set(ctx, name, value); err != nil {
			return err
		}
		c.settings[strings.Clone(keptName)] = strings.Clone(keptValue) // may be parts of a larger message
	}
	return nil
}

func (c *conn) reset(ctx context.Context) error {
	if err := c.Reset(ctx); err != nil {
		return err
	}
	clear(c.settings)
	clear(c.prepared)
	c.resetDue = false
	return nil
}

// forget drops what is known of the session state of the connection, which is reset before its next use.
func (c *conn) forget() {
	c.settings, c.prepared, c.resetDue = map[string]string{}, map[statement.Definition]bool{}, true
}

// connPool holds the connections to one target. An idle connection is kept for its team until, at the
// connection limit, it is evicted for one of another team.
type connPool struct {
	manager *Manager
	dial    func(ctx context.Context, team string) (Conn, error)
	broken  func() // called when an idle connection turns out to be broken

	mu        sync.Mutex
	maxOpen   int
	open      int       // connections that are idle, in use or being dialled
	fullUntil time.Time // until then open must not grow: the target refused a connection at its limit
	idle      []*conn   // least recently used first
	closed    bool
}

// get returns an idle connection of a team, preferably one that already has the settings, or opens one.
func (p *connPool) get(ctx context.Context, team string, settings map[string]string) (*conn, error) {
	for {
		c, err := p.takeIdleOrReserve(team, settings)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.openReserved(ctx, team)
		}
		if c.Usable() {
			p.manager.metrics.reused.Inc()
			return c, nil
		}
		p.broken()
		p.drop(c)
	}
}

// takeIdleOrReserve returns an idle connection of the team. If there is none it counts a new connection as
// open, evicting an idle one of another team if necessary, and returns nil; openReserved then dials it.
func (p *connPool) takeIdleOrReserve(team string, settings map[string]string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errLeaseEnded
	}
	found := -1
	kept := keptSettings(settings)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].team != team {
			continue
		}
		if maps.Equal(p.idle[i].settings, kept) {
			found = i
			break
		}
		if found < 0 {
			found = i
		}
	}
	if found >= 0 {
		return p.removeIdle(found), nil
	}
	limit := p.maxOpen
	if p.manager.cfg.Clock.Now().Before(p.fullUntil) {
		limit = min(limit, p.open)
	}
	if p.open >= limit && len(p.idle) > 0 {
		p.removeIdle(0).Close()
		p.open--
		p.manager.metrics.evicted.Inc()
	}
	if p.open >= limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "all connections to the target are in use")
	}
	p.open++
	return nil, nil
}

func (p *connPool) removeIdle(i int) *conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

// openReserved dials the connection that takeIdleOrReserve has counted as open.
func (p *connPool) openReserved(ctx context.Context, team string) (*conn, error) {
	raw, err := p.dial(ctx, team)
	if err != nil {
		p.manager.metrics.dialsFailed.Inc()
		p.mu.Lock()
		p.open--
		if verdict.As(err).Code == verdict.CodeTooBusy {
			p.fullUntil = p.manager.cfg.Clock.Now().Add(fullRetryDelay)
		}
		p.mu.Unlock()
		return nil, err
	}
	p.manager.metrics.dials.Inc()
	return newConn(raw, team), nil
}

// put adds a connection on which no statement is running and no block is open to the idle ones. It closes the
// connection if the pool is closed or has more than maxOpen.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.maxOpen {
		c.Close()
		p.open--
		return
	}
	if len(c.settings) > maxIdleSettings {
		c.forget()
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection. A block that is open on it is rolled back.
func (p *connPool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeAnyIdle returns the most recently used idle connection of any team, or nil.
func (p *connPool) takeAnyIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	return p.removeIdle(len(p.idle) - 1)
}

func (p *connPool) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
}

func (p *connPool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// close closes the idle connections. Those in use are closed by put or drop.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}
