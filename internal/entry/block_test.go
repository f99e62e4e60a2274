package entry

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Guards against refusing a statement in a transaction block at once when the team is over its rate.
// The block would fail and waste the tokens of its earlier statements, although a token is available
// a moment later.
func TestBlockWaitsForRateToken(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	tx, err := conn.Begin(background)
	fx.NoErr(err)
	refused := make(chan struct{})
	fx.cluster.mu.Lock()
	fx.cluster.rateTokens = 0
	fx.cluster.onRateTokenRefused = func() { close(refused) }
	fx.cluster.mu.Unlock()
	go func() {
		<-refused
		fx.cluster.mu.Lock()
		defer fx.cluster.mu.Unlock()
		fx.cluster.rateTokens = 100
	}()
	_, err = tx.Exec(background, "insert a")
	fx.NoErr(err)
	fx.NoErr(tx.Commit(background))
}

// Guards against a statement of a block that runs and commits in a transaction of its own. The owner had
// ended the block between two requests; its error was matched with the next statement, which then ran outside
// of the block. Found by the bench with profile "prys", scenario "combined" and seed 1: one row of a two-row
// transaction was stored.
func TestBlockEndedBetweenRequests(t *testing.T) {
	for name, mode := range map[string]string{"simple": "&default_query_exec_mode=simple_protocol", "extended": ""} {
		t.Run(name, func(t *testing.T) {
			fx := startEntry(t, nil)
			conn, err := pgx.Connect(background, fx.url(fx.key1, mode))
			fx.NoErr(err)
			t.Cleanup(func() { _ = conn.Close(background) })
			_, err = conn.Exec(background, "begin")
			fx.NoErr(err)
			lost := verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the primary changed")
			_, err = fx.cluster.lastStream.Write(pgwire.AppendReadyForQuery(pgwire.AppendError(nil, lost), pgwire.TxIdle))
			fx.NoErr(err)
			_, err = conn.Exec(background, "insert a")
			sqlstate, _ := errorCode(err)
			fx.True(sqlstate == "25P02" || sqlstate == verdict.CodeOutcomeUnknown)
			_, err = conn.Exec(background, "rollback")
			fx.NoErr(err)
			// The insert must not run outside of the block. If the error arrives after the insert was sent, it
			// is the response to the insert, and the rollback then runs outside of the block without effect.
			fx.cluster.mu.Lock()
			outside := fx.cluster.firstFrames[1:]
			fx.cluster.mu.Unlock()
			fx.True(len(outside) <= 1)
			for _, first := range outside {
				fx.True(strings.Contains(first, "rollback") && !strings.Contains(first, "insert"))
			}
			_, err = conn.Exec(background, "insert b") // the session is still usable
			fx.NoErr(err)
		})
	}
}

// Guards against a statement of a block that runs in a transaction of its own because the block was
// lost while the statement waited for a rate token.
func TestBlockLostDuringWaitForRateToken(t *testing.T) {
	for name, mode := range map[string]string{"simple": "&default_query_exec_mode=simple_protocol", "extended": ""} {
		t.Run(name, func(t *testing.T) {
			fx := startEntry(t, nil)
			fx.cluster.outcomes = make(chan string, 10)
			conn, err := pgx.Connect(background, fx.url(fx.key1, mode))
			fx.NoErr(err)
			t.Cleanup(func() { _ = conn.Close(background) })
			_, err = conn.Exec(background, "begin")
			fx.NoErr(err)
			fx.cluster.mu.Lock()
			fx.cluster.rateTokens = 0
			fx.cluster.onRateTokenRefused = func() { _ = fx.cluster.lastStream.Close() }
			fx.cluster.mu.Unlock()
			go func() {
				<-fx.cluster.outcomes
				fx.cluster.mu.Lock()
				defer fx.cluster.mu.Unlock()
				fx.cluster.rateTokens = 100
			}()
			_, err = conn.Exec(background, "insert a")
			fx.True(err != nil)
			_, err = conn.Exec(background, "rollback")
			fx.NoErr(err)
			fx.Equal(fx.cluster.writes.Load(), int64(0))
			_, err = conn.Exec(background, "insert b") // the session is still usable
			fx.NoErr(err)
			fx.Equal(fx.cluster.writes.Load(), int64(1))
		})
	}
}
