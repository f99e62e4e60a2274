package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"
)

type phase struct {
	path    dataPath
	callers int
}

// phaseStats accumulates the measurements of one phase over all rounds.
type phaseStats struct {
	latencies []time.Duration
	elapsed   time.Duration
	cpu       cpuUsage
}

// results holds the measurements of a run.
type results struct {
	phases             map[phase]*phaseStats
	allocsPerStatement float64
	allocsPerRow       float64
	idleHeapBytes      float64 // heap and stacks in use per idle caller
	idleResidentBytes  float64 // resident bytes per idle caller
}

func newResults() *results { return &results{phases: map[phase]*phaseStats{}} }

func (r *results) add(p phase, latencies []time.Duration, elapsed time.Duration, cpu cpuUsage) {
	stats := r.phases[p]
	if stats == nil {
		stats = &phaseStats{}
		r.phases[p] = stats
	}
	stats.latencies = append(stats.latencies, latencies...)
	stats.elapsed += elapsed
	stats.cpu = stats.cpu.plus(cpu)
}

// percentile returns the latency below which the given fraction of the latencies lies.
func (t *phaseStats) percentile(fraction float64) time.Duration {
	slices.Sort(t.latencies)
	return t.latencies[int(fraction*float64(len(t.latencies)-1))]
}

func (t *phaseStats) statementsPerCPUSecond(cpu time.Duration) float64 {
	if cpu <= 0 {
		return 0
	}
	return float64(len(t.latencies)) / cpu.Seconds()
}

func (r *results) print(out io.Writer, o options) {
	fmt.Fprintf(out, "%d rounds of %v, service time %v, %d CPUs\n", o.rounds, o.duration, o.serviceTime, runtime.NumCPU())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "callers\tway\tmedian\tp99\tmedian ratio\tp99 ratio\tstatements/s\towner CPU s\tper owner core\tother CPU s\ttargets CPU s\t")
	for _, callers := range o.callers {
		baseline := r.phases[phase{pathDirect, callers}]
		for _, path := range dataPaths {
			stats := r.phases[phase{path, callers}]
			median, p99 := stats.percentile(0.5), stats.percentile(0.99)
			fmt.Fprintf(table, "%d\t%s\t%v\t%v\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t\n", callers, path,
				median.Round(time.Microsecond), p99.Round(time.Microsecond),
				float64(median)/float64(baseline.percentile(0.5)), float64(p99)/float64(baseline.percentile(0.99)),
				float64(len(stats.latencies))/stats.elapsed.Seconds(),
				stats.cpu.owner.Seconds(), stats.statementsPerCPUSecond(stats.cpu.owner), stats.cpu.other.Seconds(), stats.cpu.targets.Seconds())
		}
	}
	_ = table.Flush()
	fmt.Fprintf(out, "allocations per statement: %.1f\nallocations per relayed row: %.4f\n", r.allocsPerStatement, r.allocsPerRow)
	if o.idleCallers > 0 {
		fmt.Fprintf(out, "idle caller (%d open): %.1f KB of heap and stacks, %.1f KB resident\n",
			o.idleCallers, r.idleHeapBytes/1000, r.idleResidentBytes/1000)
	}
}
