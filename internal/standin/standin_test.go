package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/groupctl"
	"github.com/citronrun/citronrun/internal/position"
)

const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t *testing.T, cfg Config) *Server {
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func startGroup(t *testing.T) *Group {
	g, err := StartGroup(GroupConfig{Targets: 3, Config: Config{Target: "db"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	ctx := testContext(t)
	c, err := pgx.Connect(ctx, "postgres://app:secret@"+s.Addr()+"/citron?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func dialControl(t *testing.T, s *Server) *groupctl.Client {
	c, err := groupctl.Dial(testContext(t), groupctl.Config{Addr: s.Addr(), User: "citron", Database: "citron"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// eventually polls a condition until it holds, and fails the test if it doesn't within testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); <-tick.C {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

// sqlState returns the SQLSTATE of an error, or the text of any other error.
func sqlState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return fmt.Sprint(err)
}

func countRows(t *testing.T, c *pgx.Conn, table string) (n int) {
	t.Helper()
	if err := c.QueryRow(testContext(t), "SELECT count(*) FROM "+table).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against responses that an unmodified driver can't decode, in each of its query modes.
func TestStatementsThroughDriver(t *testing.T) {
	s := startServer(t, Config{Password: "secret", Audit: true})
	c := connect(t, s)
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			ctx := testContext(t)
			tag, err := c.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ($1, $2, 'new')", mode, "b1", "it's")
			is.NoErr(err)
			is.Equal(tag.String(), "INSERT 0 1")
			_, err = c.Exec(ctx, "INSERT INTO booking VALUES ($1, $2, $3)", mode, "b1", "x", "y")
			is.Equal(sqlState(err), "23505")
			tag, err = c.Exec(ctx, "INSERT INTO booking VALUES ($1, 'x', 'y') ON CONFLICT DO NOTHING", mode, "b1")
			is.NoErr(err)
			is.Equal(tag.RowsAffected(), int64(0))
			var visitor, status string
			err = c.QueryRow(ctx, "UPDATE booking SET status = $1 WHERE id = $2 RETURNING visitor, status", mode, "done", "b1").Scan(&visitor, &status)
			is.NoErr(err)
			is.Equal(visitor+status, "it'sdone")
			var n int64
			is.NoErr(c.QueryRow(ctx, "SELECT $1::int8", mode, int64(-7)).Scan(&n))
			is.Equal(n, int64(-7))
			tag, err = c.Exec(ctx, "DELETE FROM booking WHERE id = $1", mode, "b1")
			is.NoErr(err)
			is.Equal(tag.String(), "DELETE 1")
		})
	}
	is := is.New(t)
	is.Equal(s.Audit()[0].Params["user"], "app")
}

// Guards against SQLSTATEs that differ from PostgreSQL's, and against a failed transaction block that runs
// or commits further statements.
func TestErrorsAndTransactions(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	s := startServer(t, Config{})
	c, other := connect(t, s), connect(t, s)
	for sql, want := range map[string]string{
		"SELECT * FROM absent":           "42P01",
		"SELEC 1":                        "42601",
		"LISTEN x":                       "0A000",
		"SET role = 'x'":                 "0A000",
		"SELECT nope FROM booking":       "42703",
		"SELECT nope()":                  "42883",
		"INSERT INTO booking VALUES (1,": "42601",
	} {
		_, err := c.Exec(ctx, sql)
		is.Equal(sql+": "+sqlState(err), sql+": "+want)
	}
	_, err := c.Exec(ctx, "BEGIN; INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.NoErr(err)
	is.Equal(countRows(t, other, "booking"), 0) // not visible before the commit
	is.Equal(countRows(t, c, "booking"), 1)
	_, err = c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.Equal(sqlState(err), "23505")
	_, err = c.Exec(ctx, "SELECT 1")
	is.Equal(sqlState(err), "25P02")
	tag, err := c.Exec(ctx, "COMMIT")
	is.NoErr(err)
	is.Equal(tag.String(), "ROLLBACK")
	is.Equal(countRows(t, other, "booking"), 0)
	_, err = c.Exec(ctx, "START TRANSACTION READ ONLY; DELETE FROM booking")
	is.Equal(sqlState(err), "25006")
}

// Guards against rows that are lost in COPY or in results larger than the flush size.
func TestCopyAndLargeResults(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := connect(t, startServer(t, Config{}))
	var in strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&in, "r%04d\tstall\\t%d\t\\N\n", i, i)
	}
	tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader(in.String()), "COPY repair FROM STDIN")
	is.NoErr(err)
	is.Equal(tag.String(), "COPY 5000")
	var out bytes.Buffer
	_, err = c.PgConn().CopyTo(ctx, &out, "COPY repair TO STDOUT")
	is.NoErr(err)
	is.Equal(out.String(), in.String())
	_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("x\n"), "COPY repair FROM STDIN")
	is.Equal(sqlState(err), "22P04")
	rows, err := c.Query(ctx, "SELECT generate_series(1, 100000)")
	is.NoErr(err)
	sum := 0
	for rows.Next() {
		var n int
		is.NoErr(rows.Scan(&n))
		sum += n
	}
	is.NoErr(rows.Err())
	is.Equal(sum, 100000*100001/2)
}

// Guards against a cancel request that cancels another connection's statement, or a later statement of its
// own connection.
func TestCancelAffectsOneStatement(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	s := startServer(t, Config{})
	c, other := connect(t, s), connect(t, s)
	errs := make(chan error, 2)
	go func() { _, err := c.Exec(ctx, "SELECT pg_sleep(60)"); errs <- err }()
	go func() { _, err := other.Exec(ctx, "SELECT pg_sleep(0.3)"); errs <- err }()
	eventually(t, "both statements run", func() bool { return s.Executed() == 2 })
	is.NoErr(c.PgConn().CancelRequest(ctx))
	is.Equal(sqlState(<-errs), "57014")
	is.NoErr(<-errs)
	_, err := c.Exec(ctx, "SELECT 1")
	is.NoErr(err)
}

// Guards against replicas that accept writes, or return rows that are received but not yet applied.
func TestReplicaLag(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t)
	primary, replica := connect(t, g.Servers[0]), connect(t, g.Servers[1])
	_, err := replica.Exec(ctx, "DELETE FROM booking")
	is.Equal(sqlState(err), "25006")
	g.Servers[1].SetLag(0, time.Hour)
	_, err = primary.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.NoErr(err)
	pos, err := position.Parse(primary.PgConn().ParameterStatus("group_position"))
	is.NoErr(err)
	ctl := dialControl(t, g.Servers[1])
	eventually(t, "the entry is received", func() bool {
		st, err := ctl.Status(ctx)
		return err == nil && st.Received == pos && !st.Applied.Covers(pos)
	})
	is.Equal(countRows(t, replica, "booking"), 0)
	g.Servers[1].SetLag(0, 0)
	eventually(t, "the entry is applied", func() bool { return countRows(t, replica, "booking") == 1 })
}

// Guards against a former primary that rejoins and serves rows that the new primary lacks, because they
// were committed but not replicated before the promotion.
func TestPromotionWithDivergedLog(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t)
	old, next, third := g.Servers[0], g.Servers[1], g.Servers[2]
	c := connect(t, old)
	g.CutReplication(old, next, true)
	_, err := c.Exec(ctx, "INSERT INTO booking VALUES ('lost', 'b', 'c')")
	is.NoErr(err)
	is.NoErr(dialControl(t, next).Promote(ctx, 2))
	is.NoErr(dialControl(t, next).Promote(ctx, 2)) // a retry after a lost response
	is.Equal(g.Primary(), next)
	is.True(dialControl(t, next).Promote(ctx, 1) != nil)
	is.True(dialControl(t, next).Follow(ctx, 1, old.Addr()) != nil)
	is.True(dialControl(t, third).Promote(ctx, 1) != nil)

	is.NoErr(dialControl(t, old).Follow(ctx, 2, next.Addr()))
	eventually(t, "the former primary detects that its log has diverged", func() bool { return old.Role() == "diverged" })
	_, err = c.Exec(ctx, "SELECT * FROM booking")
	is.Equal(sqlState(err), "57P03")
	is.NoErr(old.Rebuild())
	_, err = connect(t, next).Exec(ctx, "INSERT INTO booking VALUES ('kept', 'b', 'c')")
	is.NoErr(err)
	eventually(t, "the rebuilt database replicates", func() bool { return countRows(t, c, "booking") == 1 })
}

// Guards against injected faults that lose a commit, send a response that must be dropped, or outlast
// Restart or Resume.
func TestFaultControls(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	s := startServer(t, Config{})
	s.CloseAfterCommit(1)
	_, err := connect(t, s).Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.True(err != nil && !errors.As(err, new(*pgconn.PgError)))
	c := connect(t, s)
	is.Equal(countRows(t, c, "booking"), 1)
	s.CloseMidResult(10)
	rows, err := c.Query(ctx, "SELECT generate_series(1, 100)")
	is.NoErr(err)
	n := 0
	for rows.Next() {
		n++
	}
	is.True(rows.Err() != nil)
	is.Equal(n, 10)
	s.Kill()
	is.NoErr(s.Restart())
	is.Equal(countRows(t, connect(t, s), "booking"), 1)
	s.Pause()
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = pgx.Connect(short, "postgres://app@"+s.Addr()+"/citron?sslmode=disable")
	is.True(err != nil)
	s.Resume()
	is.Equal(countRows(t, connect(t, s), "booking"), 1)
}

// Guards against two transactions that both insert the same row, and against more connections than
// MaxConns.
func TestConflictsAndLimits(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	s := startServer(t, Config{Slots: 1, MaxConns: 2, LockTimeout: 50 * time.Millisecond})
	a, b := connect(t, s), connect(t, s)
	_, err := pgx.Connect(ctx, "postgres://app@"+s.Addr()+"/citron?sslmode=disable")
	is.Equal(sqlState(err), "53300")
	_, err = dialControl(t, s).Status(ctx) // control connections don't count
	is.NoErr(err)
	_, err = a.Exec(ctx, "BEGIN; INSERT INTO booking VALUES ('x', 'a', 'c')")
	is.NoErr(err)
	_, err = b.Exec(ctx, "INSERT INTO booking VALUES ('x', 'b', 'c')")
	is.Equal(sqlState(err), "40001")
	_, err = a.Exec(ctx, "COMMIT")
	is.NoErr(err)
	_, err = b.Exec(ctx, "INSERT INTO booking VALUES ('x', 'b', 'c')")
	is.Equal(sqlState(err), "23505")
}
