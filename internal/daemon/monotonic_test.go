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

// readCount returns the reads served at replicas or at primaries by all owners of the process.
func readCount(at string) uint64 {
	return metrics.GetOrCreateCounter(`citron_owner_reads_total{at="` + at + `"}`).Get()
}

// Guards against a session that reads older data than it has read before, when its reads go to
// replicas that lag differently, and when it moves to another entry host with its token.
func TestMonotonicReadsWhileRoaming(t *testing.T) {
	const (
		readers  = 6
		duration = 2 * time.Second
		perHost  = 10 // reads before a session moves
	)
	is := is.New(t)
	d, ctx := startDemo(t)
	for i, s := range d.groups[0].Servers {
		s.SetLag(5*time.Millisecond, time.Duration(i*i)*20*time.Millisecond)
	}
	w := d.connect(ctx, t, "clerks", 0)
	_, err := w.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ('m', 'v', '0')")
	is.NoErr(err)
	replica, primary := readCount("replica"), readCount("primary")
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 1; !stop.Load(); n++ {
			if _, err := w.Exec(ctx, "UPDATE booking SET status = $1 WHERE id = 'm'", strconv.Itoa(n)); err != nil {
				t.Errorf("write %d: %v", n, err)
				return
			}
		}
	})
	for r := range readers {
		wg.Go(func() { d.readForward(ctx, t, r, perHost, &stop) })
	}
	time.Sleep(duration)
	stop.Store(true)
	wg.Wait()
	replica, primary = readCount("replica")-replica, readCount("primary")-primary
	t.Logf("%d reads at replicas, %d at the primary", replica, primary)
	is.True(replica > primary)
}

// readForward reads a growing number as one session that moves between hosts with its token.
func (d *demo) readForward(ctx context.Context, t *testing.T, reader, perHost int, stop *atomic.Bool) {
	last, token := -1, ""
	for host := reader; !stop.Load(); host++ {
		url := d.url("inspectors", d.entries[host%len(d.entries)], "bookings")
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
			if n, err = readNumber(ctx, c); err != nil {
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

// readNumber returns -1 at a replica that lacks the row.
func readNumber(ctx context.Context, c *pgx.Conn) (int, error) {
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
