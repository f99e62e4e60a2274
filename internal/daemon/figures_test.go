package daemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
)

const figureChanges = 100

// BenchmarkChangeInForce measures the time from the acceptance of a change until all seven entry hosts
// have it, with three control hosts, of which the leader was isolated in the second case.
func BenchmarkChangeInForce(b *testing.B) {
	for _, isolated := range []bool{false, true} {
		b.Run(fmt.Sprint("isolated=", isolated), func(b *testing.B) {
			for range b.N {
				f, ctx := newFleet(b, 7)
				if isolated {
					victim := f.awaitLeader(-1)
					f.isolate(controlName(victim), true, true)
					f.awaitLeader(victim)
				}
				f.reportChanges(ctx, b)
			}
		})
	}
}

func (f *fleet) reportChanges(ctx context.Context, b *testing.B) {
	var submit, inForce []time.Duration
	revision := uint64(0)
	for i := range figureChanges {
		started := time.Now()
		revision = f.change(ctx, map[string]bool{}, f.entries[i%len(f.entries)].Agent(), fmt.Sprint("c", i), "p", revision)
		accepted := time.Now()
		f.eventually(failoverBound, "change in force", func() bool {
			return !slices.ContainsFunc(f.entries, func(e *Daemon) bool {
				c := e.Agent().Catalog()
				return c == nil || c.Revision() < revision
			})
		})
		submit = append(submit, accepted.Sub(started))
		inForce = append(inForce, time.Since(accepted))
	}
	report(b, "accept", submit)
	report(b, "in_force", inForce)
}

// report gives the median, the 99th percentile and the maximum in milliseconds.
func report(b *testing.B, name string, values []time.Duration) {
	slices.Sort(values)
	at := func(share float64) float64 {
		return float64(values[int(share*float64(len(values)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"_p50_ms")
	b.ReportMetric(at(0.99), name+"_p99_ms")
	b.ReportMetric(at(1), name+"_max_ms")
}

// BenchmarkKeyWithdrawal measures the time from the acceptance of a withdrawal until the last of three
// entry hosts has refused a connected caller's statement.
func BenchmarkKeyWithdrawal(b *testing.B) {
	for range b.N {
		f, ctx := startFleet(b)
		admin := f.control.Agent()
		done := make(chan time.Time, len(f.entries))
		for i := range f.entries {
			c := f.connect(ctx, b, "clerks", i)
			go func() {
				for {
					if _, err := c.Exec(ctx, "SELECT count(*) FROM booking"); err != nil {
						done <- time.Now()
						return
					}
				}
			}()
		}
		r, err := admin.Change(ctx, catalog.Change{ID: "w", Base: 2, Ops: []catalog.Op{
			{WithdrawKey: &catalog.WithdrawKey{Team: "clerks", ID: "demo"}},
		}})
		if err != nil || r.Code != catalog.CodeAccepted {
			b.Fatal(r, err)
		}
		accepted := time.Now()
		var refused []time.Duration
		for range f.entries {
			refused = append(refused, (<-done).Sub(accepted))
		}
		report(b, "refused", refused)
	}
}

// BenchmarkRestart measures the restart of all control hosts after 1,000 changes with the default
// number of entries between snapshots, until all hosts are confirmed again.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		f, ctx := newFleet(b, 3)
		started := time.Now()
		revision := f.manyChanges(ctx, map[string]bool{}, 1000)
		b.ReportMetric(float64(time.Since(started).Milliseconds())/1000, "ms/change")
		b.ReportMetric(float64(f.restartAllControls(revision).Milliseconds()), "restart_ms")
	}
}
