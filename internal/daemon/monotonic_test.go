package daemon

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// ownerReadCount returns the number of reads at replicas or at primaries by all owners in this process.
func ownerReadCount(role string) uint64 {
	return metrics.GetOrCreateCounter(`citron_owner_reads_total{at="` + role + `"}`).Get()
}

// Guards against non-monotonic reads: a session must not read older data than before when its reads go to
// replicas with different lags, or when it continues with its token on another entry host.
func TestMonotonicReadsWhileRoaming(t *testing.T) {
	const (
		readers  = 6
		duration = 2 * time.Second
		perHost  = 10 // reads before a session changes hosts
	)
	is := is.New(t)
	d, ctx := startDemo(t)
	for i, s := range d.groups[0].Servers {
		s.SetLag(5*time.Millisecond, time.Duration(i*i)*20*time.Millisecond)
	}
	writer := d.connect(ctx, t, "clerks", 0)
	_, err := writer.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ('m', 'v', '0')")
	is.NoErr(err)
	replicaReads, primaryReads := ownerReadCount("replica"), ownerReadCount("primary")
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 1; !stop.Load(); n++ {
			if _, err := writer.Exec(ctx, "UPDATE booking SET status = $1 WHERE id = 'm'", strconv.Itoa(n)); err != nil {
				t.Errorf("write %d: %v", n, err)
				return
			}
		}
	})
	for r := range readers {
		wg.Go(func() { d.checkMonotonicReads(ctx, t, r, perHost, &stop) })
	}
	time.Sleep(duration)
	stop.Store(true)
	wg.Wait()
	replicaReads, primaryReads = ownerReadCount("replica")-replicaReads, ownerReadCount("primary")-primaryReads
	t.Logf("%d reads at replicas, %d at the primary", replicaReads, primaryReads)
	is.True(replicaReads > primaryReads)
}

// checkMonotonicReads reads a growing number in one session that changes hosts with its token, and
// reports a number that is lower than the one before.
func (d *demo) checkMonotonicReads(ctx context.Context, t *testing.T, reader, perHost int, stop *atomic.Bool) {
	last, token := -1, ""
	for host := reader; !stop.Load(); host++ {
		url := d.connectionURL("inspectors", d.entries[host%len(d.entries)], "bookings")
		if token != "" {
			url += "&citron.token=" + token
		}
		c, err := pgx.Connect(ctx, url)
		if err != nil {
			t.Errorf("connect: %v", err)
			return
		}
		_, err = c.Exec(ctx, "SET citron.read = 'session'")
		for i := 0; i < perHost && err == nil; i++ {
			var n int
			if n, err = readStatusNumber(ctx, c); err != nil {
				break
			}
			if n < last {
				t.Errorf("session read %d after %d", n, last)
			}
			last = n
			token = c.PgConn().ParameterStatus("citron.token")
		}
		if err != nil {
			t.Errorf("read: %v", err)
		}
		_ = c.Close(ctx)
	}
}

// readStatusNumber returns the written number, or -1 from a replica that hasn't applied the row yet.
func readStatusNumber(ctx context.Context, c *pgx.Conn) (int, error) {
	var text string
	err := c.QueryRow(ctx, "SELECT status FROM booking WHERE id = 'm'").Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return -1, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}
