package owner

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
)

var errLost = errors.New("connection lost")

// fakeGroup is a database group in memory. Replication happens at each commit unless a replica lags.
type fakeGroup struct {
	mu      sync.Mutex
	targets map[string]*fakeTarget
}

type fakeTarget struct {
	g         *fakeGroup
	name      string
	role      string
	term      uint64
	received  position.Position
	applied   position.Position
	lag       bool
	down      bool
	dials     int
	statement []string             // statements that ran
	keys      map[string][2]string // request keys: digest and result
	hook      func(sql string) string
	cancels   int
	puts      int // connections put back in a clean state
	conns     []*fakeConn
}

func (f *fakeTarget) commit() position.Position {
	f.received = position.Position{Term: f.term, Offset: f.received.Offset + 1}
	f.applied = f.received
	for _, r := range f.g.targets {
		if r.role == routing.RoleReplica && r.term == f.term && !r.lag && !r.down {
			r.received, r.applied = f.received, f.received
		}
	}
	return f.received
}

// control side

type fakeControl struct{ f *fakeTarget }

func (c fakeControl) Status(ctx context.Context) (Status, error) {
	c.f.g.mu.Lock()
	down := c.f.down
	s := Status{Role: c.f.role, Term: c.f.term, Received: c.f.received, Applied: c.f.applied}
	c.f.g.mu.Unlock()
	if down {
		<-ctx.Done() // silent, not refusing
		return Status{}, ctx.Err()
	}
	return s, nil
}

func (c fakeControl) Promote(_ context.Context, term uint64) error {
	c.f.g.mu.Lock()
	defer c.f.g.mu.Unlock()
	if c.f.down {
		return errLost
	}
	if term < c.f.term {
		return &pgconn.PgError{Code: "55000", Message: "term is lower"}
	}
	c.f.role, c.f.term = routing.RolePrimary, term
	return nil
}

func (c fakeControl) Follow(_ context.Context, term uint64, addr string) error {
	c.f.g.mu.Lock()
	defer c.f.g.mu.Unlock()
	p := c.f.g.targets[addr]
	if term < c.f.term || p == nil {
		return &pgconn.PgError{Code: "55000", Message: "term is lower"}
	}
	c.f.term, c.f.role = term, routing.RoleReplica
	if c.f.received.Offset > p.received.Offset {
		c.f.role = routing.RoleDiverged
		return nil
	}
	c.f.received, c.f.applied = p.received, p.received
	return nil
}

func (c fakeControl) Close() {}

func (g *fakeGroup) DialControl(_ context.Context, cfg TargetConfig) (ControlConn, error) {
	return fakeControl{g.targets[cfg.Target]}, nil
}

// pool side

type fakePool struct {
	f    *fakeTarget
	idle []*fakeConn
}

func (g *fakeGroup) NewPool(cfg TargetConfig) Pool {
	return AdaptPool[*fakeConn](&fakePool{f: g.targets[cfg.Target]})
}

func (p *fakePool) Get(context.Context) (*fakeConn, error) {
	p.f.g.mu.Lock()
	defer p.f.g.mu.Unlock()
	if p.f.down {
		return nil, unavailable("target is down")
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	p.f.dials++
	c := &fakeConn{f: p.f, frames: make(chan []byte, 4096), dead: make(chan struct{}), status: 'I', position: p.f.applied}
	c.out = c.frames
	p.f.conns = append(p.f.conns, c)
	return c, nil
}

func (p *fakePool) Put(c *fakeConn) {
	p.f.g.mu.Lock()
	defer p.f.g.mu.Unlock()
	if c.discarded.Load() || c.Pending() || c.TxStatus() != 'I' {
		c.kill()
		return
	}
	p.f.puts++
	p.idle = append(p.idle, c)
}

func (p *fakePool) Close() {}

type fakeConn struct {
	f         *fakeTarget
	frames    chan []byte
	out       chan []byte // frames, or answers that get lost; guarded by the group's mutex
	dead      chan struct{}
	once      sync.Once
	discarded atomic.Bool
	block     bool
	wrote     bool
	key       string // inserted by the open block

	mu       sync.Mutex
	status   byte
	position position.Position
	pending  int
}

func (c *fakeConn) kill()                            { c.once.Do(func() { close(c.dead) }) }
func (c *fakeConn) Discard()                         { c.discarded.Store(true) }
func (c *fakeConn) SetDeadline(time.Time) error      { c.kill(); return nil }
func (c *fakeConn) Cancel(ctx context.Context) error { return c.f.cancelled() }

func (f *fakeTarget) cancelled() error {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.cancels++
	return nil
}

func (c *fakeConn) TxStatus() byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

func (c *fakeConn) Position() position.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

func (c *fakeConn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func (c *fakeConn) Send(frames []byte) error {
	select {
	case <-c.dead:
		return errLost
	default:
	}
	r := pgwire.NewReader(strings.NewReader(string(frames)), pgwire.MaxFrameBytes)
	for {
		f, err := r.Next()
		if err != nil {
			return nil
		}
		switch f.Type() {
		case pgwire.Query:
			c.mu.Lock()
			c.pending++
			c.mu.Unlock()
			sql := strings.TrimSuffix(string(f.Body()), "\x00")
			c.f.g.mu.Lock()
			c.run(sql)
			c.f.g.mu.Unlock()
		case pgwire.CopyDone:
			c.f.g.mu.Lock()
			c.done("COPY 1", c.f.commit())
			c.f.g.mu.Unlock()
		}
	}
}

func (c *fakeConn) HasNext() bool { return len(c.frames) > 0 }

func (c *fakeConn) Next() (pgwire.Frame, error) {
	select {
	case <-c.dead:
		return nil, errLost
	default:
	}
	select {
	case f := <-c.frames:
		c.mu.Lock()
		defer c.mu.Unlock()
		switch f[0] {
		case pgwire.ReadyForQuery:
			c.status = f[5]
			c.pending--
		case pgwire.ParameterStatus:
			_, v, _ := pgwire.ParseParameterStatus(f)
			c.position, _ = position.Parse(v)
		}
		return f, nil
	case <-c.dead:
		c.Discard()
		return nil, errLost
	}
}

func (c *fakeConn) Exec(ctx context.Context, sql string) (rows [][]string, tag string, err error) {
	defer context.AfterFunc(ctx, c.kill)()
	if err := c.Send(encode(&pgproto3.Query{String: sql})); err != nil {
		return nil, "", err
	}
	for {
		f, readErr := c.Next()
		if readErr != nil {
			return nil, "", readErr
		}
		switch f.Type() {
		case pgwire.DataRow:
			var m pgproto3.DataRow
			_ = m.Decode(f.Body())
			var row []string
			for _, v := range m.Values {
				row = append(row, string(v))
			}
			rows = append(rows, row)
		case pgwire.CommandComplete:
			tag = strings.TrimSuffix(string(f.Body()), "\x00")
		case pgwire.ErrorResponse:
			err = &pgconn.PgError{Code: errorField(f, 'C')}
		case pgwire.ReadyForQuery:
			return rows, tag, err
		}
	}
}

func (c *fakeConn) emit(typ byte, body string) { c.out <- pgwire.Append(nil, typ, []byte(body)) }

func (c *fakeConn) ready(failed bool) {
	switch {
	case !c.block:
		c.emit(pgwire.ReadyForQuery, "I")
	case failed:
		c.emit(pgwire.ReadyForQuery, "E")
	default:
		c.emit(pgwire.ReadyForQuery, "T")
	}
}

func (c *fakeConn) fail(code string) {
	c.out <- encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "failed"})
	c.ready(true)
}

func (c *fakeConn) done(tag string, pos position.Position) {
	if !pos.IsZero() {
		c.out <- pgwire.AppendParameterStatus(nil, pgwire.ParameterPosition, pos.String())
	}
	c.emit(pgwire.CommandComplete, tag+"\x00")
	c.ready(false)
}

func (c *fakeConn) row(values ...string) {
	var m pgproto3.DataRow
	for _, v := range values {
		m.Values = append(m.Values, []byte(v))
	}
	c.out <- encode(&m)
}

var keyPattern = regexp.MustCompile(`'([^']*)'`)

// run executes one statement. A hook may say "lose" (closed without running), "lose answer" (runs,
// then closed) or "hang" (runs, no answer). The caller holds the group's mutex.
func (c *fakeConn) run(sql string) {
	what := ""
	if c.f.hook != nil {
		what = c.f.hook(sql)
	}
	if what == "lose" {
		c.kill()
		return
	}
	if what != "" {
		c.out = make(chan []byte, 4096)
		defer func() {
			if c.out = c.frames; what == "lose answer" {
				c.kill()
			}
		}()
	}
	c.f.statement = append(c.f.statement, sql)
	writes := !strings.HasPrefix(sql, "SELECT") && sql != "BEGIN" && sql != "ROLLBACK"
	switch {
	case writes && c.f.role != routing.RolePrimary:
		c.fail(codeReadOnly)
	case sql == "BEGIN":
		c.block, c.wrote = true, false
		c.done("BEGIN", position.Position{})
	case sql == "COMMIT" || sql == "ROLLBACK":
		c.block = false
		pos := position.Position{}
		if sql == "COMMIT" && c.wrote {
			pos = c.f.commit()
		}
		if sql == "ROLLBACK" {
			delete(c.f.keys, c.key)
		}
		c.key = ""
		c.done(sql, pos)
	case strings.HasPrefix(sql, "COPY"):
		c.emit(pgwire.CopyInResponse, "\x00\x00\x00")
	case strings.HasPrefix(sql, "SELECT digest"):
		if v, ok := c.f.keys[keyPattern.FindStringSubmatch(sql)[1]]; ok {
			c.row(v[0], v[1])
		}
		c.done("SELECT", position.Position{})
	case strings.HasPrefix(sql, "INSERT INTO citron_request"):
		m := keyPattern.FindAllStringSubmatch(sql, 4)
		if _, ok := c.f.keys[m[0][1]]; ok {
			c.fail(codeUniqueViolation)
			return
		}
		c.key = m[0][1]
		c.f.keys[c.key] = [2]string{m[2][1], m[3][1]}
		c.done("INSERT 0 1", position.Position{})
	case strings.HasPrefix(sql, "UPDATE citron_request"):
		m := keyPattern.FindAllStringSubmatch(sql, 2)
		c.f.keys[m[1][1]] = [2]string{c.f.keys[m[1][1]][0], m[0][1]}
		c.done("UPDATE 1", position.Position{})
	case strings.HasPrefix(sql, "SELECT"):
		var n int
		_, _ = fmt.Sscanf(sql, "SELECT %d", &n)
		for i := range n {
			c.row(fmt.Sprint(i))
		}
		c.done(fmt.Sprintf("SELECT %d", n), position.Position{})
	case c.block:
		c.wrote = true
		c.done("INSERT 0 1", position.Position{})
	default:
		c.done("INSERT 0 1", c.f.commit())
	}
}

type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

func encode(m encoder) []byte {
	out, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return out
}
