package entry

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against an idle transaction that holds its connection forever, in a block or in a batch
// without Sync, and against a timeout for a caller without a transaction or with a running statement.
func TestIdleInTransaction(t *testing.T) {
	fx := startEntry(t, func(c *Config) { c.IdleTimeout = 30 * time.Millisecond })
	fx.cluster.outcomes = make(chan string, 10)
	ctx, cancel := context.WithTimeout(background, 5*time.Second)
	defer cancel()

	idle := fx.connect()
	conn := fx.connect()
	_, err := conn.Exec(ctx, "begin")
	fx.NoErr(err)
	release := time.AfterFunc(100*time.Millisecond, func() { fx.cluster.endWait <- struct{}{} })
	defer release.Stop()
	_, err = conn.Exec(ctx, "wait") // runs longer than the idle timeout
	fx.NoErr(err)
	sqlstate, detail := errorCode(conn.PgConn().WaitForNotification(ctx))
	fx.Equal(sqlstate, "25P03")
	fx.Equal(detail, "verdict: NotRun")
	fx.True(conn.IsClosed())
	fx.Equal(<-fx.cluster.outcomes, "rollback")
	_, err = idle.Exec(ctx, "insert x")
	fx.NoErr(err)

	unsynced := fx.connect().PgConn()
	fx.NoErr(unsynced.Conn().SetDeadline(time.Now().Add(5 * time.Second)))
	unsynced.Frontend().SendParse(&pgproto3.Parse{Query: "insert x"})
	unsynced.Frontend().SendBind(&pgproto3.Bind{})
	unsynced.Frontend().SendExecute(&pgproto3.Execute{})
	unsynced.Frontend().Send(&pgproto3.Flush{})
	fx.NoErr(unsynced.Frontend().Flush())
	sqlstate, detail = errorCode(unsynced.WaitForNotification(ctx))
	fx.Equal(sqlstate, "25P03")
	fx.Equal(detail, "verdict: MayHaveRun")
}
