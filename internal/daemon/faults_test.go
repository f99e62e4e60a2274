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

// leaveBound is the time after its announcement to leave within which a target may get new statements.
const leaveBound = 4 * time.Second

// nonOwner returns the index of an entry host that doesn't own the service bookings.
func (d *demo) nonOwner(t *testing.T) int { return (d.owner(t) + 1) % len(d.entries) }

// eventually polls a condition and fails the test if it isn't met within the bound.
func eventually(t *testing.T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ownerState returns the owner's section of a host's state dump as text.
func (d *demo) ownerState(host int) string { return fmt.Sprintf("%+v", d.entries[host].owner.State()) }

// awaitIdle waits until the owner of bookings has no active transaction and no writer.
func (d *demo) awaitIdle(t *testing.T, owner int) {
	t.Helper()
	eventually(t, 5*time.Second, "idle owner", func() bool {
		return !strings.Contains(d.ownerState(owner), "Active:1") && strings.Contains(d.ownerState(owner), "Active:0 Writers:0")
	})
}

func countBookings(ctx context.Context, t *testing.T, c *pgx.Conn, where string) (n int) {
	t.Helper()
	if err := c.QueryRow(ctx, "SELECT count(*) FROM booking WHERE "+where).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against open transactions that leak connections, or are committed, after the entry host of
// their callers was killed.
func TestEntryHostKilledInTransactions(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	owner, victim := d.owner(t), d.nonOwner(t)
	for i := range 6 {
		c := d.connect(ctx, t, "clerks", victim)
		_, err := c.Exec(ctx, "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ($1, 'v', 'open')", fmt.Sprint("e", i))
		is.NoErr(err)
	}
	is.True(strings.Contains(d.ownerState(owner), "Active:6"))
	d.entries[victim].Kill()
	d.awaitIdle(t, owner)
	c := d.connect(ctx, t, "clerks", owner)
	is.Equal(countBookings(ctx, t, c, "status = 'open'"), 0)
	var wg sync.WaitGroup // every connection available to the team can be acquired again
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

// Guards against a verdict other than MayHaveRun for a commit whose response was lost.
func TestTargetDiesAfterCommit(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.nonOwner(t))
	d.groups[0].Primary().CloseAfterCommit(1)
	_, err := c.Exec(ctx, insertBooking, "d1", "v")
	is.Equal(sqlState(err), "08007")
	is.Equal(errorDetail(err), "verdict: MayHaveRun")
	is.Equal(countBookings(ctx, t, c, "id = 'd1'"), 1)
	d.groups[0].Primary().CloseAfterCommit(1)
	_, err = c.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = c.Exec(ctx, insertBooking, "d2", "v")
	is.NoErr(err)
	_, err = c.Exec(ctx, "COMMIT")
	is.Equal(errorDetail(err), "verdict: MayHaveRun")
	d.awaitIdle(t, d.owner(t))
}

// Guards against a truncated result that looks complete to the caller.
func TestTargetDiesInResult(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.nonOwner(t))
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

// Guards against a COPY that is committed in part, or a leaked connection, when its caller disconnects.
func TestCallerLeavesInCopy(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	owner := d.owner(t)
	c := d.connect(ctx, t, "clerks", d.nonOwner(t))
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
	eventually(t, time.Second, "the COPY runs", func() bool { return strings.Contains(d.ownerState(owner), "Active:1") })
	is.NoErr(c.PgConn().Conn().Close())
	_ = w.CloseWithError(errors.New("caller disconnected"))
	is.True(<-done != nil)
	d.awaitIdle(t, owner)
	is.Equal(countBookings(ctx, t, d.connect(ctx, t, "clerks", owner), "status = 'copied'"), 0)
}

// Guards against new statements at a leaving target, and against an abort of its running transaction.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	var leaving *standin.Server
	c := d.connect(ctx, t, "clerks", d.nonOwner(t))
	_, err := c.Exec(ctx, "BEGIN READ ONLY")
	is.NoErr(err)
	is.Equal(countBookings(ctx, t, c, "id = 'x'"), 0)
	leavingIndex := -1
	for i, s := range d.groups[0].Servers { // find the replica that runs the block
		if s.Role() == "replica" && s.Connections() > 0 && (leavingIndex < 0 || s.Executed() > d.groups[0].Servers[leavingIndex].Executed()) {
			leavingIndex, leaving = i, s
		}
	}
	is.True(leaving != nil)
	is.NoErr(d.announcers[leavingIndex].Leave(ctx))
	announcedAt := time.Now()
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
	lastStatementAt, executed := announcedAt, leaving.Executed()
	for time.Since(announcedAt) < leaveBound+500*time.Millisecond {
		if n := leaving.Executed(); n != executed {
			lastStatementAt, executed = time.Now(), n
		}
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("last new statement %s after the announcement", lastStatementAt.Sub(announcedAt).Round(time.Millisecond))
	is.True(lastStatementAt.Sub(announcedAt) < leaveBound)
	is.Equal(countBookings(ctx, t, c, "id = 'x'"), 0)
	_, err = c.Exec(ctx, "COMMIT")
	is.NoErr(err)
}

// Guards against a cancel request that cancels nothing, or cancels a later statement.
func TestCancelFromAnotherConnection(t *testing.T) {
	is := is.New(t)
	d, ctx := startDemo(t)
	c := d.connect(ctx, t, "clerks", d.nonOwner(t))
	done := make(chan error, 1)
	started := time.Now()
	go func() {
		_, err := c.Exec(ctx, "SELECT pg_sleep(20)")
		done <- err
	}()
	eventually(t, time.Second, "the statement runs", func() bool {
		return strings.Contains(d.ownerState(d.owner(t)), "Active:1")
	})
	var err error
	for tries := 0; tries < 50; tries++ { // a cancel request may arrive before the statement has started
		is.NoErr(c.PgConn().CancelRequest(ctx))
		select {
		case err = <-done:
			tries = 50
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Logf("canceled after %s", time.Since(started).Round(time.Millisecond))
	is.Equal(sqlState(err), "57014")
	for range 20 {
		is.Equal(countBookings(ctx, t, c, "id = 'x'"), 0)
	}
}

// Guards against a team that runs more than rate * t + burst statements over all hosts, and against
// refusals with a wrong code or verdict.
func TestRateOverThreeHosts(t *testing.T) {
	const (
		rate, burst = 100, 50
		duration    = 3 * time.Second
	)
	is := is.New(t)
	d, ctx := startDemo(t)
	admin := d.control.Agent()
	res, err := admin.Change(ctx, catalog.Change{ID: "slow", Base: admin.Catalog().Revision(), Ops: []catalog.Op{
		putPolicy("rates", catalog.Policy{Rate: rate, Burst: burst}),
	}})
	is.NoErr(err)
	is.Equal(res.Code, catalog.CodeAccepted)
	for _, e := range d.entries {
		eventually(t, withdrawalBound, "all hosts have the new rate", func() bool { return e.agent.Catalog().Revision() >= res.Revision })
	}
	time.Sleep(2500 * time.Millisecond) // token grants of the former rate expire after 2 s
	var ran, refused atomic.Int64
	var wg sync.WaitGroup
	started := time.Now()
	for i := range 6 {
		c := d.connect(ctx, t, "clerks", i%3)
		wg.Go(func() {
			for time.Since(started) < duration {
				_, err := c.Exec(ctx, "SELECT count(*) FROM booking", pgx.QueryExecModeSimpleProtocol)
				switch {
				case err == nil:
					ran.Add(1)
				case sqlState(err) == "53400" && errorDetail(err) == "verdict: NotRun":
					refused.Add(1)
				default:
					t.Errorf("statement: %v", err)
				}
			}
		})
	}
	wg.Wait()
	allowed := rate*time.Since(started).Seconds() + burst
	t.Logf("%d ran, %d refused, %.0f allowed", ran.Load(), refused.Load(), allowed)
	is.True(float64(ran.Load()) <= allowed)
	is.True(refused.Load() > 0)
	is.True(float64(ran.Load()) > allowed/2)
}
