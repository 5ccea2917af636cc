package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/logservice"
	"github.com/dunlinmill/dunlinmill/standin/service"
	"github.com/dunlinmill/dunlinmill/standin/vmlist"
	"github.com/dunlinmill/dunlinmill/standin/weightstore"
)

// standIn is the interface of all stand-ins.
type standIn interface {
	Start(address string) (string, error)
	Close()
}

const envPrefix = "DUNLINMILL_STANDIN"

func newRootCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill-standin", flag.ContinueOnError)
	fs.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "dunlinmill-standin",
		ShortUsage: "dunlinmill-standin <engine|service|log|vmlist|weights> [flags]",
		LongHelp: "Runs one stand-in until it is interrupted. It prints one line,\n" +
			"\"listening IP:PORT\". POST /fault sets faults, GET /counters returns counts of\n" +
			"what has arrived.\n\n" +
			"Example:\n  dunlinmill-standin engine --listen 127.0.0.1:0 --slots 8",
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			engineCommand(stdout, stderr),
			serviceCommand(stdout, stderr),
			logCommand(stdout, stderr),
			vmListCommand(stdout, stderr),
			weightsCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(newRootCommand(stdout, stderr)))
			return errors.New("name a stand-in: engine, service, log, vmlist or weights")
		},
	}
}

// newStandInCommand returns a subcommand that runs a stand-in. registerFlags adds
// the subcommand's flags and returns the function that creates the stand-in once
// they are parsed.
func newStandInCommand(stdout, stderr io.Writer, name, help, example string, registerFlags func(*flag.FlagSet) func() (standIn, error)) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	listen := fs.String("listen", "127.0.0.1:0", "IP:port to listen on; port 0 takes a free one")
	newStandIn := registerFlags(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "dunlinmill-standin " + name + " [flags]",
		ShortHelp:  help,
		LongHelp:   help + ".\n\nExample:\n  dunlinmill-standin " + name + " " + example,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%s: unexpected argument %q", name, args[0])
			}
			s, err := newStandIn()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return serve(ctx, stdout, s, *listen)
		},
	}
}

func serve(ctx context.Context, stdout io.Writer, s standIn, listen string) error {
	address, err := s.Start(listen)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, err := fmt.Fprintln(stdout, "listening", address); err != nil {
		return fmt.Errorf("print the listening address: %w", err)
	}
	<-ctx.Done()
	return nil
}

func engineCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newStandInCommand(stdout, stderr, "engine", "Runs a model engine", "--models base=v1 --slots 8 --prefill-rate 20000 --decode 2ms",
		func(fs *flag.FlagSet) func() (standIn, error) {
			var cfg engine.Config
			fs.StringVar(&cfg.Name, "name", "", "name that it gives to the weight store; default: its address")
			models := fs.String("models", "base=v1", "loaded models as MODEL=VERSION, separated by commas")
			fs.IntVar(&cfg.Slots, "slots", engine.DefaultSlots, "number of requests in one batch")
			fs.IntVar(&cfg.Queue, "queue", engine.DefaultQueue, "number of requests that may wait")
			fs.IntVar(&cfg.CacheTokens, "cache-tokens", engine.DefaultCacheTokens, "size of the cache in tokens")
			fs.Float64Var(&cfg.PrefillRate, "prefill-rate", engine.DefaultPrefillRate, "prompt tokens computed per second")
			fs.DurationVar(&cfg.Decode, "decode", engine.DefaultDecode, "time between two output tokens; negative: none")
			fs.DurationVar(&cfg.LoadTime, "load-time", engine.DefaultLoadTime, "time to load weights if no other load runs")
			fs.StringVar(&cfg.WeightStore, "weight-store", "", "IP:port of the weight store that counts the loads")
			fs.BoolVar(&cfg.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
			fs.DurationVar(&cfg.Hold, "hold", engine.DefaultHold, "how long an ended stream can be resumed")
			fs.DurationVar(&cfg.Orphan, "orphan", engine.DefaultOrphan, "how long a stream continues without a reader")
			fs.Uint64Var(&cfg.Seed, "seed", 0, "seed of the random losses")
			return func() (standIn, error) {
				var err error
				cfg.Models, err = parseModels(*models)
				return engine.New(cfg), err
			}
		})
}

func parseModels(list string) ([]upstream.LoadedModel, error) {
	var models []upstream.LoadedModel
	for _, entry := range strings.Split(list, ",") {
		model, version, ok := strings.Cut(entry, "=")
		if !ok || model == "" || version == "" {
			return nil, fmt.Errorf("--models: %q is not MODEL=VERSION", entry)
		}
		models = append(models, upstream.LoadedModel{Model: model, Version: version})
	}
	return models, nil
}

func serviceCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newStandInCommand(stdout, stderr, "service", "Runs a plain service", "--deduplicate",
		func(fs *flag.FlagSet) func() (standIn, error) {
			var cfg service.Config
			fs.BoolVar(&cfg.Deduplicate, "deduplicate", false, "run calls with the same idempotency key only once")
			return func() (standIn, error) { return service.New(cfg), nil }
		})
}

func logCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newStandInCommand(stdout, stderr, "log", "Runs a log service", "--rate 400 --keep 100000",
		func(fs *flag.FlagSet) func() (standIn, error) {
			var cfg logservice.Config
			fs.Float64Var(&cfg.Rate, "rate", logservice.DefaultRate, "appends per second of all clients together")
			fs.IntVar(&cfg.Burst, "burst", logservice.DefaultBurst, "largest burst of appends")
			fs.IntVar(&cfg.Keep, "keep", logservice.DefaultKeep, "records kept in each stream; negative: all")
			return func() (standIn, error) { return logservice.New(cfg), nil }
		})
}

func vmListCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newStandInCommand(stdout, stderr, "vmlist", "Runs a VM list", `--vms vms.json   (POST /vms replaces the list)`,
		func(fs *flag.FlagSet) func() (standIn, error) {
			file := fs.String("vms", "", "JSON file with the initial list of VMs")
			return func() (standIn, error) {
				vms, err := readVMs(*file)
				return vmlist.New(vmlist.Config{VMs: vms}), err
			}
		})
}

func readVMs(file string) ([]platform.VM, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--vms: %w", err)
	}
	var vms []platform.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fmt.Errorf("--vms: %s: %w", file, err)
	}
	return vms, nil
}

func weightsCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newStandInCommand(stdout, stderr, "weights", "Runs a weight store", "--versions base=v1,base=v2 --rate 10",
		func(fs *flag.FlagSet) func() (standIn, error) {
			var cfg weightstore.Config
			list := fs.String("versions", "base=v1", "weights as MODEL=VERSION, separated by commas")
			fs.Float64Var(&cfg.Rate, "rate", weightstore.DefaultRate, "lookups per second")
			fs.IntVar(&cfg.Burst, "burst", weightstore.DefaultBurst, "largest burst of lookups")
			return func() (standIn, error) {
				models, err := parseModels(*list)
				cfg.Versions = map[string][]string{}
				for _, m := range models {
					cfg.Versions[m.Model] = append(cfg.Versions[m.Model], m.Version)
				}
				return weightstore.New(cfg), err
			}
		})
}
