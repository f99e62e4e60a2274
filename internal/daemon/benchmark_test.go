package daemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
)

const benchmarkChanges = 100

// BenchmarkChangeInForce measures the time from the acceptance of a change until all seven entry hosts
// have it. There are three control hosts; in the second case their first leader is isolated.
func BenchmarkChangeInForce(b *testing.B) {
	for _, isolated := range []bool{false, true} {
		b.Run(fmt.Sprint("isolated=", isolated), func(b *testing.B) {
			for range b.N {
				cluster, ctx := newCluster(b, 7)
				if isolated {
					victim := cluster.awaitLeader(-1)
					cluster.isolate(controlName(victim), true, true)
					cluster.awaitLeader(victim)
				}
				cluster.benchmarkChangeLatency(ctx, b)
			}
		})
	}
}

func (cluster *testCluster) benchmarkChangeLatency(ctx context.Context, b *testing.B) {
	var submit, inForce []time.Duration
	revision := uint64(0)
	for i := range benchmarkChanges {
		started := time.Now()
		revision = cluster.submitPolicy(ctx, map[string]bool{}, cluster.entries[i%len(cluster.entries)].Agent(), fmt.Sprint("c", i), "p", revision)
		accepted := time.Now()
		cluster.eventually(failoverBound, "the change is in force on all hosts", func() bool {
			return !slices.ContainsFunc(cluster.entries, func(e *Daemon) bool {
				c := e.Agent().Catalog()
				return c == nil || c.Revision() < revision
			})
		})
		submit = append(submit, accepted.Sub(started))
		inForce = append(inForce, time.Since(accepted))
	}
	reportQuantiles(b, "accept", submit)
	reportQuantiles(b, "in_force", inForce)
}

// reportQuantiles reports the median, the 99th percentile and the maximum in milliseconds.
func reportQuantiles(b *testing.B, name string, values []time.Duration) {
	slices.Sort(values)
	quantile := func(q float64) float64 {
		return float64(values[int(q*float64(len(values)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(quantile(0.5), name+"_p50_ms")
	b.ReportMetric(quantile(0.99), name+"_p99_ms")
	b.ReportMetric(quantile(1), name+"_max_ms")
}

// BenchmarkKeyWithdrawal measures the time from the acceptance of a key's withdrawal until each of three
// entry hosts refuses a statement of a connected caller.
func BenchmarkKeyWithdrawal(b *testing.B) {
	for range b.N {
		cluster, ctx := startCluster(b)
		admin := cluster.control.Agent()
		done := make(chan time.Time, len(cluster.entries))
		for i := range cluster.entries {
			c := cluster.connect(ctx, b, "clerks", i)
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
		for range cluster.entries {
			refused = append(refused, (<-done).Sub(accepted))
		}
		reportQuantiles(b, "refused", refused)
	}
}

// BenchmarkRestart measures the restart of all control hosts after 1,000 changes, until the control leader
// has confirmed all hosts again. The number of log entries between snapshots is the default.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		cluster, ctx := newCluster(b, 3)
		started := time.Now()
		revision := cluster.submitPolicies(ctx, map[string]bool{}, 1000)
		b.ReportMetric(float64(time.Since(started).Milliseconds())/1000, "ms/change")
		b.ReportMetric(float64(cluster.restartAllControls(revision).Milliseconds()), "restart_ms")
	}
}
