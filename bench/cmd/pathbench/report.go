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
	mode    mode
	callers int
}

// tally sums up one kind of phase over all rounds.
type tally struct {
	latencies []time.Duration
	took      time.Duration
	cpu       usage
}

// results are the figures of a run.
type results struct {
	phases             map[phase]*tally
	allocsPerStatement float64
	allocsPerRow       float64
	idleBytes          float64 // heap and stacks in use per idle caller
	idleResident       float64 // resident bytes per idle caller
}

func newResults() *results { return &results{phases: map[phase]*tally{}} }

func (r *results) add(p phase, latencies []time.Duration, took time.Duration, cpu usage) {
	t := r.phases[p]
	if t == nil {
		t = &tally{}
		r.phases[p] = t
	}
	t.latencies = append(t.latencies, latencies...)
	t.took += took
	t.cpu = t.cpu.add(cpu)
}

// percentile returns the value below which the given part of the latencies lies.
func (t *tally) percentile(part float64) time.Duration {
	slices.Sort(t.latencies)
	return t.latencies[int(part*float64(len(t.latencies)-1))]
}

func (t *tally) perCore(cpu time.Duration) float64 {
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
		base := r.phases[phase{direct, n}]
		for _, m := range modes {
			t := r.phases[phase{m, n}]
			median, p99 := t.percentile(0.5), t.percentile(0.99)
			fmt.Fprintf(w, "%d\t%s\t%v\t%v\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t\n", n, m,
				median.Round(time.Microsecond), p99.Round(time.Microsecond),
				float64(median)/float64(base.percentile(0.5)), float64(p99)/float64(base.percentile(0.99)),
				float64(len(t.latencies))/t.took.Seconds(),
				t.cpu.owner.Seconds(), t.perCore(t.cpu.owner), t.cpu.other.Seconds(), t.cpu.targets.Seconds())
		}
	}
	_ = w.Flush()
	fmt.Fprintf(out, "allocations per statement: %.1f\nallocations per relayed row: %.4f\n", r.allocsPerStatement, r.allocsPerRow)
	if o.idle > 0 {
		fmt.Fprintf(out, "idle caller (%d open): %.1f KB of heap and stacks, %.1f KB resident\n",
			o.idle, r.idleBytes/1000, r.idleResident/1000)
	}
}
