// Package ctl implements the commands of citronctl over the administration API.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// Exit codes of citronctl.
const (
	ExitOK       = 0
	ExitFailed   = 1 // anything else
	ExitUsage    = 2 // the command line is wrong
	ExitConflict = 3 // another change was accepted first
	ExitInvalid  = 4 // the change or request was refused
	ExitUnknown  = 5 // no host answered, or the outcome is unknown
)

// The environment variables that give defaults for flags.
const (
	envServers = "CITRONCTL_SERVERS"
	envToken   = "CITRONCTL_TOKEN_FILE"
	envCA      = "CITRONCTL_CA"
)

// env is what a command works with.
type env struct {
	client *Client
	json   bool
	in     io.Reader
	out    io.Writer
}

// command is one of citronctl's commands.
type command struct {
	name    string
	args    string // for the usage line
	about   string
	example string
	// setup declares the command's flags and returns its action, which gets the remaining arguments.
	setup func(fs *flag.FlagSet) func(ctx context.Context, e *env, args []string) error
}

// usageError is a wrong command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func commands() []command {
	return []command{
		applyCommand, getCommand, diffCommand, labelCommand, keyCommand, statusCommand, membersCommand,
		promoteCommand, drainCommand, forgetCommand, dumpCommand, watchCommand, certsCommand,
	}
}

// Run executes a command line without the program's name and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		overview(errs)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return run(ctx, c, args[1:], in, out, errs)
		}
	}
	fmt.Fprintf(errs, "citronctl: unknown command %q, see citronctl -h\n", args[0])
	return ExitUsage
}

func run(ctx context.Context, c command, args []string, in io.Reader, out, errs io.Writer) int {
	fs := flag.NewFlagSet("citronctl "+c.name, flag.ContinueOnError)
	fs.SetOutput(errs)
	fs.Usage = func() {
		fmt.Fprintf(errs, "usage: citronctl %s [flags] %s\n%s\n\nexample:\n  %s\n\nflags:\n", c.name, c.args, c.about, c.example)
		fs.PrintDefaults()
	}
	servers := fs.String("servers", envOr(envServers, "http://127.0.0.1:8432"), "administration addresses, separated by commas; tried in order")
	tokenFile := fs.String("token-file", os.Getenv(envToken), "file with the operator's token")
	ca := fs.String("ca", os.Getenv(envCA), "certificate authority of the administration API, PEM file")
	asJSON := fs.Bool("json", false, "print JSON")
	action := c.setup(fs)
	rest, err := parseMixed(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	client, err := NewClient(strings.Split(*servers, ","), *tokenFile, *ca)
	if err == nil {
		err = action(ctx, &env{client: client, json: *asJSON, in: in, out: out}, rest)
	}
	if err != nil {
		fmt.Fprintf(errs, "citronctl %s: %v\n", c.name, err)
	}
	return exitCode(err)
}

// parseMixed lets flags stand before, between and after the arguments.
func parseMixed(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if _, ok := errors.AsType[*usageError](err); ok {
		return ExitUsage
	}
	if e, ok := errors.AsType[*APIError](err); ok {
		return e.exitCode()
	}
	if errors.Is(err, errUnreachable) {
		return ExitUnknown
	}
	return ExitFailed
}

func overview(w io.Writer) {
	fmt.Fprintln(w, "usage: citronctl COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.about)
	}
	fmt.Fprintf(w, "\ncitronctl COMMAND -h shows a command's flags and an example.\n")
	fmt.Fprintf(w, "Defaults come from %s, %s and %s.\n", envServers, envToken, envCA)
	fmt.Fprintln(w, "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 refused, 5 no answer or outcome unknown.")
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
