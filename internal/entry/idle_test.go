package entry

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against an idle transaction block that holds its connection for ever, also inside of a batch
// without Sync, and against a bound on callers without a transaction or with a running statement.
func TestIdleInTransaction(t *testing.T) {
	fx := start(t, func(c *Config) { c.IdleTimeout = 30 * time.Millisecond })
	fx.owner.ended = make(chan string, 10)
	ctx, cancel := context.WithTimeout(bg, 5*time.Second)
	defer cancel()

	idle := fx.connect()
	conn := fx.connect()
	_, err := conn.Exec(ctx, "begin")
	fx.NoErr(err)
	release := time.AfterFunc(100*time.Millisecond, func() { fx.owner.release <- struct{}{} })
	defer release.Stop()
	_, err = conn.Exec(ctx, "wait") // runs longer than the bound
	fx.NoErr(err)
	c, detail := code(conn.PgConn().WaitForNotification(ctx))
	fx.Equal(c, "25P03")
	fx.Equal(detail, "verdict: NotRun")
	fx.True(conn.IsClosed())
	fx.Equal(<-fx.owner.ended, "rollback")
	_, err = idle.Exec(ctx, "insert x")
	fx.NoErr(err)

	half := fx.connect().PgConn()
	fx.NoErr(half.Conn().SetDeadline(time.Now().Add(5 * time.Second)))
	half.Frontend().SendParse(&pgproto3.Parse{Query: "insert x"})
	half.Frontend().SendBind(&pgproto3.Bind{})
	half.Frontend().SendExecute(&pgproto3.Execute{})
	half.Frontend().Send(&pgproto3.Flush{})
	fx.NoErr(half.Frontend().Flush())
	c, detail = code(half.WaitForNotification(ctx))
	fx.Equal(c, "25P03")
	fx.Equal(detail, "verdict: MayHaveRun")
}
