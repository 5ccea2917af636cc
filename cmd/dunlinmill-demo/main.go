// Command dunlinmill-demo runs the whole system in one process: stand-ins, three
// nodes in two data centres, the workloads of both users and a migration.
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
	err := run(os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "dunlinmill-demo:", err)
	os.Exit(1)
}

const example = `
Example:
  dunlinmill-demo --nodes 4 --callers 16 --duration 10s

Flags can also be set by environment variables such as DUNLINMILL_DEMO_NODES.`

var errDemoFailed = errors.New("requests were lost or run twice, or the migration was not carried out")

func run(args []string) error {
	fs := flag.NewFlagSet("dunlinmill-demo", flag.ContinueOnError)
	cfg := demo.Config{Out: os.Stdout, Log: io.Discard}
	fs.IntVar(&cfg.Nodes, "nodes", demo.DefaultNodes, "number of nodes, divided between two data centres")
	fs.IntVar(&cfg.Callers, "callers", demo.DefaultCallers, "number of callers of each of the two users")
	fs.DurationVar(&cfg.Duration, "duration", demo.DefaultDuration, "how long the callers send requests")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the workloads")
	fs.Usage = func() {
		_, _ = fmt.Fprint(fs.Output(), "Runs the whole system in one process.\n\nFLAGS\n") // errors in writing to a terminal are ignored
		fs.PrintDefaults()
		_, _ = fmt.Fprintln(fs.Output(), example)
	}
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
	if err == nil && !r.Passed() {
		err = errDemoFailed
	}
	return err
}
