package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

func (p program) planCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill plan", flag.ContinueOnError)
	s := newServerFlags(fs)
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "dunlinmill plan [flags] [ID]",
		ShortHelp:  "print a plan and its story, or list all plans",
		LongHelp: help("Prints one plan, its progress and its story; without an ID, one line for each plan.",
			"dunlinmill plan --token-file token",
			"dunlinmill plan --token-file token 01HZX"),
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 1 {
				return usageError("plan takes one ID at most")
			}
			c, err := s.newClient()
			if err != nil {
				return err
			}
			defer c.Close()
			if len(args) == 0 {
				return p.listPlans(c)
			}
			plan, err := c.Plan(args[0])
			if err != nil {
				return err
			}
			printPlan(p.streams.Out, plan)
			return nil
		},
	}
}

func (p program) listPlans(c *operator.Client) error {
	plans, err := c.Plans()
	if err != nil {
		return err
	}
	if len(plans) == 0 {
		_, err = fmt.Fprintln(p.streams.Out, "no plans")
		return err
	}
	for _, plan := range plans {
		summary := ""
		if len(plan.Words) > 0 {
			summary = plan.Words[0]
		}
		if _, err := fmt.Fprintf(p.streams.Out, "%s  %-9s  %s  %s\n", plan.ID, plan.Status, plan.Operator, summary); err != nil {
			return err
		}
	}
	return nil
}

func (p program) confirmCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill confirm", flag.ContinueOnError)
	s := newServerFlags(fs)
	return &ffcli.Command{
		Name:       "confirm",
		ShortUsage: "dunlinmill confirm [flags] ID BASE",
		ShortHelp:  "confirm a plan",
		LongHelp: help(`Confirms a plan for the state that it was made from. BASE names that state and
is printed with the plan. The confirmation is refused if something that the plan
touches has changed since.`,
			"dunlinmill confirm --token-file token 01HZX 42"),
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("confirm takes a plan's ID and its BASE")
			}
			base, err := strconv.ParseUint(args[1], 10, 64)
			if err != nil {
				return usageError("BASE: %q is not an offset", args[1])
			}
			return p.confirm(s, args[0], platform.Offset(base))
		},
	}
}

func (p program) confirm(s serverFlags, id string, base platform.Offset) error {
	c, err := s.newClient()
	if err != nil {
		return err
	}
	defer c.Close()
	plan, err := c.Confirm(id, base)
	if outcomeUnknown(err) {
		return fmt.Errorf("%w\nthe confirmation may have been accepted; see: dunlinmill plan %s", err, id)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.streams.Out, "plan %s was accepted at offset %d and is %s\n", plan.ID, plan.Confirmed, plan.Status)
	return err
}

// outcomeUnknown reports whether a call that failed may have taken effect.
func outcomeUnknown(err error) bool {
	var f *operator.Failure
	if errors.As(err, &f) {
		return f.Ran == failure.Unknown.Text()
	}
	return errors.Is(err, operator.ErrUnreachable)
}

// printPlan writes a plan as text. It ignores write errors, as there is nowhere else
// to report them.
func printPlan(w io.Writer, p operator.Plan) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("plan %s by %s: %s", p.ID, p.Operator, p.Status)
	line("base %d", p.Base)
	if p.ConfirmedBy != "" {
		line("confirmed by %s at offset %d", p.ConfirmedBy, p.Confirmed)
	}
	if p.Reason != "" {
		line("reason: %s", p.Reason)
	}
	printSection(line, "what it does", p.Words)
	printSection(line, "capacity", p.Capacity)
	line("steps:")
	for i, s := range p.Steps {
		line("  %d. stage %d  %-8s  %s %s%s%s", i+1, s.Stage, s.Status, s.Action, s.Upstream, s.Workspace, formatTries(s))
	}
	if len(p.Story) > 0 {
		line("story:")
	}
	for _, l := range p.Story {
		line("  %s  offset %d  %s", l.At.Format(time.RFC3339), l.Offset, l.Text)
	}
}

func printSection(line func(string, ...any), title string, texts []string) {
	line("%s:", title)
	for _, t := range texts {
		line("  %s", t)
	}
}

func formatTries(s operator.Step) string {
	if s.Tries == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d failed tries)", s.Tries)
}
