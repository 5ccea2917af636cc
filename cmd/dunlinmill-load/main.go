// Command dunlinmill-load plays callers against running nodes and prints what
// came of their requests.
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

Flags also come from the environment, as DUNLINMILL_LOAD_NODES and so on.`

var (
	errUsage    = errors.New("usage")
	errNotClean = errors.New("requests were lost or got a wrong answer")
)

// Exit codes, as of dunlinmill itself.
const (
	exitRefused = 1
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
	os.Exit(exitRefused)
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

func parse(args []string) (options, error) {
	var o options
	fs := flag.NewFlagSet("dunlinmill-load", flag.ContinueOnError)
	fs.StringVar(&o.nodes, "nodes", "", "callers' listeners, IP:port, separated by commas")
	fs.StringVar(&o.keys, "keys", "", "workspace keys, separated by commas; the first gets half of the requests, the next half of the rest")
	fs.StringVar(&o.workload, "workload", "hidrantis", "hidrantis or kovacsne")
	fs.StringVar(&o.model, "model", "base", "model to ask for")
	fs.IntVar(&o.callers, "callers", 8, "callers at a time")
	fs.DurationVar(&o.duration, "duration", 10*time.Second, "how long they send")
	fs.DurationVar(&o.pause, "pause", 20*time.Millisecond, "a caller's time between two requests")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the requests")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "Plays callers against running nodes.", "\n\nFLAGS")
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
	o, err := parse(args)
	if err != nil {
		return err
	}
	w, err := o.load()
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
		return errNotClean
	}
	return nil
}

func (o options) load() (load.Workload, error) {
	tenants := lo.Map(strings.Split(o.keys, ","), func(key string, i int) load.Tenant {
		return load.Tenant{Workspace: fmt.Sprint("tenant-", i+1), Key: key, Share: 1 / float64(int(2)<<i)}
	})
	switch o.workload {
	case "hidrantis":
		return load.Hidrantis(o.model, tenants), nil
	case "kovacsne":
		return load.Kovacsne(o.model, tenants), nil
	}
	return load.Workload{}, fmt.Errorf("%w: no workload %q, but hidrantis and kovacsne", errUsage, o.workload)
}
