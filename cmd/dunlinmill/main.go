// Command dunlinmill runs a node and is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dunlinmill/dunlinmill/process/command"
	"github.com/dunlinmill/dunlinmill/process/node"
	"github.com/dunlinmill/dunlinmill/process/settings"
)

func main() {
	// A signal without a handler would end the node at once, with all of its
	// requests.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	code := command.Run(ctx, os.Args[1:], streams, serve)
	stop()
	os.Exit(code)
}

func serve(ctx context.Context, s settings.Settings) error {
	return node.Run(ctx, s, os.Stderr)
}
