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
	mode    path
	callers int
}

// tally sums up one kind of phase over all rounds.
type phaseStats struct {
	latencies []time.Duration
	elapsed   time.Duration
	cpu       cpuUsage
}

// results are the figures of a run.
type results struct {
	phases             map[phase]*phaseStats
	allocsPerStatement float64
	allocsPerRow       float64
	idleHeapBytes      float64 // heap and stacks in use per idle caller
	idleResidentBytes  float64 // resident bytes per idle caller
}

func newResults() *results { return &results{phases: map[phase]*phaseStats{}} }

func (r *results) add(p phase, latencies []time.Duration, elapsed time.Duration, cpu cpuUsage) {
	t := r.phases[p]
	if t == nil {
		t = &phaseStats{}
		r.phases[p] = t
	}
	t.latencies = append(t.latencies, latencies...)
	t.elapsed += elapsed
	t.cpu = t.cpu.add(cpu)
}

// percentile returns the value below which the given part of the latencies lies.
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
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "callers\tway\tmedian\tp99\tmedian ratio\tp99 ratio\tstatements/s\towner CPU s\tper owner core\tother CPU s\ttargets CPU s\t")
	for _, n := range o.callers {
		base := r.phases[phase{pathDirect, n}]
		for _, m := range paths {
			t := r.phases[phase{m, n}]
			median, p99 := t.percentile(0.5), t.percentile(0.99)
			fmt.Fprintf(w, "%d\t%s\t%v\t%v\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t\n", n, m,
				median.Round(time.Microsecond), p99.Round(time.Microsecond),
				float64(median)/float64(base.percentile(0.5)), float64(p99)/float64(base.percentile(0.99)),
				float64(len(t.latencies))/t.elapsed.Seconds(),
				t.cpu.owner.Seconds(), t.statementsPerCPUSecond(t.cpu.owner), t.cpu.other.Seconds(), t.cpu.targets.Seconds())
		}
	}
	_ = w.Flush()
	fmt.Fprintf(out, "allocations per statement: %.1f\nallocations per relayed row: %.4f\n", r.allocsPerStatement, r.allocsPerRow)
	if o.idleCallers > 0 {
		fmt.Fprintf(out, "idle caller (%d open): %.1f KB of heap and stacks, %.1f KB resident\n",
			o.idleCallers, r.idleHeapBytes/1000, r.idleResidentBytes/1000)
	}
}
