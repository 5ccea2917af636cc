// Package command implements the command line of dunlinmill: it runs nodes, submits
// and confirms intents, and checks files. Programs pass their arguments and streams
// to Run and exit with the code that it returns.
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
	ExitOK      = 0
	ExitFailure = 1 // the command was refused or failed
	ExitUsage   = 2 // the command line is invalid
)

// envPrefix begins the name of each environment variable: DUNLINMILL_TOKEN_FILE sets
// --token-file.
const envPrefix = "DUNLINMILL"

// errUsage is wrapped by errors in the command line itself.
var errUsage = errors.New("usage")

// ServeFunc runs a node until ctx ends.
type ServeFunc func(ctx context.Context, s settings.Settings) error

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer // results
	Err io.Writer // errors
}

// Run executes one command line, which excludes the program's name, and returns the
// exit code.
func Run(ctx context.Context, args []string, streams Streams, serve ServeFunc) int {
	p := program{streams: streams, serve: serve}
	root := p.rootCommand()
	var usageText bytes.Buffer
	configureFlags(root, &usageText)
	err := root.Parse(args)
	if err == nil {
		usageText.Reset()
		err = root.Run(ctx)
	} else if !errors.Is(err, flag.ErrHelp) {
		err = p.parseError(err, &usageText)
	}
	return p.exitCode(err, &usageText)
}

// configureFlags lets the environment set the flags of c and all its subcommands. It
// redirects what the flag package prints to usageText, so that help can go to Out
// and errors to Err.
func configureFlags(c *ffcli.Command, usageText io.Writer) {
	if c.FlagSet == nil {
		c.FlagSet = flag.NewFlagSet(c.Name, flag.ContinueOnError)
	}
	c.FlagSet.SetOutput(usageText)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	for _, sub := range c.Subcommands {
		configureFlags(sub, usageText)
	}
}

// parseError returns a usage error for err. It discards what the flag package
// printed, which is the error followed by the whole help.
func (p program) parseError(err error, usageText *bytes.Buffer) error {
	usageText.Reset()
	if noExec := (ffcli.NoExecError{}); errors.As(err, &noExec) {
		return usageError("no command given; see dunlinmill --help")
	}
	return usageError("%v", err)
}

func usageError(format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), errUsage)
}

func (p program) exitCode(err error, usageText *bytes.Buffer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		_, _ = p.streams.Out.Write(usageText.Bytes())
		return ExitOK
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(p.streams.Err, "dunlinmill: "+strings.TrimSuffix(err.Error(), ": "+errUsage.Error()))
		return ExitUsage
	}
	_, _ = fmt.Fprintln(p.streams.Err, err)
	return ExitFailure
}

type program struct {
	streams Streams
	serve   ServeFunc
}

func (p program) rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "dunlinmill",
		ShortUsage: "dunlinmill <command> [flags]",
		LongHelp: help(`Routes language-model traffic with long shared prompts.

Every flag can be set in the environment: --token-file is
DUNLINMILL_TOKEN_FILE. Exit codes: 0 done, 1 refused or failed, 2 wrong usage.`,
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

// help returns text followed by examples.
func help(text string, examples ...string) string {
	return text + "\n\nEXAMPLE\n  " + strings.Join(examples, "\n  ")
}

// requireNoArguments returns a usage error if arguments are left on the command
// line.
func requireNoArguments(args []string) error {
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return nil
}
