// Command dunlinmill-standin runs one stand-in for an external system of dunlinmill
// as a process of its own.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRootCommand(os.Stdout, os.Stderr).ParseAndRun(ctx, os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, "dunlinmill-standin:", err)
		os.Exit(1)
	}
}
