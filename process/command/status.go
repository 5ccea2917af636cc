package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/connection/operator"
)

func (p program) statusCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill status", flag.ContinueOnError)
	s := newServerFlags(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "dunlinmill status [flags]",
		ShortHelp:  "show what one node reports about itself, its peers and the upstreams",
		LongHelp: help("Prints the node's readiness, the configuration in force and what the node lacks.",
			"dunlinmill status --server http://127.0.0.1:8081 --token-file token"),
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			c, err := s.newClient()
			if err != nil {
				return err
			}
			defer c.Close()
			status, err := c.Status()
			if err != nil {
				return err
			}
			return printStatus(p.streams.Out, status)
		},
	}
}

func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) { _, _ = fmt.Fprintln(w, joinCells(cells)) }
	row("node", s.Node, "in", s.DataCentre)
	row("version", s.Version)
	row("ready", s.Ready, "leaving", s.Leaving)
	row("configuration", fmt.Sprintf("offset %d, known to be the newest at %s", s.Offset, formatTime(s.ReadAt)))
	row("lacks", listOrNothing(s.Lacks))
	row("requests", fmt.Sprintf("%d in flight, %d queued", s.InFlight, s.Queued))
	if s.LeaseOwner != "" {
		row("plans", "carried out by "+s.LeaseOwner)
	}
	for _, p := range s.Peers {
		row("peer", p.Node, p.DataCentre, p.State, fmt.Sprintf("offset %d", p.Offset))
	}
	for _, u := range s.Upstreams {
		row("upstream", u.Name, u.DataCentre, u.Pool, u.State, usability(u.Usable), fmt.Sprintf("%d in flight", u.InFlight), strings.Join(u.Models, ","))
	}
	return w.Flush()
}

func joinCells(cells []any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return strings.Join(texts, "\t")
}

func listOrNothing(texts []string) string {
	if len(texts) == 0 {
		return "nothing"
	}
	return strings.Join(texts, ", ")
}

func usability(ok bool) string {
	if ok {
		return "usable"
	}
	return "not usable"
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "no time yet"
	}
	return t.UTC().Format(time.RFC3339)
}
