package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/verdict"
)

var bg = context.Background()

// code returns the SQLSTATE and the verdict's text of a driver's error.
func code(err error) (sqlstate, detail string) {
	e, ok := errors.AsType[*pgconn.PgError](err)
	if !ok {
		return "", ""
	}
	return e.Code, e.Detail
}

// Guards against wrong results of simple and extended queries through an unmodified driver.
func TestQueries(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	var s string
	fx.NoErr(conn.QueryRow(bg, "select hello").Scan(&s))
	fx.Equal(s, "hello")
	fx.True(fx.owner.lastRequest().ReadOnly)
	_, err := conn.Exec(bg, "insert x")
	fx.NoErr(err)
	fx.True(!fx.owner.lastRequest().ReadOnly)
	fx.Equal(conn.PgConn().ParameterStatus("citron.token"), "awnings:1/1")
	for range 3 { // the second and third use a statement that an earlier transaction parsed
		fx.NoErr(conn.QueryRow(bg, "select with $1", "arg").Scan(&s))
		fx.Equal(s, "with $1")
	}
	fx.Equal(fx.owner.lastRequest().Floor.Offset, uint64(1))
	fx.True(fx.owner.lastRequest().HasFloor)
}

// Guards against a team's second key that doesn't work, and wrong keys that do.
func TestKeysAtConnect(t *testing.T) {
	fx := start(t, nil)
	for _, key := range []string{fx.key, fx.key2} {
		conn, err := pgx.Connect(bg, fx.url(key, ""))
		fx.NoErr(err)
		fx.NoErr(conn.Close(bg))
	}
	_, err := pgx.Connect(bg, fx.url("wrong", ""))
	c, detail := code(err)
	fx.Equal(c, "28P01")
	fx.Equal(detail, "verdict: NotRun")
	_, err = pgx.Connect(bg, strings.Replace(fx.url(fx.key, ""), "red", "nobody", 1))
	c, _ = code(err)
	fx.Equal(c, "28P01")
}

// Guards against withdrawn keys that keep working in sessions and open transactions.
func TestKeyWithdrawnDuringTransaction(t *testing.T) {
	fx := start(t, nil)
	fx.owner.ended = make(chan string, 10)
	conn := fx.connect()
	_, err := conn.Exec(bg, "begin")
	fx.NoErr(err)
	fx.owner.withdraw("one")
	_, err = conn.Exec(bg, "insert x")
	c, detail := code(err)
	fx.Equal(c, "28000")
	fx.Equal(detail, "verdict: NotRun")
	fx.Equal(<-fx.owner.ended, "rollback")
	fx.Equal(fx.owner.writes.Load(), int64(0))
	_, err = conn.Exec(bg, "insert x")
	fx.True(err != nil) // closed
}

// Guards against retries of requests that may have run, and missing retries of those that did not.
func TestRetriesOnlyNotRun(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	notRun := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	fx.owner.refuse = []error{notRun, notRun}
	_, err := conn.Exec(bg, "insert x")
	fx.NoErr(err)
	fx.Equal(fx.owner.writes.Load(), int64(1))
	fx.Equal(len(fx.owner.requests), 3)

	fx.owner.refuse = []error{errors.New("lost")}
	_, err = conn.Exec(bg, "insert x")
	c, detail := code(err)
	fx.Equal(c, "08007")
	fx.Equal(detail, "verdict: MayHaveRun")
	fx.Equal(len(fx.owner.requests), 4)
	_, err = conn.Exec(bg, "insert x") // the session goes on
	fx.NoErr(err)
}

// Guards against callers that are forgotten while they wait for a change of owner.
func TestOwnerChangeServesAllWaiters(t *testing.T) {
	fx := start(t, nil)
	const callers = 50
	noOwner := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	for range callers + 10 { // the first attempts, then ten probes
		fx.owner.refuse = append(fx.owner.refuse, noOwner)
	}
	var wg sync.WaitGroup
	for range callers {
		conn := fx.connect()
		wg.Go(func() {
			_, err := conn.Exec(bg, "insert x")
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	fx.Equal(fx.owner.writes.Load(), int64(callers))
	fx.Equal(len(fx.owner.requests), 2*callers+10)
	fx.Equal(len(fx.srv.outages.byService), 0)
}

// Guards against a change of owner that uses up the retry budget: while one caller probes, the others
// must not send retries of their own.
func TestOutageHasOneProbe(t *testing.T) {
	is := is.New(t)
	o := newOutages()
	wait := func(ctx context.Context) func(bool) { return o.wait(ctx, "s", 0, verdict.CodeUnavailable) }
	ended, stop := context.WithCancel(bg)
	stop()
	first := wait(bg)
	is.True(wait(ended) == nil) // the probe is taken
	first(false)
	second := wait(bg)
	is.True(second != nil)
	is.True(wait(ended) == nil)
	released := make(chan func(bool))
	go func() { released <- wait(bg) }()
	second(true)
	(<-released)(true)
	is.Equal(len(o.byService), 0)
}
