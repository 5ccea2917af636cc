// Command dunlinmill-load simulates callers of running nodes and prints the outcomes
// of their requests.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/load"
)

const example = `
Example:
  dunlinmill-load --nodes 127.0.0.1:8080,127.0.0.1:8180 --keys KEY1,KEY2 --workload kovacsne --callers 16 --duration 10s

Flags can also be set by environment variables such as DUNLINMILL_LOAD_NODES.`

var (
	errUsage       = errors.New("usage")
	errLostOrWrong = errors.New("requests were lost or got a wrong answer")
)

// Exit codes, the same as those of dunlinmill.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	err := run(os.Args[1:])
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "dunlinmill-load:", err)
		os.Exit(exitUsage)
	}
	fmt.Fprintln(os.Stderr, "dunlinmill-load:", err)
	os.Exit(exitFailure)
}

type options struct {
	nodes    string
	keys     string
	workload string
	model    string
	callers  int
	duration time.Duration
	pause    time.Duration
	seed     uint64
}

func parseFlags(args []string) (options, error) {
	var o options
	fs := flag.NewFlagSet("dunlinmill-load", flag.ContinueOnError)
	fs.StringVar(&o.nodes, "nodes", "", "addresses (IP:port) of nodes' listeners for callers, separated by commas")
	fs.StringVar(&o.keys, "keys", "", "workspace keys, separated by commas; the first gets half of the requests, the next half of the rest")
	fs.StringVar(&o.workload, "workload", "hidrantis", "workload: hidrantis or kovacsne")
	fs.StringVar(&o.model, "model", "base", "model to request")
	fs.IntVar(&o.callers, "callers", 8, "number of concurrent callers")
	fs.DurationVar(&o.duration, "duration", 10*time.Second, "how long the callers send requests")
	fs.DurationVar(&o.pause, "pause", 20*time.Millisecond, "pause of a caller between two requests")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the requests")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "Simulates callers of running nodes.", "\n\nFLAGS")
		fs.PrintDefaults()
		fmt.Fprintln(fs.Output(), example)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("DUNLINMILL_LOAD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return o, err
		}
		return o, fmt.Errorf("%w: %w", errUsage, err)
	}
	if o.nodes == "" || o.keys == "" || o.callers < 1 {
		return o, fmt.Errorf("%w: --nodes, --keys and at least one caller are needed", errUsage)
	}
	return o, nil
}

func run(args []string) error {
	o, err := parseFlags(args)
	if err != nil {
		return err
	}
	w, err := o.newWorkload()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.duration)
	defer cancel()
	c := load.NewClient(strings.Split(o.nodes, ","))
	defer c.Close()
	var r load.Result
	load.Run{Client: c, Workload: w, Callers: o.callers, Pause: o.pause, Seed: o.seed, Result: &r}.Do(ctx)
	t := r.Totals()
	if err := load.PrintTable(os.Stdout, []load.Row{{User: w.Name, Totals: t}}); err != nil {
		return err
	}
	if t.Lost+t.Wrong > 0 {
		return errLostOrWrong
	}
	return nil
}

func (o options) newWorkload() (load.Workload, error) {
	tenants := lo.Map(strings.Split(o.keys, ","), func(key string, i int) load.Tenant {
		return load.Tenant{Workspace: fmt.Sprint("tenant-", i+1), Key: key, Share: 1 / float64(int(2)<<i)}
	})
	switch o.workload {
	case "hidrantis":
		return load.Hidrantis(o.model, tenants), nil
	case "kovacsne":
		return load.Kovacsne(o.model, tenants), nil
	}
	return load.Workload{}, fmt.Errorf("%w: unknown workload %q; known are hidrantis and kovacsne", errUsage, o.workload)
}
