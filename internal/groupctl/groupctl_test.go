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

// Guards against control calls that hang with a target that doesn't answer, that are refused for the
// limits of work connections and slots, or that hide the target's reason.
func TestClient(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := standin.Start(standin.Config{Slots: 1, MaxConns: 1, Term: 4, Password: "pw"})
	is.NoErr(err)
	defer s.Close()
	work, err := pgconn.Connect(ctx, "postgres://app:pw@"+s.Addr()+"/citron?sslmode=disable")
	is.NoErr(err)
	busy := make(chan error, 1)
	go func() { busy <- work.Exec(ctx, "SELECT pg_sleep(60)").Close() }()

	c, err := groupctl.Dial(ctx, groupctl.Config{Addr: s.Addr(), User: "citron", Password: "pw", Database: "citron"})
	is.NoErr(err)
	st, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(st.Role, groupctl.RolePrimary)
	is.Equal(st.Term, uint64(4))
	is.Equal(st.Received, st.Applied)

	var refused *pgconn.PgError
	is.True(errors.As(c.Promote(ctx, 3), &refused))
	is.Equal(refused.Code, "55000")
	is.NoErr(c.Promote(ctx, 5)) // usable after a refusal
	after, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(after.Received.Term, uint64(5))
	is.Equal(after.Received.Offset, st.Received.Offset+1)
	is.True(errors.As(c.Follow(ctx, 5, "127.0.0.1:1"), &refused)) // it is the primary of term 5
	is.Equal(refused.Code, "55000")

	s.Pause()
	short, stop := context.WithTimeout(ctx, 30*time.Millisecond)
	defer stop()
	_, err = c.Status(short)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(ctx.Err())
	s.Resume()
	is.NoErr(work.CancelRequest(ctx))
	is.True(errors.As(<-busy, &refused))
	is.Equal(refused.Code, "57014")
}
