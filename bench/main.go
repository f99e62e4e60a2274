// Command bench runs a citrond cluster under load and injected faults, measures it, and checks the
// history of requests and responses for violated guarantees.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/citronrun/citronrun/bench/internal/cluster"
)

const (
	exitOK        = 0
	exitViolation = 1 // a guarantee was violated
	exitFailed    = 2 // the run could not be carried out
)

// options holds the command-line flags of a run.
type options struct {
	profile  string
	scenario string
	seed     uint64
	duration time.Duration
	citrond  string
	keepDir  string
}

func main() { os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr)) }

func runCommand(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	var o options
	flags.StringVar(&o.profile, "profile", "regie", "deployment: regie or prys")
	flags.StringVar(&o.scenario, "scenario", "steady", "scenario, see -list")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of all random choices")
	flags.DurationVar(&o.duration, "duration", 30*time.Second, "length of the load")
	flags.StringVar(&o.citrond, "citrond", "", "program to run; empty: built from this repository")
	flags.StringVar(&o.keepDir, "keep", "", "folder that keeps settings, data and logs; empty: a temporary one")
	asJSON := flags.Bool("json", false, "print one JSON object")
	list := flags.Bool("list", false, "list the scenarios")
	if err := flags.Parse(args); err != nil {
		return exitFailed
	}
	if *list {
		for _, s := range scenarios {
			fmt.Fprintf(stdout, "%-18s %s\n", s.name, s.description)
		}
		fmt.Fprintf(stdout, "%-18s %s\n", combinedName, combinedDescription)
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	res, err := run(ctx, o)
	if err != nil {
		fmt.Fprintf(stderr, "bench: %v\n", err)
		return exitFailed
	}
	if err := writeResult(stdout, res, *asJSON); err != nil {
		fmt.Fprintf(stderr, "bench: %v\n", err)
		return exitFailed
	}
	if res.Broken {
		return exitViolation
	}
	return exitOK
}

func writeResult(out io.Writer, res *Result, asJSON bool) error {
	if !asJSON {
		return res.printTable(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(res)
}

// workDir creates the folder of a run. The function that it returns removes the folder, unless keepDir
// is set.
func workDir(keepDir string) (dir string, remove func(), err error) {
	if keepDir != "" {
		return keepDir, func() {}, os.MkdirAll(keepDir, 0o700)
	}
	dir, err = os.MkdirTemp("", "citronrun-bench-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

func startCluster(ctx context.Context, o options, dir string) (*cluster.Cluster, error) {
	profile, err := cluster.ProfileNamed(o.profile)
	if err != nil {
		return nil, err
	}
	root, err := cluster.FindRoot()
	if err != nil {
		return nil, err
	}
	return cluster.Start(ctx, cluster.Config{
		Profile: profile, Root: root, Citrond: o.citrond, Dir: dir, Seed: o.seed,
	})
}
