package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/deployment"
	"github.com/dunlinmill/dunlinmill/process/document"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// intentFlags state an intent on the command line.
type intentFlags struct {
	file       *string
	deployment *string
	shift      *string
	to         *string
	steps      *int
	retire     *string
	deadline   *time.Duration
	rollOut    *string
	version    *string
	pause      *string
	resume     *string
	abort      *string
	undo       *string
}

func newIntentFlags(fs *flag.FlagSet) intentFlags {
	return intentFlags{
		file:       fs.String("file", "", "intent in a YAML or JSON `file`"),
		deployment: fs.String("deployment", "", "set all that a deployment `file` names"),
		shift:      fs.String("shift-workspace", "", "shift a `workspace` to the pool of --to"),
		to:         fs.String("to", "", "`pool` that a workspace is shifted to"),
		steps:      fs.Int("steps", 0, "in how many steps a workspace is shifted (0: the node's default)"),
		retire:     fs.String("retire-upstream", "", "retire an `upstream`"),
		deadline:   fs.Duration("deadline", 0, "how long work on a retired upstream may take to end (0: the node's default)"),
		rollOut:    fs.String("roll-out-weights", "", "roll out the weights of --version for a `model`"),
		version:    fs.String("version", "", "weights `version` to roll out"),
		pause:      fs.String("pause", "", "pause a `plan`"),
		resume:     fs.String("resume", "", "go on with a paused `plan`"),
		abort:      fs.String("abort", "", "end a `plan` after the steps begun"),
		undo:       fs.String("undo", "", "set back what a `plan` changed"),
	}
}

func (p program) intentCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill intent", flag.ContinueOnError)
	s, f := serverFlags(fs), newIntentFlags(fs)
	return &ffcli.Command{
		Name:       "intent",
		ShortUsage: "dunlinmill intent [flags]",
		ShortHelp:  "state an intent and read the plan for it",
		LongHelp: help(`States one intent and prints the plan. Nothing changes before the plan is
confirmed.`,
			"dunlinmill intent --token-file token --shift-workspace sofia --to new-provider --steps 4",
			"dunlinmill intent --token-file token --retire-upstream runner-3",
			"dunlinmill intent --token-file token --roll-out-weights passport --version v2",
			"dunlinmill intent --token-file token --deployment examples/hidrantis/deployment.yaml"),
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			intent, err := f.intent()
			if err != nil {
				return err
			}
			return p.propose(s, intent)
		},
	}
}

func (p program) propose(s server, intent record.Intent) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	defer c.Close()
	plan, err := c.Propose(intent)
	if err != nil {
		return err
	}
	printPlan(p.streams.Out, plan)
	_, err = fmt.Fprintf(p.streams.Out, "\nnothing has changed yet; to carry it out:\n  dunlinmill confirm --server %s --token-file %s %s %d\n", *s.address, *s.tokenFile, plan.ID, plan.Base)
	return err
}

// errOneIntent says what is wanted when none or several are stated.
var errOneIntent = errors.New("state one intent: --shift-workspace, --retire-upstream, --roll-out-weights, --deployment, --pause, --resume, --abort, --undo or --file")

func (f intentFlags) intent() (record.Intent, error) {
	stated := 0
	for _, s := range []*string{f.file, f.deployment, f.shift, f.retire, f.rollOut, f.pause, f.resume, f.abort, f.undo} {
		if *s != "" {
			stated++
		}
	}
	if stated != 1 {
		return record.Intent{}, usageError("%v", errOneIntent)
	}
	if err := f.pairs(); err != nil {
		return record.Intent{}, err
	}
	switch {
	case *f.file != "":
		return readIntent(*f.file)
	case *f.deployment != "":
		cfg, err := deployment.Load(*f.deployment)
		return record.Intent{ChangeConfig: &record.ChangeConfig{Changes: deployment.Changes(cfg)}}, err
	}
	return f.single(), nil
}

// pairs refuses flags that need each other and come alone.
func (f intentFlags) pairs() error {
	if (*f.shift != "") != (*f.to != "") {
		return usageError("--shift-workspace and --to belong together")
	}
	if (*f.rollOut != "") != (*f.version != "") {
		return usageError("--roll-out-weights and --version belong together")
	}
	if *f.steps != 0 && *f.shift == "" {
		return usageError("--steps belongs to --shift-workspace")
	}
	if *f.deadline != 0 && *f.retire == "" {
		return usageError("--deadline belongs to --retire-upstream")
	}
	return nil
}

func (f intentFlags) single() record.Intent {
	switch {
	case *f.shift != "":
		return record.Intent{ShiftWorkspace: &record.ShiftWorkspace{Workspace: *f.shift, To: *f.to, Steps: *f.steps}}
	case *f.retire != "":
		return record.Intent{RetireUpstream: &record.RetireUpstream{Upstream: *f.retire, Deadline: *f.deadline}}
	case *f.rollOut != "":
		return record.Intent{RollOutWeights: &record.RollOutWeights{Model: *f.rollOut, Version: *f.version}}
	case *f.pause != "":
		return record.Intent{Pause: &record.PlanRef{Plan: *f.pause}}
	case *f.resume != "":
		return record.Intent{Resume: &record.PlanRef{Plan: *f.resume}}
	case *f.abort != "":
		return record.Intent{Abort: &record.PlanRef{Plan: *f.abort}}
	}
	return record.Intent{Undo: &record.PlanRef{Plan: *f.undo}}
}

func readIntent(path string) (record.Intent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return record.Intent{}, fmt.Errorf("intent: %w", err)
	}
	var intent record.Intent
	err = document.Decode(path, data, &intent).Err()
	return intent, err
}
