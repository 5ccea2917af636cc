// Package command is the command line of dunlinmill: starting a node, stating
// and confirming intents, and checking files. Programs pass it their
// arguments and streams and exit with the code that it gives.
package command

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/settings"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1 // the command ran and was refused, or failed
	ExitUsage   = 2 // the command line can't be understood
)

// envPrefix begins the name of each environment variable: --token-file is
// DUNLINMILL_TOKEN_FILE.
const envPrefix = "DUNLINMILL"

// errUsage marks errors of the command line itself.
var errUsage = errors.New("usage")

// Serve runs a node until ctx ends.
type Serve func(ctx context.Context, s settings.Settings) error

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer // what was asked for
	Err io.Writer // what went wrong
}

// Run carries out one command line, without the program's name, and gives
// the exit code.
func Run(ctx context.Context, args []string, streams Streams, serve Serve) int {
	p := program{streams: streams, serve: serve}
	root := p.root()
	var usage bytes.Buffer
	setUp(root, &usage)
	err := root.Parse(args)
	if err == nil {
		usage.Reset()
		err = root.Run(ctx)
	} else if !errors.Is(err, flag.ErrHelp) {
		err = p.parseError(err, &usage)
	}
	return p.exit(err, &usage)
}

// setUp gives every command its environment variables and keeps what the
// flag package prints, so that help goes to Out and complaints to Err.
func setUp(c *ffcli.Command, usage io.Writer) {
	if c.FlagSet == nil {
		c.FlagSet = flag.NewFlagSet(c.Name, flag.ContinueOnError)
	}
	c.FlagSet.SetOutput(usage)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	for _, sub := range c.Subcommands {
		setUp(sub, usage)
	}
}

// parseError replaces what the flag package printed, a complaint and then
// the whole help, by the complaint alone.
func (p program) parseError(err error, usage *bytes.Buffer) error {
	usage.Reset()
	if none := (ffcli.NoExecError{}); errors.As(err, &none) {
		return usageError("no command given; see dunlinmill --help")
	}
	return usageError("%v", err)
}

func usageError(format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), errUsage)
}

func (p program) exit(err error, usage *bytes.Buffer) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, flag.ErrHelp):
		_, _ = p.streams.Out.Write(usage.Bytes())
		return ExitDone
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(p.streams.Err, "dunlinmill: "+strings.TrimSuffix(err.Error(), ": "+errUsage.Error()))
		return ExitUsage
	}
	_, _ = fmt.Fprintln(p.streams.Err, err)
	return ExitRefused
}

type program struct {
	streams Streams
	serve   Serve
}

func (p program) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "dunlinmill",
		ShortUsage: "dunlinmill <command> [flags]",
		LongHelp: help(`Routes language-model traffic with long shared prompts.

Every flag can be set in the environment: --token-file is
DUNLINMILL_TOKEN_FILE. Exit codes: 0 done, 1 refused, 2 usage.`,
			"dunlinmill serve --settings examples/hidrantis/settings.yaml"),
		FlagSet: flag.NewFlagSet("dunlinmill", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			p.serveCommand(),
			p.intentCommand(),
			p.planCommand(),
			p.confirmCommand(),
			p.statusCommand(),
			p.checkCommand(),
			p.hashCommand(),
			p.outcomesCommand(),
			p.versionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("no command given; see dunlinmill --help")
			}
			return usageError("unknown command %q; see dunlinmill --help", args[0])
		},
	}
}

// help ends a long help text with examples.
func help(text string, examples ...string) string {
	return text + "\n\nEXAMPLE\n  " + strings.Join(examples, "\n  ")
}

// noArguments refuses what is left over on the command line.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return nil
}
