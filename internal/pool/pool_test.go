package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/standin"
	"github.com/citronrun/citronrun/internal/verdict"
)

const testTimeout = 20 * time.Second

func setup(t *testing.T, target standin.Config, cfg Config) (*standin.Server, *Pool, context.Context) {
	t.Helper()
	target.Audit = true
	s, err := standin.Start(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	cfg.Target, cfg.Addr, cfg.User, cfg.Password, cfg.Database = "db1", s.Addr(), "citron", "pw", "citron"
	p := New(cfg, log.NewNopLogger())
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return s, p, ctx
}

func get(t *testing.T, p *Pool, ctx context.Context) *Conn {
	t.Helper()
	c, err := p.Get(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); <-tick.C {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func send(t *testing.T, c *Conn, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	if err := c.Send(encode(t, messages...)); err != nil {
		t.Fatal(err)
	}
}

// read returns the types of the next responses up to one of the given type, without statuses.
func read(t *testing.T, c *Conn, last byte) string {
	t.Helper()
	var types strings.Builder
	for {
		f, err := c.Next()
		if err != nil {
			t.Fatalf("after %q: %v", types.String(), err)
		}
		if f.Type() != pgwire.ParameterStatus {
			types.WriteByte(f.Type())
		}
		if f.Type() == last {
			return types.String()
		}
	}
}

// useOf returns the messages of one prepared statement's use.
func useOf(name, sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: name, Query: sql}, &pgproto3.Bind{PreparedStatement: name},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	}
}

// parses counts the Parse messages with the given SQL that reached the target.
func parses(s *standin.Server, sql string) (n int) {
	for _, e := range s.Audit() {
		if e.SQL == sql && e.Args == nil {
			n++
		}
	}
	return n
}

// Guards against more connections than the target allows, and against waiters that are forgotten.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{MaxConns: 3}, Config{MaxConns: 3})
	var inUse, most atomic.Int64
	var wg sync.WaitGroup
	errs := make(chan error, 400)
	for range 20 {
		wg.Go(func() {
			for range 20 {
				c, err := p.Get(ctx)
				if err != nil {
					errs <- err
					continue
				}
				n := inUse.Add(1)
				for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
				}
				_, _, err = c.Exec(ctx, "SELECT 1")
				errs <- err
				inUse.Add(-1)
				p.Put(c)
			}
		})
	}
	wg.Wait()
	for range 400 {
		is.NoErr(<-errs)
	}
	is.True(most.Load() <= 3)
	is.Equal(p.Stats().Failures, uint64(0)) // the target never refused a connection
	is.Equal(s.Executed(), uint64(400))

	held := []*Conn{get(t, p, ctx), get(t, p, ctx), get(t, p, ctx)}
	short, cancel := context.WithCancel(ctx)
	cancel()
	_, err := p.Get(short)
	is.Equal(verdict.Of(err), verdict.NotRun)
	_, ok := p.TryGet()
	is.True(!ok)
	for _, c := range held {
		p.Put(c)
	}
	is.Equal(p.Stats().Waiting, 0)
}

// Guards against a Parse that is repeated for each session, and against a wrong order of answers.
func TestStatementReuse(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	for range 3 {
		c := get(t, p, ctx)
		send(t, c, useOf("s1", "SELECT 11")...)
		is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
		p.Put(c)
	}
	is.Equal(parses(s, "SELECT 11"), 1)
	c := get(t, p, ctx)
	send(t, c, &pgproto3.Parse{Name: "s1", Query: "SELECT 11"}, &pgproto3.Flush{})
	is.Equal(read(t, c, pgwire.ParseComplete), "1") // nothing else makes the target answer
	send(t, c, &pgproto3.Parse{Name: "s2", Query: "SELECT 12"}, &pgproto3.Parse{Name: "s1", Query: "SELECT 11"},
		&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{})
	is.Equal(read(t, c, pgwire.ReadyForQuery), "11tTZ")
	p.Put(c)
	is.Equal(p.Stats().Connects, uint64(1))
}

// Guards against a statement that is thought to exist although its Parse was skipped, and against
// requests counted as pending that the target skips.
func TestStatementsAfterError(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := get(t, p, ctx)
	send(t, c, append([]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELEC"}}, useOf("s1", "SELECT 1")...)...)
	is.Equal(read(t, c, pgwire.ReadyForQuery), "EZ")
	send(t, c, useOf("s1", "SELECT 1")...)
	is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
	send(t, c, &pgproto3.Parse{Query: "SELEC"}, &pgproto3.Flush{})
	is.Equal(read(t, c, pgwire.ErrorResponse), "E")
	send(t, c, useOf("s1", "SELECT 1")...) // sent after the error was read
	is.Equal(read(t, c, pgwire.ReadyForQuery), "Z")
	is.True(!c.Pending())
	// The first Parse succeeds and is closed, the second one is skipped.
	send(t, c, &pgproto3.Parse{Name: "s2", Query: "SELECT 2"}, &pgproto3.Close{ObjectType: 'S', Name: "s2"},
		&pgproto3.Parse{Query: "SELEC"}, &pgproto3.Parse{Name: "s2", Query: "SELECT 2"}, &pgproto3.Sync{})
	is.Equal(read(t, c, pgwire.ReadyForQuery), "13EZ")
	send(t, c, useOf("s2", "SELECT 2")...)
	is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
	p.Put(c)
	is.Equal(p.Stats().Idle, 1)
}

// Guards against statements that pile up at the target, and against the loss of one that was evicted.
func TestStatementEviction(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	for i := range maxStatements + 2 {
		c := get(t, p, ctx)
		send(t, c, useOf(fmt.Sprintf("s%d", i), fmt.Sprintf("SELECT %d", i))...)
		is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
		is.True(len(c.statements.byName) <= maxStatements)
		p.Put(c)
	}
	c := get(t, p, ctx)
	send(t, c, useOf("s0", "SELECT 0")...)
	is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
	send(t, c, useOf("s257", "SELECT 257")...)
	is.Equal(read(t, c, pgwire.ReadyForQuery), "12DCZ")
	is.Equal(parses(s, "SELECT 0"), 2)
	is.Equal(parses(s, "SELECT 257"), 1)
}

// Guards against rows of one transaction that reach the next one.
func TestNoReuseInDoubt(t *testing.T) {
	leave := map[string]func(c *Conn){
		"unread answer": func(c *Conn) { send(t, c, &pgproto3.Query{String: "SELECT 1"}) },
		"half read": func(c *Conn) {
			send(t, c, &pgproto3.Query{String: "SELECT 1"})
			read(t, c, pgwire.DataRow)
		},
		"no sync": func(c *Conn) {
			send(t, c, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Flush{})
			read(t, c, pgwire.ParseComplete)
		},
		"open block": func(c *Conn) {
			send(t, c, &pgproto3.Query{String: "BEGIN"})
			read(t, c, pgwire.ReadyForQuery)
		},
		"discarded": func(c *Conn) { c.Discard() },
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
			c := get(t, p, ctx)
			f(c)
			p.Put(c)
			is.Equal(p.Stats().Idle, 0)
			next := get(t, p, ctx)
			is.True(next != c)
			rows, tag, err := next.Exec(ctx, "SELECT 2")
			is.NoErr(err)
			is.Equal(rows, [][]string{{"2"}})
			is.Equal(tag, "SELECT 1")
		})
	}
}

// Guards against a cancel that ends the statement of another connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 2})
	a, b := get(t, p, ctx), get(t, p, ctx)
	send(t, a, &pgproto3.Query{String: "SELECT pg_sleep(60)"})
	send(t, b, &pgproto3.Query{String: "SELECT pg_sleep(0.2)"})
	eventually(t, "both statements run", func() bool { return s.Executed() == 2 })
	is.NoErr(a.Cancel(ctx))
	is.Equal(read(t, a, pgwire.ReadyForQuery), "EZ")
	is.Equal(read(t, b, pgwire.ReadyForQuery), "TDCZ")
	p.Put(a)
	p.Put(b)
	is.Equal(p.Stats().Idle, 2)
}

// Guards against connects on the hot path, and against the use of a connection that the target
// closed while it was idle.
func TestWarmConnections(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{Password: "pw", ConnectTime: 12 * time.Millisecond}, Config{MaxConns: 4, MinIdle: 2})
	eventually(t, "warm connections", func() bool { return p.Stats().Idle == 2 })
	c, ok := p.TryGet()
	is.True(ok)
	eventually(t, "a new warm connection", func() bool { return p.Stats().Idle == 2 })
	p.Put(c)
	s.Kill()
	eventually(t, "the target closed its connections", func() bool { return s.Connections() == 0 })
	_, err := p.Get(ctx)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
	is.NoErr(s.Restart())
	eventually(t, "warm connections after the restart", func() bool { return p.Stats().Idle >= 2 })
	_, _, err = get(t, p, ctx).Exec(ctx, "SELECT 1")
	is.NoErr(err)
}

// Guards against errors without their SQLSTATE, and a position that isn't taken over.
func TestExec(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := get(t, p, ctx)
	before := c.Position()
	_, tag, err := c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', NULL)")
	is.NoErr(err)
	is.Equal(tag, "INSERT 0 1")
	is.Equal(c.Position().Offset, before.Offset+1)
	_, _, err = c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	var pgErr *pgconn.PgError
	is.True(errors.As(err, &pgErr))
	is.Equal(pgErr.Code, "23505")
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, _, err = c.Exec(short, "SELECT pg_sleep(60)")
	is.True(err != nil)
	p.Put(c)
	is.Equal(p.Stats().Idle, 0)
}

// Guards against a connection that stays pending after an extended COPY, whose first Sync the target
// ignores.
func TestExtendedCopy(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := get(t, p, ctx)
	send(t, c, useOf("", "COPY booking FROM STDIN")...)
	is.Equal(read(t, c, pgwire.CopyInResponse), "12G")
	send(t, c, &pgproto3.CopyData{Data: []byte("a\tb\tc\n")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
	is.Equal(read(t, c, pgwire.ReadyForQuery), "CZ")
	is.True(!c.Pending())
}

// Guards against an allocation for each relayed row.
func TestNextDoesNotAllocate(t *testing.T) {
	const rows = 1000
	row := pgwire.Append(nil, pgwire.DataRow, make([]byte, 100))
	stream := bytes.NewReader(bytes.Repeat(row, rows))
	c := &Conn{reader: pgwire.NewReader(stream, pgwire.MaxFrameBytes)}
	c.tracker.Push(pgwire.Query, pgwire.Relay, "")
	per := testing.AllocsPerRun(10, func() {
		_, _ = stream.Seek(0, io.SeekStart)
		for range rows {
			if _, err := c.Next(); err != nil {
				t.Fatal(err)
			}
		}
	})
	if per > 0 {
		t.Fatalf("%v allocations for %d rows", per, rows)
	}
}
