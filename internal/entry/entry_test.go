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

var background = context.Background()

// errorCode returns the SQLSTATE and the detail, which holds the verdict, of a driver's error.
func errorCode(err error) (sqlstate, detail string) {
	e, ok := errors.AsType[*pgconn.PgError](err)
	if !ok {
		return "", ""
	}
	return e.Code, e.Detail
}

// Guards against wrong results of simple and extended queries through an unmodified driver.
func TestQueries(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	var s string
	fx.NoErr(conn.QueryRow(background, "select hello").Scan(&s))
	fx.Equal(s, "hello")
	fx.True(fx.cluster.lastRequest().ReadOnly)
	_, err := conn.Exec(background, "insert x")
	fx.NoErr(err)
	fx.True(!fx.cluster.lastRequest().ReadOnly)
	fx.Equal(conn.PgConn().ParameterStatus("citron.token"), "awnings:1/1")
	for range 3 { // from the second on, the driver uses a statement parsed in an earlier transaction
		fx.NoErr(conn.QueryRow(background, "select with $1", "arg").Scan(&s))
		fx.Equal(s, "with $1")
	}
	fx.Equal(fx.cluster.lastRequest().Floor.Offset, uint64(1))
	fx.True(fx.cluster.lastRequest().HasFloor)
}

// Guards against refusing a team's second key, and against accepting a wrong key or team.
func TestKeysAtConnect(t *testing.T) {
	fx := startEntry(t, nil)
	for _, key := range []string{fx.key1, fx.key2} {
		conn, err := pgx.Connect(background, fx.url(key, ""))
		fx.NoErr(err)
		fx.NoErr(conn.Close(background))
	}
	_, err := pgx.Connect(background, fx.url("wrong", ""))
	sqlstate, detail := errorCode(err)
	fx.Equal(sqlstate, "28P01")
	fx.Equal(detail, "verdict: NotRun")
	_, err = pgx.Connect(background, strings.Replace(fx.url(fx.key1, ""), "red", "nobody", 1))
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "28P01")
}

// Guards against withdrawn keys that keep working in sessions and open transactions.
func TestKeyWithdrawnDuringTransaction(t *testing.T) {
	fx := startEntry(t, nil)
	fx.cluster.outcomes = make(chan string, 10)
	conn := fx.connect()
	_, err := conn.Exec(background, "begin")
	fx.NoErr(err)
	fx.cluster.withdrawKey("one")
	_, err = conn.Exec(background, "insert x")
	sqlstate, detail := errorCode(err)
	fx.Equal(sqlstate, "28000")
	fx.Equal(detail, "verdict: NotRun")
	fx.Equal(<-fx.cluster.outcomes, "rollback")
	fx.Equal(fx.cluster.writes.Load(), int64(0))
	_, err = conn.Exec(background, "insert x")
	fx.True(err != nil) // the connection is closed
}

// Guards against retrying a request that may have run, and against not retrying one that did not run.
func TestOnlyNotRunIsRetried(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	notRun := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	fx.cluster.beginErrors = []error{notRun, notRun}
	_, err := conn.Exec(background, "insert x")
	fx.NoErr(err)
	fx.Equal(fx.cluster.writes.Load(), int64(1))
	fx.Equal(len(fx.cluster.requests), 3)

	fx.cluster.beginErrors = []error{errors.New("lost")}
	_, err = conn.Exec(background, "insert x")
	sqlstate, detail := errorCode(err)
	fx.Equal(sqlstate, "08007")
	fx.Equal(detail, "verdict: MayHaveRun")
	fx.Equal(len(fx.cluster.requests), 4)
	_, err = conn.Exec(background, "insert x") // the session is still usable
	fx.NoErr(err)
}

// Guards against callers that still wait after an outage has ended.
func TestOutageEndServesAllWaiters(t *testing.T) {
	fx := startEntry(t, nil)
	const callers = 50
	noOwner := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	for range callers + 10 { // all first attempts and ten probes are refused
		fx.cluster.beginErrors = append(fx.cluster.beginErrors, noOwner)
	}
	var wg sync.WaitGroup
	for range callers {
		conn := fx.connect()
		wg.Go(func() {
			_, err := conn.Exec(background, "insert x")
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	fx.Equal(fx.cluster.writes.Load(), int64(callers))
	fx.Equal(len(fx.cluster.requests), 2*callers+10)
	fx.Equal(len(fx.srv.outages.byService), 0)
}

// Guards against an outage that uses up the retry budget: while one caller retries (probes), the others
// must wait.
func TestOutageHasOneProbe(t *testing.T) {
	is := is.New(t)
	o := newOutages()
	wait := func(ctx context.Context) func(bool) { return o.wait(ctx, "s", 0, verdict.CodeUnavailable) }
	expired, stop := context.WithCancel(background)
	stop()
	first := wait(background)
	is.True(wait(expired) == nil) // another caller is probing
	first(false)
	second := wait(background)
	is.True(second != nil)
	is.True(wait(expired) == nil)
	released := make(chan func(bool))
	go func() { released <- wait(background) }()
	second(true)
	(<-released)(true)
	is.Equal(len(o.byService), 0)
}
