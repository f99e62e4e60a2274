package entry

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Guards against a block that fails, and wastes the tokens of its earlier statements, for want of a
// token that comes a moment later.
func TestBlockWaitsForToken(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	tx, err := conn.Begin(bg)
	fx.NoErr(err)
	asked := make(chan struct{})
	fx.owner.mu.Lock()
	fx.owner.tokens = 0
	fx.owner.refused = func() { close(asked) }
	fx.owner.mu.Unlock()
	go func() {
		<-asked
		fx.owner.mu.Lock()
		defer fx.owner.mu.Unlock()
		fx.owner.tokens = 100
	}()
	_, err = tx.Exec(bg, "insert a")
	fx.NoErr(err)
	fx.NoErr(tx.Commit(bg))
}

// Guards against a statement of a block that runs by itself, and is committed, because the owner ended
// the block between two requests. Its error was taken for the answer to the next statement, which then
// ran in a transaction of its own. Found by bench, prys combined, seed 1: one row of a two-row
// transaction was stored.
func TestBlockEndedBetweenRequests(t *testing.T) {
	for name, mode := range map[string]string{"simple": "&default_query_exec_mode=simple_protocol", "extended": ""} {
		t.Run(name, func(t *testing.T) {
			fx := start(t, nil)
			conn, err := pgx.Connect(bg, fx.url(fx.key, mode))
			fx.NoErr(err)
			t.Cleanup(func() { _ = conn.Close(bg) })
			_, err = conn.Exec(bg, "begin")
			fx.NoErr(err)
			lost := verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the primary changed")
			_, err = fx.owner.last.Write(pgwire.AppendReadyForQuery(pgwire.AppendError(nil, lost), pgwire.TxIdle))
			fx.NoErr(err)
			_, err = conn.Exec(bg, "insert a")
			c, _ := code(err)
			fx.True(c == "25P02" || c == verdict.CodeOutcomeUnknown)
			_, err = conn.Exec(bg, "rollback")
			fx.NoErr(err)
			// Nothing ran outside of the block. When the error came after the insert was sent into the block, it
			// answered the insert, and the rollback, which has no effect, follows by itself.
			fx.owner.mu.Lock()
			outside := fx.owner.firsts[1:]
			fx.owner.mu.Unlock()
			fx.True(len(outside) <= 1)
			for _, first := range outside {
				fx.True(strings.Contains(first, "rollback") && !strings.Contains(first, "insert"))
			}
			_, err = conn.Exec(bg, "insert b") // the session goes on
			fx.NoErr(err)
		})
	}
}

// Guards against a statement of a block that runs by itself because the block was lost while the
// statement waited for a rate token.
func TestBlockLostDuringWaitForToken(t *testing.T) {
	for name, mode := range map[string]string{"simple": "&default_query_exec_mode=simple_protocol", "extended": ""} {
		t.Run(name, func(t *testing.T) {
			fx := start(t, nil)
			fx.owner.ended = make(chan string, 10)
			conn, err := pgx.Connect(bg, fx.url(fx.key, mode))
			fx.NoErr(err)
			t.Cleanup(func() { _ = conn.Close(bg) })
			_, err = conn.Exec(bg, "begin")
			fx.NoErr(err)
			fx.owner.mu.Lock()
			fx.owner.tokens = 0
			fx.owner.refused = func() { _ = fx.owner.last.Close() }
			fx.owner.mu.Unlock()
			go func() {
				<-fx.owner.ended
				fx.owner.mu.Lock()
				defer fx.owner.mu.Unlock()
				fx.owner.tokens = 100
			}()
			_, err = conn.Exec(bg, "insert a")
			fx.True(err != nil)
			_, err = conn.Exec(bg, "rollback")
			fx.NoErr(err)
			fx.Equal(fx.owner.writes.Load(), int64(0))
			_, err = conn.Exec(bg, "insert b") // the session goes on
			fx.NoErr(err)
			fx.Equal(fx.owner.writes.Load(), int64(1))
		})
	}
}
