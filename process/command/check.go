package command

import (
	"context"
	"fmt"
	"os"
	"regexp"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/deployment"
	"github.com/dunlinmill/dunlinmill/process/settings"
)

// deploymentKey matches a top-level key that only deployment files have.
var deploymentKey = regexp.MustCompile(`(?m)^"?(Models|Upstreams|Workspaces|Weighing)"?:`)

func (p program) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "dunlinmill check FILE",
		ShortHelp:  "check a settings or deployment file",
		LongHelp: help(`Reports all faults of a file at once, each with its line, the path of
its key and what would be accepted. The exit code is 1 if there is any.

A file with the top-level key Models, Upstreams, Workspaces or Weighing is a
deployment file; every other file is a settings file.`,
			"dunlinmill check examples/hidrantis/settings.yaml",
			"dunlinmill check examples/hidrantis/deployment.yaml"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("check takes one file")
			}
			return p.checkFile(args[0])
		},
	}
}

func (p program) checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	kind := "settings"
	if deploymentKey.Match(data) {
		kind = "deployment"
		_, err = deployment.Parse(path, data)
	} else {
		_, err = settings.Parse(path, data)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.streams.Out, "%s: %s in order\n", path, kind)
	return err
}
