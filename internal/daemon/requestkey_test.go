package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

const insertBooking = "INSERT INTO booking (id, visitor, status) VALUES ($1, $2, 'new')"

// execWithRequestKey runs a statement with a request key and returns its command tag.
func execWithRequestKey(ctx context.Context, c *pgx.Conn, key, sql string, args ...any) (string, error) {
	if _, err := c.Exec(ctx, "SET citron.request_key = '"+key+"'"); err != nil {
		return "", err
	}
	tag, err := c.Exec(ctx, sql, args...)
	return tag.String(), err
}

func sqlState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return ""
}

// Guards against a statement of the extended protocol that runs twice with one request key, when it is
// sent concurrently through all hosts or again after a failover. Also against a reused key that returns
// the outcome of a different statement.
func TestRequestKeyInExtendedProtocol(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	var conns []*pgx.Conn
	for i := range 6 {
		conns = append(conns, d.connect(ctx, t, "clerks", i%3))
	}
	const keys = 5
	for k := range keys {
		var wg sync.WaitGroup
		for _, c := range conns {
			wg.Go(func() {
				tag, err := execWithRequestKey(ctx, c, fmt.Sprint("k", k), insertBooking, fmt.Sprint("b", k), "v")
				if err != nil || tag != "INSERT 0 1" {
					t.Errorf("key %d: tag %q, error %v", k, tag, err)
				}
			})
		}
		wg.Wait()
	}
	var n int
	is.NoErr(conns[0].QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	is.Equal(n, keys)

	_, err := execWithRequestKey(ctx, conns[1], "k0", insertBooking, "b0", "other")
	is.Equal(sqlState(err), "22023")
	is.Equal(errorDetail(err), "verdict: NotRun")
	_, err = execWithRequestKey(ctx, conns[1], "k0", "DELETE FROM booking WHERE id = $1", "b0")
	is.Equal(sqlState(err), "22023")

	_, err = execWithRequestKey(ctx, conns[2], "failed", insertBooking, "b0", "v") // duplicate booking id: the statement fails and the key stays unused
	is.Equal(sqlState(err), "23505")
	tag, err := execWithRequestKey(ctx, conns[2], "failed", insertBooking, "c0", "v")
	is.NoErr(err)
	is.Equal(tag, "INSERT 0 1")

	d.groups[0].Primary().Kill()
	deadline := time.Now().Add(failoverBound)
	for {
		tag, err = execWithRequestKey(ctx, conns[0], "k0", insertBooking, "b0", "v")
		if err == nil || time.Now().After(deadline) {
			break
		}
	}
	is.NoErr(err)
	is.Equal(tag, "INSERT 0 1") // the recorded outcome
	is.NoErr(conns[0].QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	is.Equal(n, keys+1)
}
