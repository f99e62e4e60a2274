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

var errConnLost = errors.New("connection lost")

// fakeGroup is an in-memory group of a primary and its replicas. A commit is replicated at once to all replicas
// of its term that neither lag nor are down.
type fakeGroup struct {
	mu      sync.Mutex
	targets map[string]*fakeTarget
}

type fakeTarget struct {
	group      *fakeGroup
	name       string
	role       string
	term       uint64
	received   position.Position
	applied    position.Position
	lagging    bool
	down       bool
	dials      int
	statements []string                // statements that ran
	keys       map[string][2]string    // rows of citron_request by id: digest and result
	fault      func(sql string) string // returns the fault to inject for a statement, or ""; see fakeConn.run
	cancels    int                     // cancel requests received
	puts       int                     // connections returned to the pool in a reusable state
	conns      []*fakeConn
}

func (f *fakeTarget) commit() position.Position {
	f.received = position.Position{Term: f.term, Offset: f.received.Offset + 1}
	f.applied = f.received
	for _, r := range f.group.targets {
		if r.role == routing.RoleReplica && r.term == f.term && !r.lagging && !r.down {
			r.received, r.applied = f.received, f.received
		}
	}
	return f.received
}

// fakeControl is a ControlConn of a fakeTarget.
type fakeControl struct{ target *fakeTarget }

func (c fakeControl) Status(ctx context.Context) (Status, error) {
	c.target.group.mu.Lock()
	down := c.target.down
	s := Status{Role: c.target.role, Term: c.target.term, Received: c.target.received, Applied: c.target.applied}
	c.target.group.mu.Unlock()
	if down {
		<-ctx.Done() // a target that is down doesn't answer, it doesn't refuse connections
		return Status{}, ctx.Err()
	}
	return s, nil
}

func (c fakeControl) Promote(_ context.Context, term uint64) error {
	c.target.group.mu.Lock()
	defer c.target.group.mu.Unlock()
	if c.target.down {
		return errConnLost
	}
	if term < c.target.term {
		return &pgconn.PgError{Code: "55000", Message: "term is lower"}
	}
	c.target.role, c.target.term = routing.RolePrimary, term
	return nil
}

func (c fakeControl) Follow(_ context.Context, term uint64, addr string) error {
	c.target.group.mu.Lock()
	defer c.target.group.mu.Unlock()
	p := c.target.group.targets[addr]
	if term < c.target.term || p == nil {
		return &pgconn.PgError{Code: "55000", Message: "term is lower"}
	}
	c.target.term, c.target.role = term, routing.RoleReplica
	if c.target.received.Offset > p.received.Offset {
		c.target.role = routing.RoleDiverged
		return nil
	}
	c.target.received, c.target.applied = p.received, p.received
	return nil
}

func (c fakeControl) Close() {}

func (g *fakeGroup) DialControl(_ context.Context, cfg TargetConfig) (ControlConn, error) {
	return fakeControl{g.targets[cfg.Target]}, nil
}

type fakePool struct {
	target *fakeTarget
	idle   []*fakeConn
}

func (g *fakeGroup) NewPool(cfg TargetConfig) Pool {
	return AdaptPool[*fakeConn](&fakePool{target: g.targets[cfg.Target]})
}

func (p *fakePool) Get(context.Context) (*fakeConn, error) {
	p.target.group.mu.Lock()
	defer p.target.group.mu.Unlock()
	if p.target.down {
		return nil, unavailable("target is down")
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	p.target.dials++
	c := &fakeConn{target: p.target, frames: make(chan []byte, 4096), closed: make(chan struct{}), status: 'I', position: p.target.applied}
	c.out = c.frames
	p.target.conns = append(p.target.conns, c)
	return c, nil
}

func (p *fakePool) Put(c *fakeConn) {
	p.target.group.mu.Lock()
	defer p.target.group.mu.Unlock()
	if c.discarded.Load() || c.Pending() || c.TxStatus() != 'I' {
		c.kill()
		return
	}
	p.target.puts++
	p.idle = append(p.idle, c)
}

func (p *fakePool) Close() {}

// fakeConn is a pooled connection to a fakeTarget. It executes a statement when it is sent and buffers
// the responses.
type fakeConn struct {
	target      *fakeTarget
	frames      chan []byte
	out         chan []byte // frames, or a channel that nobody reads; guarded by the group's mutex
	closed      chan struct{}
	once        sync.Once
	discarded   atomic.Bool
	inBlock     bool
	blockWrote  bool
	insertedKey string // citron_request id inserted by the open block

	mu       sync.Mutex
	status   byte
	position position.Position
	pending  int
}

func (c *fakeConn) kill()                            { c.once.Do(func() { close(c.closed) }) }
func (c *fakeConn) Discard()                         { c.discarded.Store(true) }
func (c *fakeConn) SetDeadline(time.Time) error      { c.kill(); return nil }
func (c *fakeConn) Cancel(ctx context.Context) error { return c.target.cancelled() }

func (f *fakeTarget) cancelled() error {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
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
	case <-c.closed:
		return errConnLost
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
			c.target.group.mu.Lock()
			c.run(sql)
			c.target.group.mu.Unlock()
		case pgwire.CopyDone:
			c.target.group.mu.Lock()
			c.complete("COPY 1", c.target.commit())
			c.target.group.mu.Unlock()
		}
	}
}

func (c *fakeConn) HasNext() bool { return len(c.frames) > 0 }

func (c *fakeConn) Next() (pgwire.Frame, error) {
	select {
	case <-c.closed:
		return nil, errConnLost
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
	case <-c.closed:
		c.Discard()
		return nil, errConnLost
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
	case !c.inBlock:
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

func (c *fakeConn) complete(tag string, pos position.Position) {
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

// run executes one statement. The target's fault function may inject a fault: "lose connection"
// closes the connection before the statement runs, "lose response" closes it after the statement has
// run and before its responses, "hang" runs the statement and never responds. The group's mutex must
// be held.
func (c *fakeConn) run(sql string) {
	injected := ""
	if c.target.fault != nil {
		injected = c.target.fault(sql)
	}
	if injected == "lose connection" {
		c.kill()
		return
	}
	if injected != "" {
		c.out = make(chan []byte, 4096)
		defer func() {
			if c.out = c.frames; injected == "lose response" {
				c.kill()
			}
		}()
	}
	c.target.statements = append(c.target.statements, sql)
	writes := !strings.HasPrefix(sql, "SELECT") && sql != "BEGIN" && sql != "ROLLBACK"
	switch {
	case writes && c.target.role != routing.RolePrimary:
		c.fail(sqlStateReadOnlyTransaction)
	case sql == "BEGIN":
		c.inBlock, c.blockWrote = true, false
		c.complete("BEGIN", position.Position{})
	case sql == "COMMIT" || sql == "ROLLBACK":
		c.inBlock = false
		pos := position.Position{}
		if sql == "COMMIT" && c.blockWrote {
			pos = c.target.commit()
		}
		if sql == "ROLLBACK" {
			delete(c.target.keys, c.insertedKey)
		}
		c.insertedKey = ""
		c.complete(sql, pos)
	case strings.HasPrefix(sql, "COPY"):
		c.emit(pgwire.CopyInResponse, "\x00\x00\x00")
	case strings.HasPrefix(sql, "SELECT digest"):
		if v, ok := c.target.keys[keyPattern.FindStringSubmatch(sql)[1]]; ok {
			c.row(v[0], v[1])
		}
		c.complete("SELECT", position.Position{})
	case strings.HasPrefix(sql, "INSERT INTO citron_request"):
		m := keyPattern.FindAllStringSubmatch(sql, 4)
		if _, ok := c.target.keys[m[0][1]]; ok {
			c.fail(sqlStateUniqueViolation)
			return
		}
		c.insertedKey = m[0][1]
		c.target.keys[c.insertedKey] = [2]string{m[2][1], m[3][1]}
		c.complete("INSERT 0 1", position.Position{})
	case strings.HasPrefix(sql, "UPDATE citron_request"):
		m := keyPattern.FindAllStringSubmatch(sql, 2)
		c.target.keys[m[1][1]] = [2]string{c.target.keys[m[1][1]][0], m[0][1]}
		c.complete("UPDATE 1", position.Position{})
	case strings.HasPrefix(sql, "SELECT"):
		var n int
		_, _ = fmt.Sscanf(sql, "SELECT %d", &n)
		for i := range n {
			c.row(fmt.Sprint(i))
		}
		c.complete(fmt.Sprintf("SELECT %d", n), position.Position{})
	case c.inBlock:
		c.blockWrote = true
		c.complete("INSERT 0 1", position.Position{})
	default:
		c.complete("INSERT 0 1", c.target.commit())
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
