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
	ExitFailed   = 1 // any other error
	ExitUsage    = 2 // the command line is wrong
	ExitConflict = 3 // another change was accepted first
	ExitInvalid  = 4 // the change or request was refused as invalid
	ExitUnknown  = 5 // no server responded, or the outcome is unknown
)

// Environment variables that set the defaults of flags.
const (
	envServers = "CITRONCTL_SERVERS"
	envToken   = "CITRONCTL_TOKEN_FILE"
	envCA      = "CITRONCTL_CA"
)

// env holds a command's client, output format and standard streams.
type env struct {
	client *Client
	json   bool // print JSON instead of text
	in     io.Reader
	out    io.Writer
}

// command is one of citronctl's commands.
type command struct {
	name    string
	args    string // arguments in the usage line
	about   string // one-line description
	example string
	// setup defines the command's flags and returns its action, which is called with the arguments that
	// are not flags.
	setup func(fs *flag.FlagSet) func(ctx context.Context, e *env, args []string) error
}

// usageError reports an invalid command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func commands() []command {
	return []command{
		applyCommand, getCommand, diffCommand, labelCommand, keyCommand, statusCommand, membersCommand,
		promoteCommand, drainCommand, placeCommand, forgetCommand, dumpCommand, watchCommand, explainCommand, certsCommand,
	}
}

// Run executes a command line, given without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printOverview(errOut)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return run(ctx, c, args[1:], in, out, errOut)
		}
	}
	fmt.Fprintf(errOut, "citronctl: unknown command %q, see citronctl -h\n", args[0])
	return ExitUsage
}

func run(ctx context.Context, c command, args []string, in io.Reader, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("citronctl "+c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() {
		fmt.Fprintf(errOut, "usage: citronctl %s [flags] %s\n%s\n\nexample:\n  %s\n\nflags:\n", c.name, c.args, c.about, c.example)
		fs.PrintDefaults()
	}
	servers := fs.String("servers", envOr(envServers, "http://127.0.0.1:8432"), "administration addresses, separated by commas; tried in order")
	tokenFile := fs.String("token-file", os.Getenv(envToken), "file with the operator's token")
	ca := fs.String("ca", os.Getenv(envCA), "certificate authority of the administration API, PEM file")
	asJSON := fs.Bool("json", false, "print JSON")
	action := c.setup(fs)
	rest, err := parseInterspersed(fs, args)
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
		fmt.Fprintf(errOut, "citronctl %s: %v\n", c.name, err)
	}
	return exitCode(err)
}

// parseInterspersed parses flags before, between and after the arguments, and returns the arguments.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

// exitCode returns the exit code for the error of a command.
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

// printOverview prints the list of commands.
func printOverview(w io.Writer) {
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
