package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/standin"
)

// leaveBound is the time after which a leaving target gets no new work.
const leaveBound = 4 * time.Second

// other returns the number of an entry host that doesn't own the service bookings.
func (d *demo) other(t *testing.T) int { return (d.owner(t) + 1) % len(d.entries) }

// eventually polls a condition.
func eventually(t *testing.T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// dump returns the state of the owner's services as text.
func (d *demo) dump(host int) string { return fmt.Sprintf("%+v", d.entries[host].owner.State()) }

// awaitIdle waits until the owner of bookings holds no transaction, no writer and no slot.
func (d *demo) awaitIdle(t *testing.T, owner int) {
	t.Helper()
	eventually(t, 5*time.Second, "idle owner", func() bool {
		return !strings.Contains(d.dump(owner), "Active:1") && strings.Contains(d.dump(owner), "Active:0 Writers:0")
	})
}

func count(ctx context.Context, t *testing.T, c *pgx.Conn, where string) (n int) {
	t.Helper()
	if err := c.QueryRow(ctx, "SELECT count(*) FROM booking WHERE "+where).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against open transactions that stay, keep connections or get committed when the entry host of
// their callers dies.
func TestEntryHostKilledInTransactions(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	owner, victim := d.owner(t), d.other(t)
	for i := range 6 {
		c := d.connect(ctx, t, "clerks", victim)
		_, err := c.Exec(ctx, "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ($1, 'v', 'open')", fmt.Sprint("e", i))
		is.NoErr(err)
	}
	is.True(strings.Contains(d.dump(owner), "Active:6"))
	d.entries[victim].Kill()
	d.awaitIdle(t, owner)
	c := d.connect(ctx, t, "clerks", owner)
	is.Equal(count(ctx, t, c, "status = 'open'"), 0)
	var wg sync.WaitGroup // all connections of a team are available again
	for i := range demoConnections / 2 {
		wg.Go(func() {
			c := d.connect(ctx, t, "clerks", owner)
			if _, err := c.Exec(ctx, "BEGIN"); err != nil {
				t.Errorf("block %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	eventually(t, time.Second, "connections within their limit", func() bool {
		return d.groups[0].Primary().Connections() <= demoConnections
	})
}

// Guards against success or NotRun for a commit whose answer is lost.
func TestTargetDiesAfterCommit(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.other(t))
	d.groups[0].Primary().CloseAfterCommit(1)
	_, err := c.Exec(ctx, bookOnce, "d1", "v")
	is.Equal(sqlState(err), "08007")
	is.Equal(detail(err), "verdict: MayHaveRun")
	is.Equal(count(ctx, t, c, "id = 'd1'"), 1)
	d.groups[0].Primary().CloseAfterCommit(1)
	_, err = c.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = c.Exec(ctx, bookOnce, "d2", "v")
	is.NoErr(err)
	_, err = c.Exec(ctx, "COMMIT")
	is.Equal(detail(err), "verdict: MayHaveRun")
	d.awaitIdle(t, d.owner(t))
}

// Guards against a result that is cut and looks complete.
func TestTargetDiesInResult(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.other(t))
	for _, s := range d.groups[0].Servers {
		s.CloseMidResult(5000)
	}
	rows, err := c.Query(ctx, "SELECT * FROM generate_series(1, 20000)")
	is.NoErr(err)
	n := 0
	for rows.Next() {
		n++
	}
	t.Logf("%d rows before the end of the connection: %v", n, rows.Err())
	is.True(rows.Err() != nil)
	is.True(n <= 5000)
	d.awaitIdle(t, d.owner(t))
}

// Guards against a copy that is committed in part, or a connection that stays, when the caller leaves.
func TestCallerLeavesInCopy(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	owner := d.owner(t)
	c := d.connect(ctx, t, "clerks", d.other(t))
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := c.PgConn().CopyFrom(ctx, r, "COPY booking (id, visitor, status) FROM STDIN")
		done <- err
	}()
	for i := range 2000 {
		_, err := fmt.Fprintf(w, "c%d\tv\tcopied\n", i)
		is.NoErr(err)
	}
	eventually(t, time.Second, "running copy", func() bool { return strings.Contains(d.dump(owner), "Active:1") })
	is.NoErr(c.PgConn().Conn().Close())
	_ = w.CloseWithError(errors.New("caller left"))
	is.True(<-done != nil)
	d.awaitIdle(t, owner)
	is.Equal(count(ctx, t, d.connect(ctx, t, "clerks", owner), "status = 'copied'"), 0)
}

// Guards against new work at a leaving target, and against the end of its running transaction.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	var leaving *standin.Server
	c := d.connect(ctx, t, "clerks", d.other(t))
	_, err := c.Exec(ctx, "BEGIN READ ONLY")
	is.NoErr(err)
	is.Equal(count(ctx, t, c, "id = 'x'"), 0)
	at := -1
	for i, s := range d.groups[0].Servers { // the one where the block runs
		if s.Role() == "replica" && s.Connections() > 0 && (at < 0 || s.Executed() > d.groups[0].Servers[at].Executed()) {
			at, leaving = i, s
		}
	}
	is.True(leaving != nil)
	is.NoErr(d.announcers[at].Leave(ctx))
	left := time.Now()
	var stop atomic.Bool
	var wg sync.WaitGroup
	for host := range d.entries {
		wg.Go(func() {
			r := d.connect(ctx, t, "coordinators", host)
			for !stop.Load() {
				if _, err := r.Exec(ctx, "SELECT count(*) FROM booking"); err != nil {
					t.Errorf("read: %v", err)
					return
				}
			}
		})
	}
	last, seen := left, leaving.Executed()
	for time.Since(left) < leaveBound+500*time.Millisecond {
		if n := leaving.Executed(); n != seen {
			last, seen = time.Now(), n
		}
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("last new work %s after the announcement", last.Sub(left).Round(time.Millisecond))
	is.True(last.Sub(left) < leaveBound)
	is.Equal(count(ctx, t, c, "id = 'x'"), 0)
	_, err = c.Exec(ctx, "COMMIT")
	is.NoErr(err)
}

// Guards against a cancel request that reaches nothing, or a later statement.
func TestCancelFromAnotherConnection(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.other(t))
	done := make(chan error, 1)
	from := time.Now()
	go func() {
		_, err := c.Exec(ctx, "SELECT pg_sleep(20)")
		done <- err
	}()
	eventually(t, time.Second, "running statement", func() bool {
		return strings.Contains(d.dump(d.owner(t)), "Active:1")
	})
	var err error
	for tries := 0; tries < 50; tries++ { // a request may arrive before its statement has started
		is.NoErr(c.PgConn().CancelRequest(ctx))
		select {
		case err = <-done:
			tries = 50
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Logf("cancelled after %s", time.Since(from).Round(time.Millisecond))
	is.Equal(sqlState(err), "57014")
	for range 20 {
		is.Equal(count(ctx, t, c, "id = 'x'"), 0)
	}
}

// Guards against more statements of a team than rate * t + burst over all hosts, and against
// refusals with another code or verdict.
func TestRateOverThreeHosts(t *testing.T) {
	const (
		rate, burst = 100, 50
		duration    = 3 * time.Second
	)
	is := is.New(t)
	d, ctx := startDemo(t)
	admin := d.control.Agent()
	res, err := admin.Change(ctx, catalog.Change{ID: "slow", Base: admin.Catalog().Revision(), Ops: []catalog.Op{
		policy("rates", catalog.Policy{Rate: rate, Burst: burst}),
	}})
	is.NoErr(err)
	is.Equal(res.Code, catalog.CodeAccepted)
	for _, e := range d.entries {
		eventually(t, withdrawalBound, "new configuration", func() bool { return e.agent.Catalog().Revision() >= res.Revision })
	}
	time.Sleep(2500 * time.Millisecond) // lots lent under the former rate expire after 2 s
	var ran, refused atomic.Int64
	var wg sync.WaitGroup
	from := time.Now()
	for i := range 6 {
		c := d.connect(ctx, t, "clerks", i%3)
		wg.Go(func() {
			for time.Since(from) < duration {
				_, err := c.Exec(ctx, "SELECT count(*) FROM booking", pgx.QueryExecModeSimpleProtocol)
				switch {
				case err == nil:
					ran.Add(1)
				case sqlState(err) == "53400" && detail(err) == "verdict: NotRun":
					refused.Add(1)
				default:
					t.Errorf("statement: %v", err)
				}
			}
		})
	}
	wg.Wait()
	allowed := rate*time.Since(from).Seconds() + burst
	t.Logf("%d ran, %d refused, %.0f allowed", ran.Load(), refused.Load(), allowed)
	is.True(float64(ran.Load()) <= allowed)
	is.True(refused.Load() > 0)
	is.True(float64(ran.Load()) > allowed/2)
}
