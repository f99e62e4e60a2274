package entry

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/pgwire"
)

// Guards against responses out of order when requests are pipelined and some get local responses.
func TestPipelining(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	b := &pgx.Batch{}
	for i := range 50 {
		b.Queue(fmt.Sprintf("select value%d $1", i%7), "x")
		b.Queue("show citron.read")
	}
	res := conn.SendBatch(background, b)
	for i := range 50 {
		var s string
		fx.NoErr(res.QueryRow().Scan(&s))
		fx.Equal(s, fmt.Sprintf("value%d $1", i%7))
		fx.NoErr(res.QueryRow().Scan(&s))
		fx.Equal(s, "default")
	}
	fx.NoErr(res.Close())

	p := conn.PgConn().StartPipeline(background)
	for i := range 5 { // five implicit transactions without waiting
		p.SendQueryParams(fmt.Sprintf("select p%d", i), nil, nil, nil, nil)
		fx.NoErr(p.Sync())
	}
	for i := range 5 {
		r, err := p.GetResults()
		fx.NoErr(err)
		rows := r.(*pgconn.ResultReader).Read()
		fx.NoErr(rows.Err)
		fx.Equal(string(rows.Rows[0][0]), fmt.Sprintf("p%d", i))
		_, err = p.GetResults() // the Sync
		fx.NoErr(err)
	}
	fx.NoErr(p.Close())
}

// Guards against a failed or refused statement that makes later statements fail.
func TestErrorsInExtendedProtocol(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	for range 2 {
		_, err := conn.Exec(background, "fail $1", "x")
		sqlstate, _ := errorCode(err)
		fx.Equal(sqlstate, "XX000")
		_, err = conn.Exec(background, "listen x")
		sqlstate, _ = errorCode(err)
		fx.Equal(sqlstate, "0A000")
		var s string
		fx.NoErr(conn.QueryRow(background, "select ok $1", "x").Scan(&s))
	}
	// The connection accepts a simple query afterwards. Its rows, which end with an error, are not read.
	_, err := conn.Query(background, "select failmid", pgx.QueryExecModeSimpleProtocol)
	fx.NoErr(err)
}

// Guards against a transaction that continues after one of its requests was refused.
func TestRateRefusalFailsTransaction(t *testing.T) {
	fx := startEntry(t, nil)
	fx.cluster.outcomes = make(chan string, 10)
	conn := fx.connect()
	tx, err := conn.Begin(background)
	fx.NoErr(err)
	_, err = tx.Exec(background, "insert a")
	fx.NoErr(err)
	fx.cluster.mu.Lock()
	fx.cluster.rateTokens = 0
	fx.cluster.mu.Unlock()
	_, err = tx.Exec(background, "insert b")
	sqlstate, detail := errorCode(err)
	fx.Equal(sqlstate, "53400")
	fx.Equal(detail, "verdict: NotRun")
	fx.Equal(<-fx.cluster.outcomes, "rollback")
	fx.Equal(conn.PgConn().TxStatus(), byte('E'))
	fx.True(tx.Commit(background) != nil) // ROLLBACK instead of COMMIT
	fx.Equal(conn.PgConn().TxStatus(), byte('I'))
	_, err = conn.Exec(background, "insert c")
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "53400")
	fx.Equal(fx.cluster.writes.Load(), int64(1))
}

// Guards against statements that run while the host's catalog, and so its list of keys, is outdated.
func TestUnconfirmedHostRefuses(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	fx.cluster.mu.Lock()
	fx.cluster.confirmedAge = 6 * time.Second
	fx.cluster.mu.Unlock()
	_, err := conn.Exec(background, "insert a")
	sqlstate, _ := errorCode(err)
	fx.Equal(sqlstate, "57P03")
	fx.Equal(len(fx.cluster.requests), 0)
}

// Guards against settings that don't reach the owner.
func TestSettings(t *testing.T) {
	fx := startEntry(t, nil)
	conn, err := pgx.Connect(background, fx.url(fx.key1, "&citron.token=awnings:3/4"))
	fx.NoErr(err)
	_, err = conn.Exec(background, "set citron.read = 'max_age=2s'; ")
	fx.NoErr(err)
	var s string
	fx.NoErr(conn.QueryRow(background, "show citron.read").Scan(&s))
	fx.Equal(s, "max_age=2s")
	fx.NoErr(conn.QueryRow(background, "select 1").Scan(&s))
	req := fx.cluster.lastRequest()
	fx.Equal(req.MaxAge, 2*time.Second)
	fx.Equal(req.Floor.Term, uint64(3))
	_, err = conn.Exec(background, "set timezone = 'Africa/Dakar'")
	sqlstate, _ := errorCode(err)
	fx.Equal(sqlstate, "0A000")
	fx.NoErr(conn.Close(background))
}

// Guards against copies that lose data, and against a copy that commits although its caller
// disconnected.
func TestCopy(t *testing.T) {
	fx := startEntry(t, nil)
	fx.cluster.outcomes = make(chan string, 10)
	conn := fx.connect()
	data := strings.Repeat("0123456789\n", 100000)
	_, err := conn.PgConn().CopyFrom(background, strings.NewReader(data), "copy t from stdin")
	fx.NoErr(err)
	fx.Equal(fx.cluster.copiedBytes.Load(), int64(len(data)))
	fx.Equal(<-fx.cluster.outcomes, "end")
	var out bytes.Buffer
	_, err = conn.PgConn().CopyTo(background, &out, "copy t to stdout")
	fx.NoErr(err)
	fx.Equal(out.Len(), 5000)
	fx.Equal(<-fx.cluster.outcomes, "end")

	r, w := io.Pipe()
	go func() {
		_, _ = w.Write([]byte("half a line"))
		_ = conn.PgConn().Conn().Close()
		_ = w.Close()
	}()
	_, err = conn.PgConn().CopyFrom(background, r, "copy t from stdin")
	fx.True(err != nil)
	fx.Equal(<-fx.cluster.outcomes, "rollback")
}

// Guards against lost streams that are reported as success, and against a connection that stays open
// after a truncated result.
func TestBrokenStream(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	_, err := conn.Exec(background, "break")
	sqlstate, detail := errorCode(err)
	fx.Equal(sqlstate, "08007")
	fx.Equal(detail, "verdict: MayHaveRun")
	_, err = conn.Exec(background, "break $1", "x")
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "08007")

	_, err = conn.Exec(background, "begin")
	fx.NoErr(err)
	_, err = conn.Exec(background, "break")
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "08007")
	_, err = conn.Exec(background, "insert x")
	sqlstate, detail = errorCode(err)
	fx.Equal(sqlstate, "25P02")
	fx.Equal(detail, "verdict: NotRun")
	_, err = conn.Exec(background, "rollback")
	fx.NoErr(err)
	fx.Equal(fx.cluster.writes.Load(), int64(0))

	_, err = conn.Exec(background, "select breakmid")
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "08007")
	fx.True(conn.IsClosed())
	fx.Equal(len(fx.cluster.requests), 5) // one per transaction and one to prepare; nothing was retried
}

// Guards against cancel requests that are lost, and against those that take effect with a wrong secret.
func TestCancel(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	execErr := make(chan error, 1)
	go func() {
		_, err := conn.Exec(background, "wait")
		execErr <- err
	}()
	<-fx.cluster.waitStarted
	fx.srv.cancel(conn.PgConn().PID(), 0)
	fx.cluster.mu.Lock()
	fx.Equal(len(fx.cluster.canceled), 0)
	fx.cluster.mu.Unlock()
	fx.NoErr(conn.PgConn().CancelRequest(background))
	fx.NoErr(<-execErr)
	fx.Equal(len(fx.cluster.canceled), 1)
	fx.Equal(fx.cluster.canceled[0].Seq, uint64(1))
}

// Guards against a caller that stops reading and so blocks others, makes the host buffer its result, or
// stays connected forever.
func TestStalledCaller(t *testing.T) {
	fx := startEntry(t, func(c *Config) { c.WriteTimeout = 200 * time.Millisecond })
	fx.cluster.outcomes = make(chan string, 10)
	stalled := fx.connect()
	res := stalled.PgConn().Exec(background, "select rows 100000000")
	fx.True(res.NextResult())
	other := fx.connect()
	var s string
	fx.NoErr(other.QueryRow(background, "select free", pgx.QueryExecModeSimpleProtocol).Scan(&s))
	fx.Equal(<-fx.cluster.outcomes, "end")
	<-fx.cluster.outcomes // of the stalled caller, after the write timeout
	rows := 0
	for res.ResultReader().NextRow() {
		rows++
	}
	fx.True(rows < 100000000)
	fx.True(res.Close() != nil)
}

// Guards against a shutdown that aborts a running transaction or leaves its outcome unknown.
func TestShutdownUnderLoad(t *testing.T) {
	fx := startEntry(t, nil)
	const callers = 20
	var committed, unexpectedErrs [callers]int
	var warmedUp, wg sync.WaitGroup
	warmedUp.Add(callers)
	for i := range callers {
		conn := fx.connect()
		wg.Go(func() {
			for count := 0; ; count++ {
				if count == 10 {
					warmedUp.Done()
				}
				tx, err := conn.Begin(background)
				if err != nil {
					sqlstate, _ := errorCode(err)
					if sqlstate != "57P01" {
						unexpectedErrs[i]++
					}
					return
				}
				_, err = tx.Exec(background, "insert x")
				if err == nil {
					err = tx.Commit(background)
				}
				if err != nil {
					unexpectedErrs[i]++
					return
				}
				committed[i]++
			}
		})
	}
	warmedUp.Wait()
	ctx, stop := context.WithTimeout(background, 30*time.Second)
	defer stop()
	fx.NoErr(fx.srv.Shutdown(ctx))
	wg.Wait()
	sum := 0
	for i := range callers {
		sum += committed[i]
		fx.Equal(unexpectedErrs[i], 0)
	}
	fx.Equal(int64(sum), fx.cluster.writes.Load())
	fx.Equal(fx.cluster.rollbacks.Load(), int64(0))
	fx.Equal(<-fx.serveErr, ErrServerClosed)
}

// Guards against hangs, panics and unbounded allocations on malformed or oversized input.
func TestMalformedInput(t *testing.T) {
	fx := startEntry(t, func(c *Config) { c.MaxFrameBytes = 64 << 10; c.AuthTimeout = 500 * time.Millisecond })
	big := binary.BigEndian.AppendUint32(nil, 1<<30)
	for _, in := range [][]byte{big, {0, 0, 0, 8, 0, 2, 0, 0}, {0, 0, 0, 9, 0, 3, 0, 0, 'u'}, {0, 0, 0, 8}} {
		nc, err := net.Dial("tcp", fx.addr)
		fx.NoErr(err)
		_, err = nc.Write(in)
		fx.NoErr(err)
		_, err = io.ReadAll(nc) // ends: the server closes
		fx.NoErr(err)
		fx.NoErr(nc.Close())
	}
	conn := fx.connect()
	_, err := conn.Exec(background, "insert "+strings.Repeat("x", 70<<10))
	sqlstate, _ := errorCode(err)
	fx.Equal(sqlstate, "08P01")
	conn = fx.connect()
	_, err = conn.PgConn().Conn().Write(pgwire.Append(nil, pgwire.Bind, []byte("no terminator")))
	fx.NoErr(err)
	_, err = conn.Exec(background, "insert x")
	sqlstate, _ = errorCode(err)
	fx.Equal(sqlstate, "08P01")
	fx.Equal(fx.cluster.writes.Load(), int64(0))
}

// Guards against responses that are sent to the wrong caller, request or transaction. Random batches
// mix statements, errors, refusals and lost streams.
func TestResponsesReachTheirCaller(t *testing.T) {
	fx := startEntry(t, nil)
	var wg sync.WaitGroup
	for id := range 8 {
		rnd := rand.New(rand.NewPCG(7, uint64(id)))
		wg.Go(func() {
			conn, err := pgx.Connect(background, fx.url(fx.key1, ""))
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close(background)
			for n := range 60 {
				if err := randomBatch(conn, rnd, fmt.Sprintf("c%d-%d", id, n)); err != nil {
					t.Errorf("seed 7/%d, batch %d: %v", id, n, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// randomBatch sends random statements in one batch and checks that the responses up to the first
// failure match the statements, and that the connection is usable afterwards.
func randomBatch(conn *pgx.Conn, rnd *rand.Rand, label string) error {
	kinds := []string{"select %s", "select %s $1", "select %s", "fail %s", "listen %s", "break %s", "begin %s", "rollback"}
	pgxBatch := &pgx.Batch{}
	var sent []string
	for i := range 1 + rnd.IntN(6) {
		sql := strings.Replace(kinds[rnd.IntN(len(kinds))], "%s", fmt.Sprintf("%s-%d", label, i), 1)
		sent = append(sent, sql)
		if strings.Contains(sql, "$1") {
			pgxBatch.Queue(sql, "arg")
		} else {
			pgxBatch.Queue(sql)
		}
	}
	mode := []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeCacheStatement}
	conn.Config().DefaultQueryExecMode = mode[rnd.IntN(len(mode))]
	res := conn.SendBatch(background, pgxBatch)
	for _, sql := range sent {
		if !strings.HasPrefix(sql, "select") {
			if _, err := res.Exec(); err != nil {
				break
			}
			continue
		}
		var got string
		if err := res.QueryRow().Scan(&got); err != nil {
			break
		}
		if got != strings.TrimPrefix(sql, "select ") {
			return fmt.Errorf("response to %q is %q", sql, got)
		}
	}
	_ = res.Close()
	if conn.IsClosed() {
		return fmt.Errorf("connection is closed after %q", sent)
	}
	if conn.PgConn().TxStatus() != 'I' {
		if _, err := conn.Exec(background, "rollback"); err != nil {
			return err
		}
	}
	var got string
	if err := conn.QueryRow(background, "select "+label).Scan(&got); err != nil || got != label {
		return fmt.Errorf("after %q: select returned %q, %v; expected %q", sent, got, err, label)
	}
	return nil
}
