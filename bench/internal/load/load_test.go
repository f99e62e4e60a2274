package load

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/bench/internal/history"
)

// Guards against errors without a verdict that are recorded as requests without effect, which would
// hide lost and repeated writes.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		err  error
		want history.Outcome
	}{
		{nil, history.OK},
		{errors.New("unexpected EOF"), history.MayHaveRun},
		{context.DeadlineExceeded, history.MayHaveRun},
		{&pgconn.PgError{Code: "53400", Detail: "verdict: NotRun"}, history.NotRun},
		{&pgconn.PgError{Code: "57P01"}, history.MayHaveRun},
		{&pgconn.PgError{Code: "40001", Detail: "verdict: Ran"}, history.Denied},
		{&pgconn.PgError{Code: "08007"}, history.MayHaveRun},
		{&pgconn.PgError{Code: "57P03", Detail: "verdict: MayHaveRun"}, history.MayHaveRun},
		{&pgconn.PgError{Code: "23505"}, history.Denied},
	} {
		got, _ := outcomeOf(c.err)
		is.Equal(got, c.want) // outcome of c.err
	}
}
