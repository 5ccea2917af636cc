package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/outcome"
)

func (p program) outcomesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "outcomes",
		ShortUsage: "dunlinmill outcomes [FILE]",
		ShortHelp:  "summarise the outcomes of requests from nodes' logs, by prompt length",
		LongHelp: help(`Reads the log of one or more nodes, from standard input if no file is given,
and prints for each route one row for each tenth of its requests by length: how
many there were, and which part was served, shed for its expected wait, refused
for another reason or broke off, with the medians of the expected wait, of the
time that an idle engine would have taken, and of the time to the first token.`,
			"dunlinmill outcomes node.log",
			"cat *.log | dunlinmill outcomes"),
		Exec: func(_ context.Context, args []string) error {
			switch len(args) {
			case 0:
				return p.printOutcomes(p.streams.In)
			case 1:
				return p.outcomesFromFile(args[0])
			}
			return usageError("outcomes takes one file at most")
		},
	}
}

func (p program) outcomesFromFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	defer f.Close()
	return p.printOutcomes(f)
}

func (p program) printOutcomes(r io.Reader) error {
	requests, unreadable, err := outcome.Read(r)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	if unreadable > 0 {
		fmt.Fprintf(p.streams.Err, "%d lines could not be read\n", unreadable)
	}
	return outcome.WriteTable(p.streams.Out, outcome.Tenths(requests))
}
