package groupctl_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/groupctl"
	"github.com/citronrun/citronrun/internal/standin"
)

// Guards against calls of control functions that hang at a target that does not respond, that are refused
// because all ordinary connections and slots of the target are in use, or that lose the target's error.
func TestCallsAtBusyAndStalledTarget(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	server, err := standin.Start(standin.Config{Slots: 1, MaxConns: 1, Term: 4, Password: "pw"})
	is.NoErr(err)
	defer server.Close()
	workConn, err := pgconn.Connect(ctx, "postgres://app:pw@"+server.Addr()+"/citron?sslmode=disable")
	is.NoErr(err)
	workDone := make(chan error, 1)
	go func() { workDone <- workConn.Exec(ctx, "SELECT pg_sleep(60)").Close() }()

	client, err := groupctl.Dial(ctx, groupctl.Config{Addr: server.Addr(), User: "citron", Password: "pw", Database: "citron"})
	is.NoErr(err)
	before, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(before.Role, groupctl.RolePrimary)
	is.Equal(before.Term, uint64(4))
	is.Equal(before.Received, before.Applied)

	var pgErr *pgconn.PgError
	is.True(errors.As(client.Promote(ctx, 3), &pgErr))
	is.Equal(pgErr.Code, "55000")
	is.NoErr(client.Promote(ctx, 5)) // the client is usable after a refusal
	after, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(after.Received.Term, uint64(5))
	is.Equal(after.Received.Offset, before.Received.Offset+1)
	is.True(errors.As(client.Follow(ctx, 5, "127.0.0.1:1"), &pgErr)) // the target is the primary of term 5 itself
	is.Equal(pgErr.Code, "55000")

	server.Pause()
	shortCtx, cancelShort := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancelShort()
	_, err = client.Status(shortCtx)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(ctx.Err())
	server.Resume()
	is.NoErr(workConn.CancelRequest(ctx))
	is.True(errors.As(<-workDone, &pgErr))
	is.Equal(pgErr.Code, "57014")
}
