package command

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/settings"
)

func (p program) serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill serve", flag.ContinueOnError)
	file := fs.String("settings", "", "settings `file` of this node (YAML)")
	overrides := settings.RegisterFlags(fs)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "dunlinmill serve --settings FILE [flags]",
		ShortHelp:  "run a node until it receives a signal to stop",
		LongHelp: help(`Runs a node. SIGTERM, SIGINT and SIGHUP make it leave: it reports not ready,
its listeners close and requests in flight run to their end.`,
			"dunlinmill serve --settings examples/hidrantis/settings.yaml --node entry-2"),
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			if *file == "" {
				return usageError("--settings is missing")
			}
			s, err := settings.Load(*file, overrides()...)
			if err != nil {
				return err
			}
			return p.serve(ctx, s)
		},
	}
}
