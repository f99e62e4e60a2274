// Command pathbench measures the overhead that the data path through citrond adds to a statement. In
// one run on one machine it alternates phases in which callers connect to stand-in targets directly,
// to the entry host that owns the service, and to an entry host that reaches the owner over QUIC.
//
// It runs the stand-in targets and each citrond in separate processes, so that their CPU times can be
// measured separately.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// options holds the settings of a run.
type options struct {
	source      string        // folder of the module that contains cmd/citrond
	duration    time.Duration // of one phase
	warmUp      time.Duration // before each phase
	rounds      int           // of all phases
	callers     []int         // in the phases
	idleCallers int           // idle callers for the memory figure
	resultRows  int           // of the result that shows the allocations per row
	serviceTime time.Duration // of the stand-in targets
	profile     string        // folder for profiles; empty: none
}

func main() {
	var o options
	var targets bool
	var announce string
	flag.StringVar(&o.source, "source", ".", "folder of the citronrun module")
	flag.DurationVar(&o.duration, "duration", 2*time.Second, "length of a phase")
	flag.DurationVar(&o.warmUp, "warm-up", 300*time.Millisecond, "load before each phase")
	flag.IntVar(&o.rounds, "rounds", 3, "repetitions of all phases")
	flag.IntVar(&o.idleCallers, "idle", 10_000, "idle callers for the memory figure, 0 to leave it out")
	flag.IntVar(&o.resultRows, "rows", 1000, "rows of the large result")
	flag.DurationVar(&o.serviceTime, "service-time", 0, "time that the stand-in targets take for a statement")
	flag.StringVar(&o.profile, "profile", "", "folder for profiles of the owner under load")
	flag.BoolVar(&targets, "targets", false, "run the stand-in targets (used by pathbench itself)")
	flag.StringVar(&announce, "announce", "", "URLs for the announcements of -targets, separated by commas")
	flag.Parse()
	o.callers = []int{1, 100}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if targets {
		err = runTargets(o.serviceTime, o.resultRows, strings.Split(announce, ","), os.Stdin, os.Stdout)
	} else {
		err = run(ctx, o, os.Stdout)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "pathbench: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "pathbench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	in, err := install(ctx, o, dir)
	defer in.stop()
	if err != nil {
		return err
	}
	r := newResults()
	for range o.rounds {
		if err := measureRound(ctx, o, in, r); err != nil {
			return err
		}
	}
	if err := measureRows(ctx, o, in, r); err != nil {
		return err
	}
	if err := saveProfiles(ctx, o, in); err != nil {
		return err
	}
	if err := measureIdle(ctx, o, in, r); err != nil {
		return err
	}
	r.print(out, o)
	return nil
}
