package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/settings"
)

func (p program) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "dunlinmill check FILE",
		ShortHelp:  "check a settings or configuration file",
		LongHelp: help(`Reports every fault of a file at once, each with its line, the path of
its key and what would be accepted. Exit code 1 if there is any.`,
			"dunlinmill check examples/hidrantis/settings.yaml"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("check takes one file")
			}
			if err := settings.Check(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(p.streams.Out, "%s: settings are in order\n", args[0])
			return err
		},
	}
}
