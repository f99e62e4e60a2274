package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against a throughput above slots divided by service time.
func TestSlotsLimitThroughput(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	const service, statements, slots = 10 * time.Millisecond, 10, 2
	s := startServer(t, Config{Slots: slots, MinStatementTime: service})
	conns := make([]*pgx.Conn, statements)
	for i := range conns {
		conns[i] = connect(t, s)
	}
	start := time.Now()
	var g errgroup.Group
	for _, c := range conns {
		g.Go(func() error { _, err := c.Exec(ctx, "SELECT 1"); return err })
	}
	is.NoErr(g.Wait())
	is.True(time.Since(start) >= service*statements/slots)
	is.Equal(s.Executed(), uint64(statements))
}

// Guards against an isolated primary that responds, stops replication, or loses statements that callers
// send meanwhile. Also checks the receive lag and the response delay.
func TestIsolateAndDelay(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t)
	c, replica := connect(t, g.Servers[0]), connect(t, g.Servers[1])
	g.Servers[1].SetLag(50*time.Millisecond, 0)
	start := time.Now()
	_, err := c.Exec(ctx, "INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.NoErr(err)
	g.Servers[0].Isolate(true)
	done := make(chan error, 1)
	go func() { _, err := c.Exec(ctx, "INSERT INTO booking VALUES ('z', 'b', 'c')"); done <- err }()
	eventually(t, "the replica receives the first row", func() bool { return countRows(t, replica, "booking") == 1 })
	is.True(time.Since(start) >= 50*time.Millisecond)
	select {
	case err := <-done:
		t.Fatalf("isolated target responded: %v", err)
	default:
	}
	g.Servers[0].Isolate(false)
	is.NoErr(<-done)
	g.Servers[0].SetResponseDelay(20 * time.Millisecond)
	start = time.Now()
	is.Equal(countRows(t, c, "booking"), 2)
	is.True(time.Since(start) >= 20*time.Millisecond)
}

// Guards against a transaction of a former primary that commits after the next term began, and against a
// replica that serves reads before its log is verified against the new primary's.
func TestDemotedPrimary(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t)
	old, next := g.Servers[0], g.Servers[1]
	c := connect(t, old)
	_, err := c.Exec(ctx, "BEGIN; INSERT INTO booking VALUES ('a', 'b', 'c')")
	is.NoErr(err)
	is.NoErr(dialControl(t, next).Promote(ctx, 2))
	g.CutReplication(next, old, true)
	is.NoErr(dialControl(t, old).Follow(ctx, 2, next.Addr()))
	_, err = c.Exec(ctx, "COMMIT")
	is.Equal(sqlState(err), "57P03")
	_, err = c.Exec(ctx, "SELECT * FROM booking")
	is.Equal(sqlState(err), "57P03")
	g.CutReplication(next, old, false)
	eventually(t, "the log is verified", func() bool { _, err := c.Exec(ctx, "SELECT 1"); return err == nil })
	is.Equal(old.Role(), "replica")
	is.Equal(countRows(t, c, "booking"), 0)
	is.NoErr(dialControl(t, old).Promote(ctx, 3))
	is.Equal(g.Primary(), old)
}

// Guards against announcements that stop after a failure, or that omit that the target is leaving.
func TestAnnouncer(t *testing.T) {
	is := is.New(t)
	received := make(chan wire.Announce, 100)
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m wire.Announce
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		received <- m
	}))
	defer hosts.Close()
	m := wire.Announce{Target: "db1", Service: "rota", Addr: "127.0.0.1:5432", Place: "Bangor"}
	a := NewAnnouncer(m, hosts.URL+"/v1/announce", "http://127.0.0.1:1/v1/announce")
	defer a.Close()
	is.Equal(<-received, m)
	is.True(a.Leave(context.Background()) != nil) // the second host is unreachable
	m.Leaving = true
	for leaving := 0; leaving < 2; { // one posted by Leave, one at the next tick
		select {
		case next := <-received:
			if next.Leaving {
				is.Equal(next, m)
				leaving++
			}
		case <-testContext(t).Done():
			t.Fatalf("received %d announcements that the target is leaving, want 2", leaving)
		}
	}
}
