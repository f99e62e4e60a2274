// Command citronctl administers a citronrun installation.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/citronrun/citronrun/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
