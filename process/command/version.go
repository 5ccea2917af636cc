package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (p program) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "dunlinmill version",
		ShortHelp:  "print the program's version",
		LongHelp:   help("Prints the module's version and the Go release that built it.", "dunlinmill version"),
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			_, err := fmt.Fprintln(p.streams.Out, Version())
			return err
		},
	}
}

// Version returns the module's version, the commit if the build records it, and the
// Go release.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "dunlinmill (unknown build)"
	}
	version := "dunlinmill " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " commit " + s.Value
		}
	}
	return version + " " + info.GoVersion
}
