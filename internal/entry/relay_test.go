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

// Guards against answers out of order when requests are pipelined, with some answered locally.
func TestPipelining(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	b := &pgx.Batch{}
	for i := range 50 {
		b.Queue(fmt.Sprintf("select value%d $1", i%7), "x")
		b.Queue("show citron.read")
	}
	res := conn.SendBatch(bg, b)
	for i := range 50 {
		var s string
		fx.NoErr(res.QueryRow().Scan(&s))
		fx.Equal(s, fmt.Sprintf("value%d $1", i%7))
		fx.NoErr(res.QueryRow().Scan(&s))
		fx.Equal(s, "default")
	}
	fx.NoErr(res.Close())

	p := conn.PgConn().StartPipeline(bg)
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

// Guards against a failed statement of a batch that disturbs later ones.
func TestErrorsInExtendedProtocol(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	for range 2 {
		_, err := conn.Exec(bg, "fail $1", "x")
		c, _ := code(err)
		fx.Equal(c, "XX000")
		_, err = conn.Exec(bg, "listen x")
		c, _ = code(err)
		fx.Equal(c, "0A000")
		var s string
		fx.NoErr(conn.QueryRow(bg, "select ok $1", "x").Scan(&s))
	}
	_, err := conn.Query(bg, "select failmid", pgx.QueryExecModeSimpleProtocol)
	fx.NoErr(err)
}

// Guards against a transaction that goes on after one of its requests was refused.
func TestRateRefusalFailsTransaction(t *testing.T) {
	fx := start(t, nil)
	fx.owner.ended = make(chan string, 10)
	conn := fx.connect()
	tx, err := conn.Begin(bg)
	fx.NoErr(err)
	_, err = tx.Exec(bg, "insert a")
	fx.NoErr(err)
	fx.owner.mu.Lock()
	fx.owner.tokens = 0
	fx.owner.mu.Unlock()
	_, err = tx.Exec(bg, "insert b")
	c, detail := code(err)
	fx.Equal(c, "53400")
	fx.Equal(detail, "verdict: NotRun")
	fx.Equal(<-fx.owner.ended, "rollback")
	fx.Equal(conn.PgConn().TxStatus(), byte('E'))
	fx.True(tx.Commit(bg) != nil) // ROLLBACK instead of COMMIT
	fx.Equal(conn.PgConn().TxStatus(), byte('I'))
	_, err = conn.Exec(bg, "insert c")
	c, _ = code(err)
	fx.Equal(c, "53400")
	fx.Equal(fx.owner.writes.Load(), int64(1))
}

// Guards against statements that run while the host's view of keys is outdated.
func TestUnconfirmedHostRefuses(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	fx.owner.mu.Lock()
	fx.owner.confirmed = 6 * time.Second
	fx.owner.mu.Unlock()
	_, err := conn.Exec(bg, "insert a")
	c, _ := code(err)
	fx.Equal(c, "57P03")
	fx.Equal(len(fx.owner.requests), 0)
}

// Guards against settings that don't reach the owner.
func TestSettings(t *testing.T) {
	fx := start(t, nil)
	conn, err := pgx.Connect(bg, fx.url(fx.key, "&citron.token=awnings:3/4"))
	fx.NoErr(err)
	_, err = conn.Exec(bg, "set citron.read = 'max_age=2s'; ")
	fx.NoErr(err)
	var s string
	fx.NoErr(conn.QueryRow(bg, "show citron.read").Scan(&s))
	fx.Equal(s, "max_age=2s")
	fx.NoErr(conn.QueryRow(bg, "select 1").Scan(&s))
	req := fx.owner.lastRequest()
	fx.Equal(req.MaxAge, 2*time.Second)
	fx.Equal(req.Floor.Term, uint64(3))
	_, err = conn.Exec(bg, "set timezone = 'Africa/Dakar'")
	c, _ := code(err)
	fx.Equal(c, "0A000")
	fx.NoErr(conn.Close(bg))
}

// Guards against copies that lose data, and against a copy that commits though its caller left.
func TestCopy(t *testing.T) {
	fx := start(t, nil)
	fx.owner.ended = make(chan string, 10)
	conn := fx.connect()
	data := strings.Repeat("0123456789\n", 100000)
	_, err := conn.PgConn().CopyFrom(bg, strings.NewReader(data), "copy t from stdin")
	fx.NoErr(err)
	fx.Equal(fx.owner.copied.Load(), int64(len(data)))
	fx.Equal(<-fx.owner.ended, "end")
	var out bytes.Buffer
	_, err = conn.PgConn().CopyTo(bg, &out, "copy t to stdout")
	fx.NoErr(err)
	fx.Equal(out.Len(), 5000)
	fx.Equal(<-fx.owner.ended, "end")

	r, w := io.Pipe()
	go func() {
		_, _ = w.Write([]byte("half a line"))
		_ = conn.PgConn().Conn().Close()
		_ = w.Close()
	}()
	_, err = conn.PgConn().CopyFrom(bg, r, "copy t from stdin")
	fx.True(err != nil)
	fx.Equal(<-fx.owner.ended, "rollback")
}

// Guards against lost streams that look like success, and against cut results that go on.
func TestBrokenStream(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	_, err := conn.Exec(bg, "break")
	c, detail := code(err)
	fx.Equal(c, "08007")
	fx.Equal(detail, "verdict: MayHaveRun")
	_, err = conn.Exec(bg, "break $1", "x")
	c, _ = code(err)
	fx.Equal(c, "08007")

	_, err = conn.Exec(bg, "begin")
	fx.NoErr(err)
	_, err = conn.Exec(bg, "break")
	c, _ = code(err)
	fx.Equal(c, "08007")
	_, err = conn.Exec(bg, "insert x")
	c, detail = code(err)
	fx.Equal(c, "25P02")
	fx.Equal(detail, "verdict: NotRun")
	_, err = conn.Exec(bg, "rollback")
	fx.NoErr(err)
	fx.Equal(fx.owner.writes.Load(), int64(0))

	_, err = conn.Exec(bg, "select breakmid")
	c, _ = code(err)
	fx.Equal(c, "08007")
	fx.True(conn.IsClosed())
	fx.Equal(len(fx.owner.requests), 5) // one for each statement and one to prepare; nothing was retried
}

// Guards against cancel requests that are lost or hit without the secret.
func TestCancel(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	got := make(chan error, 1)
	go func() {
		_, err := conn.Exec(bg, "wait")
		got <- err
	}()
	<-fx.owner.waiting
	fx.srv.cancel(conn.PgConn().PID(), 0)
	fx.owner.mu.Lock()
	fx.Equal(len(fx.owner.canceled), 0)
	fx.owner.mu.Unlock()
	fx.NoErr(conn.PgConn().CancelRequest(bg))
	fx.NoErr(<-got)
	fx.Equal(len(fx.owner.canceled), 1)
	fx.Equal(fx.owner.canceled[0].Seq, uint64(1))
}

// Guards against a stalled caller that blocks others, holds a result in memory, or stays for ever.
func TestStalledReader(t *testing.T) {
	fx := start(t, func(c *Config) { c.WriteTimeout = 200 * time.Millisecond })
	fx.owner.ended = make(chan string, 10)
	stalled := fx.connect()
	res := stalled.PgConn().Exec(bg, "select rows 100000000")
	fx.True(res.NextResult())
	other := fx.connect()
	var s string
	fx.NoErr(other.QueryRow(bg, "select free", pgx.QueryExecModeSimpleProtocol).Scan(&s))
	fx.Equal(<-fx.owner.ended, "end")
	<-fx.owner.ended // the stalled one, after the write timeout
	n := 0
	for res.ResultReader().NextRow() {
		n++
	}
	fx.True(n < 100000000)
	fx.True(res.Close() != nil)
}

// Guards against a shutdown that cuts a running transaction or reports an unclear outcome.
func TestShutdownUnderLoad(t *testing.T) {
	fx := start(t, nil)
	const callers = 20
	var acked, unclear [callers]int
	var ready, wg sync.WaitGroup
	ready.Add(callers)
	for i := range callers {
		conn := fx.connect()
		wg.Go(func() {
			for n := 0; ; n++ {
				if n == 10 {
					ready.Done()
				}
				tx, err := conn.Begin(bg)
				if err != nil {
					c, _ := code(err)
					if c != "57P01" {
						unclear[i]++
					}
					return
				}
				_, err = tx.Exec(bg, "insert x")
				if err == nil {
					err = tx.Commit(bg)
				}
				if err != nil {
					unclear[i]++
					return
				}
				acked[i]++
			}
		})
	}
	ready.Wait()
	ctx, stop := context.WithTimeout(bg, 30*time.Second)
	defer stop()
	fx.NoErr(fx.srv.Shutdown(ctx))
	wg.Wait()
	sum := 0
	for i := range callers {
		sum += acked[i]
		fx.Equal(unclear[i], 0)
	}
	fx.Equal(int64(sum), fx.owner.writes.Load())
	fx.Equal(fx.owner.rollbacks.Load(), int64(0))
	fx.Equal(<-fx.done, ErrServerClosed)
}

// Guards against malformed or oversized input that hangs, crashes or allocates without bound.
func TestMalformedInput(t *testing.T) {
	fx := start(t, func(c *Config) { c.MaxFrameBytes = 64 << 10; c.AuthTimeout = 500 * time.Millisecond })
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
	_, err := conn.Exec(bg, "insert "+strings.Repeat("x", 70<<10))
	c, _ := code(err)
	fx.Equal(c, "08P01")
	conn = fx.connect()
	_, err = conn.PgConn().Conn().Write(pgwire.Append(nil, pgwire.Bind, []byte("no terminator")))
	fx.NoErr(err)
	_, err = conn.Exec(bg, "insert x")
	c, _ = code(err)
	fx.Equal(c, "08P01")
	fx.Equal(fx.owner.writes.Load(), int64(0))
}

// Guards against responses that reach another caller, request or transaction, in random mixtures of
// batches, errors, refusals and lost streams.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	fx := start(t, nil)
	var wg sync.WaitGroup
	for id := range 8 {
		rnd := rand.New(rand.NewPCG(7, uint64(id)))
		wg.Go(func() {
			conn, err := pgx.Connect(bg, fx.url(fx.key, ""))
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close(bg)
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

// randomBatch sends statements in one batch and checks that answers match up to the first failure.
func randomBatch(conn *pgx.Conn, rnd *rand.Rand, label string) error {
	kinds := []string{"select %s", "select %s $1", "select %s", "fail %s", "listen %s", "break %s", "begin %s", "rollback"}
	b := &pgx.Batch{}
	var sent []string
	for i := range 1 + rnd.IntN(6) {
		sql := strings.Replace(kinds[rnd.IntN(len(kinds))], "%s", fmt.Sprintf("%s-%d", label, i), 1)
		sent = append(sent, sql)
		if strings.Contains(sql, "$1") {
			b.Queue(sql, "arg")
		} else {
			b.Queue(sql)
		}
	}
	mode := []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeCacheStatement}
	conn.Config().DefaultQueryExecMode = mode[rnd.IntN(len(mode))]
	res := conn.SendBatch(bg, b)
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
			return fmt.Errorf("%q was answered by %q", sql, got)
		}
	}
	_ = res.Close()
	if conn.IsClosed() {
		return fmt.Errorf("connection was closed after %q", sent)
	}
	if conn.PgConn().TxStatus() != 'I' {
		if _, err := conn.Exec(bg, "rollback"); err != nil {
			return err
		}
	}
	var got string
	if err := conn.QueryRow(bg, "select "+label).Scan(&got); err != nil || got != label {
		return fmt.Errorf("after %q: %q, %v", sent, got, err)
	}
	return nil
}
