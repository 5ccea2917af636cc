// Command dunlinmill-demo shows the whole system in one process: stand-ins,
// three nodes in two data centres, both users' workloads and a migration.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/dunlinmill/dunlinmill/demo"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "dunlinmill-demo:", err)
		}
		os.Exit(1)
	}
}

var errNotClean = errors.New("something was lost or doubled, or the migration was not carried out")

func run(args []string) error {
	fs := flag.NewFlagSet("dunlinmill-demo", flag.ContinueOnError)
	cfg := demo.Config{Out: os.Stdout, Log: io.Discard}
	fs.IntVar(&cfg.Nodes, "nodes", demo.DefaultNodes, "nodes, dealt out over two data centres")
	fs.IntVar(&cfg.Callers, "callers", demo.DefaultCallers, "callers of each of the two users")
	fs.DurationVar(&cfg.Duration, "duration", demo.DefaultDuration, "how long they send requests")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the workloads")
	verbose := fs.Bool("log", false, "print the nodes' log lines to standard error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("DUNLINMILL_DEMO")); err != nil {
		return err
	}
	if *verbose {
		cfg.Log = os.Stderr
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := demo.Run(ctx, cfg)
	if err == nil && !r.Clean() {
		err = errNotClean
	}
	return err
}
