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

func setup(t *testing.T, targetCfg standin.Config, cfg Config) (*standin.Server, *Pool, context.Context) {
	t.Helper()
	targetCfg.Audit = true
	server, err := standin.Start(targetCfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	cfg.Target, cfg.Addr, cfg.User, cfg.Password, cfg.Database = "db1", server.Addr(), "citron", "pw", "citron"
	p := New(cfg, log.NewNopLogger())
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return server, p, ctx
}

func mustGet(t *testing.T, p *Pool, ctx context.Context) *Conn {
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); <-tick.C {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

func mustSend(t *testing.T, c *Conn, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	if err := c.Send(mustEncode(t, messages...)); err != nil {
		t.Fatal(err)
	}
}

// readUntil reads responses up to one of type last and returns their types, without ParameterStatus.
func readUntil(t *testing.T, c *Conn, last byte) string {
	t.Helper()
	var types strings.Builder
	for {
		f, err := c.Next()
		if err != nil {
			t.Fatalf("got response types %q, then error %v; want types up to %q", types.String(), err, last)
		}
		if f.Type() != pgwire.ParameterStatus {
			types.WriteByte(f.Type())
		}
		if f.Type() == last {
			return types.String()
		}
	}
}

// prepareAndExecute returns a batch that parses and executes a named statement.
func prepareAndExecute(name, sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: name, Query: sql}, &pgproto3.Bind{PreparedStatement: name},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	}
}

// countParses returns the number of Parse messages with the given SQL that reached the target.
func countParses(s *standin.Server, sql string) (n int) {
	for _, e := range s.Audit() {
		if e.SQL == sql && e.Args == nil {
			n++
		}
	}
	return n
}

// Guards against more connections than the target allows, and against waiters that never get one.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{MaxConns: 3}, Config{MaxConns: 3})
	var inUse, peak atomic.Int64
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
				for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
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
	is.True(peak.Load() <= 3)
	is.Equal(p.Stats().Failures, uint64(0)) // the target has not refused a connection
	is.Equal(s.Executed(), uint64(400))

	conns := []*Conn{mustGet(t, p, ctx), mustGet(t, p, ctx), mustGet(t, p, ctx)}
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	_, err := p.Get(canceled)
	is.Equal(verdict.Of(err), verdict.NotRun)
	_, ok := p.TryGet()
	is.True(!ok)
	for _, c := range conns {
		p.Put(c)
	}
	is.Equal(p.Stats().Waiting, 0)
}

// Guards against a Parse that is sent to the target again for each session, and against local responses in the
// wrong order.
func TestStatementReuse(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	for range 3 {
		c := mustGet(t, p, ctx)
		mustSend(t, c, prepareAndExecute("s1", "SELECT 11")...)
		is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
		p.Put(c)
	}
	is.Equal(countParses(s, "SELECT 11"), 1)
	c := mustGet(t, p, ctx)
	mustSend(t, c, &pgproto3.Parse{Name: "s1", Query: "SELECT 11"}, &pgproto3.Flush{})
	is.Equal(readUntil(t, c, pgwire.ParseComplete), "1") // the target itself has nothing to respond to
	mustSend(t, c, &pgproto3.Parse{Name: "s2", Query: "SELECT 12"}, &pgproto3.Parse{Name: "s1", Query: "SELECT 11"},
		&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{})
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "11tTZ")
	p.Put(c)
	is.Equal(p.Stats().Connects, uint64(1))
}

// Guards against a statement that counts as prepared although the target skipped its Parse, and against
// skipped requests that stay pending.
func TestStatementsAfterError(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := mustGet(t, p, ctx)
	mustSend(t, c, append([]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELEC"}}, prepareAndExecute("s1", "SELECT 1")...)...)
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "EZ")
	mustSend(t, c, prepareAndExecute("s1", "SELECT 1")...)
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
	mustSend(t, c, &pgproto3.Parse{Query: "SELEC"}, &pgproto3.Flush{})
	is.Equal(readUntil(t, c, pgwire.ErrorResponse), "E")
	mustSend(t, c, prepareAndExecute("s1", "SELECT 1")...) // sent after the error was read
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "Z")
	is.True(!c.Pending())
	// The first Parse succeeds and is closed, the second one is skipped.
	mustSend(t, c, &pgproto3.Parse{Name: "s2", Query: "SELECT 2"}, &pgproto3.Close{ObjectType: 'S', Name: "s2"},
		&pgproto3.Parse{Query: "SELEC"}, &pgproto3.Parse{Name: "s2", Query: "SELECT 2"}, &pgproto3.Sync{})
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "13EZ")
	mustSend(t, c, prepareAndExecute("s2", "SELECT 2")...)
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
	p.Put(c)
	is.Equal(p.Stats().Idle, 1)
}

// Guards against an unbounded number of prepared statements at the target, and against the use of an
// evicted one that is not prepared again.
func TestStatementEviction(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	for i := range maxPreparedStatements + 2 {
		c := mustGet(t, p, ctx)
		mustSend(t, c, prepareAndExecute(fmt.Sprintf("s%d", i), fmt.Sprintf("SELECT %d", i))...)
		is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
		is.True(len(c.statements.byName) <= maxPreparedStatements)
		p.Put(c)
	}
	c := mustGet(t, p, ctx)
	mustSend(t, c, prepareAndExecute("s0", "SELECT 0")...)
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
	mustSend(t, c, prepareAndExecute("s257", "SELECT 257")...)
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "12DCZ")
	is.Equal(countParses(s, "SELECT 0"), 2)
	is.Equal(countParses(s, "SELECT 257"), 1)
}

// Guards against the reuse of a connection that still has responses or state of the last transaction.
func TestNonReusableConnectionIsClosed(t *testing.T) {
	cases := map[string]func(c *Conn){
		"unread response": func(c *Conn) { mustSend(t, c, &pgproto3.Query{String: "SELECT 1"}) },
		"partly read response": func(c *Conn) {
			mustSend(t, c, &pgproto3.Query{String: "SELECT 1"})
			readUntil(t, c, pgwire.DataRow)
		},
		"batch without sync": func(c *Conn) {
			mustSend(t, c, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Flush{})
			readUntil(t, c, pgwire.ParseComplete)
		},
		"open block": func(c *Conn) {
			mustSend(t, c, &pgproto3.Query{String: "BEGIN"})
			readUntil(t, c, pgwire.ReadyForQuery)
		},
		"discarded": func(c *Conn) { c.Discard() },
	}
	for name, makeNonReusable := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
			c := mustGet(t, p, ctx)
			makeNonReusable(c)
			p.Put(c)
			is.Equal(p.Stats().Idle, 0)
			next := mustGet(t, p, ctx)
			is.True(next != c)
			rows, tag, err := next.Exec(ctx, "SELECT 2")
			is.NoErr(err)
			is.Equal(rows, [][]string{{"2"}})
			is.Equal(tag, "SELECT 1")
		})
	}
}

// Guards against a cancel request that ends the statement of another connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 2})
	a, b := mustGet(t, p, ctx), mustGet(t, p, ctx)
	mustSend(t, a, &pgproto3.Query{String: "SELECT pg_sleep(60)"})
	mustSend(t, b, &pgproto3.Query{String: "SELECT pg_sleep(0.2)"})
	eventually(t, "both statements are running", func() bool { return s.Executed() == 2 })
	is.NoErr(a.Cancel(ctx))
	is.Equal(readUntil(t, a, pgwire.ReadyForQuery), "EZ")
	is.Equal(readUntil(t, b, pgwire.ReadyForQuery), "TDCZ")
	p.Put(a)
	p.Put(b)
	is.Equal(p.Stats().Idle, 2)
}

// Guards against requests that wait for a connect although an idle minimum is configured, and against the
// use of a connection that the target closed while it was idle.
func TestMinIdleConnections(t *testing.T) {
	is := is.New(t)
	s, p, ctx := setup(t, standin.Config{Password: "pw", ConnectTime: 12 * time.Millisecond}, Config{MaxConns: 4, MinIdle: 2})
	eventually(t, "the minimum of idle connections is open", func() bool { return p.Stats().Idle == 2 })
	c, ok := p.TryGet()
	is.True(ok)
	eventually(t, "the connection in use is replaced by an idle one", func() bool { return p.Stats().Idle == 2 })
	p.Put(c)
	s.Kill()
	eventually(t, "the target has closed its connections", func() bool { return s.Connections() == 0 })
	_, err := p.Get(ctx)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
	is.NoErr(s.Restart())
	eventually(t, "the minimum of idle connections is open after the restart", func() bool { return p.Stats().Idle >= 2 })
	_, _, err = mustGet(t, p, ctx).Exec(ctx, "SELECT 1")
	is.NoErr(err)
}

// Guards against errors that lose their SQLSTATE, a reported position that is not recorded, and the reuse of
// a connection after a timeout.
func TestExec(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := mustGet(t, p, ctx)
	before := c.Position()
	_, tag, err := c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', NULL)")
	is.NoErr(err)
	is.Equal(tag, "INSERT 0 1")
	is.Equal(c.Position().Offset, before.Offset+1)
	_, _, err = c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	var pgErr *pgconn.PgError
	is.True(errors.As(err, &pgErr))
	is.Equal(pgErr.Code, "23505")
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, _, err = c.Exec(shortCtx, "SELECT pg_sleep(60)")
	is.True(err != nil)
	p.Put(c)
	is.Equal(p.Stats().Idle, 0)
}

// Guards against requests that stay pending after a COPY FROM STDIN in the extended protocol: the target
// ignores the first Sync.
func TestExtendedCopy(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	c := mustGet(t, p, ctx)
	mustSend(t, c, prepareAndExecute("", "COPY booking FROM STDIN")...)
	is.Equal(readUntil(t, c, pgwire.CopyInResponse), "12G")
	mustSend(t, c, &pgproto3.CopyData{Data: []byte("a\tb\tc\n")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
	is.Equal(readUntil(t, c, pgwire.ReadyForQuery), "CZ")
	is.True(!c.Pending())
}

// Guards against an allocation for every relayed row.
func TestNextDoesNotAllocate(t *testing.T) {
	const rows = 1000
	row := pgwire.Append(nil, pgwire.DataRow, make([]byte, 100))
	stream := bytes.NewReader(bytes.Repeat(row, rows))
	c := &Conn{reader: pgwire.NewReader(stream, pgwire.MaxFrameBytes)}
	c.tracker.Push(pgwire.Query, pgwire.Relay, "")
	allocs := testing.AllocsPerRun(10, func() {
		_, _ = stream.Seek(0, io.SeekStart)
		for range rows {
			if _, err := c.Next(); err != nil {
				t.Fatal(err)
			}
		}
	})
	if allocs > 0 {
		t.Fatalf("got %v allocations per %d rows, want 0", allocs, rows)
	}
}
