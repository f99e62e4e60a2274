// Command citrond runs one host of a citronrun installation.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/daemon"
	"github.com/citronrun/citronrun/internal/eventlog"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/platform"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("citrond", flag.ContinueOnError)
	fs.SetOutput(errs)
	fs.Usage = func() {
		fmt.Fprint(errs, "usage: citrond -config FILE [-check] | citrond -platform [-check] | citrond -demo\n\nflags:\n")
		fs.PrintDefaults()
	}
	config := fs.String("config", "", "settings file, JSON with comments")
	check := fs.Bool("check", false, "validate the settings file and exit")
	demo := fs.Bool("demo", false, "run a control host, three entry hosts and two services of stand-in targets on loopback")
	onPlatform := fs.Bool("platform", false, "run with the platform's settings file")
	verbosity := fs.String("log-level", "info", "least severe level to log: debug, info, warn or error")
	if err := fs.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	modes := 0
	for _, chosen := range []bool{*config != "", *demo, *onPlatform} {
		if chosen {
			modes++
		}
	}
	if fs.NArg() > 0 || modes != 1 || (*check && *demo) {
		fs.Usage()
		return exitUsage
	}
	allowed, err := level.Parse(*verbosity)
	if err != nil {
		fmt.Fprintf(errs, "citrond: -log-level: %v\n", err)
		return exitUsage
	}
	logs := errs
	if *onPlatform {
		logs = out
	}
	lines := eventlog.NewWriter(logs)
	defer lines.Close()
	logger := level.NewFilter(eventlog.RateLimited(log.NewLogfmtLogger(lines)), level.Allow(allowed))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *onPlatform {
		err = servePlatform(ctx, *check, logger, out)
	} else {
		err = serve(ctx, *config, *check, *demo, logger, out)
	}
	if err != nil {
		fmt.Fprintf(errs, "citrond: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func servePlatform(ctx context.Context, check bool, logger log.Logger, out io.Writer) error {
	file := platform.SettingsFile()
	if check {
		if err := platform.Check(file); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s: settings are valid\n", file)
		return err
	}
	return platform.Run(ctx, file, logger)
}

func serve(ctx context.Context, config string, check, demo bool, logger log.Logger, out io.Writer) error {
	if demo {
		return daemon.RunDemo(ctx, logger, out)
	}
	s, err := settings.Load(config)
	if err != nil {
		return err
	}
	if check {
		_, err = fmt.Fprintf(out, "%s: settings are valid\n", config)
		return err
	}
	return daemon.Run(ctx, s, logger)
}
