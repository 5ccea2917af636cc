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

// intentFlags are the flags that state an intent.
type intentFlags struct {
	file           *string
	deployment     *string
	shiftWorkspace *string
	targetPool     *string
	steps          *int
	retireUpstream *string
	deadline       *time.Duration
	rollOutWeights *string
	version        *string
	pause          *string
	resume         *string
	abort          *string
	undo           *string
}

func newIntentFlags(fs *flag.FlagSet) intentFlags {
	return intentFlags{
		file:           fs.String("file", "", "YAML or JSON `file` that holds the intent"),
		deployment:     fs.String("deployment", "", "set everything that a deployment `file` contains"),
		shiftWorkspace: fs.String("shift-workspace", "", "shift a `workspace` to the pool of --to"),
		targetPool:     fs.String("to", "", "`pool` that a workspace is shifted to"),
		steps:          fs.Int("steps", 0, "number of steps in which a workspace is shifted (0: the node's default)"),
		retireUpstream: fs.String("retire-upstream", "", "retire an `upstream`"),
		deadline:       fs.Duration("deadline", 0, "how long work on a retired upstream may take to end (0: the node's default)"),
		rollOutWeights: fs.String("roll-out-weights", "", "roll out the weights of --version for a `model`"),
		version:        fs.String("version", "", "weights `version` to roll out"),
		pause:          fs.String("pause", "", "pause a `plan`"),
		resume:         fs.String("resume", "", "resume a paused `plan`"),
		abort:          fs.String("abort", "", "end a `plan` once the steps that have begun are done"),
		undo:           fs.String("undo", "", "undo what a `plan` changed"),
	}
}

func (p program) intentCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dunlinmill intent", flag.ContinueOnError)
	s, f := newServerFlags(fs), newIntentFlags(fs)
	return &ffcli.Command{
		Name:       "intent",
		ShortUsage: "dunlinmill intent [flags]",
		ShortHelp:  "state an intent and print the plan for it",
		LongHelp: help(`States one intent and prints the plan. Nothing changes before the plan is
confirmed.`,
			"dunlinmill intent --token-file token --shift-workspace sofia --to new-provider --steps 4",
			"dunlinmill intent --token-file token --retire-upstream runner-3",
			"dunlinmill intent --token-file token --roll-out-weights passport --version v2",
			"dunlinmill intent --token-file token --deployment examples/hidrantis/deployment.yaml"),
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			intent, err := f.parse()
			if err != nil {
				return err
			}
			return p.propose(s, intent)
		},
	}
}

func (p program) propose(s serverFlags, intent record.Intent) error {
	c, err := s.newClient()
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

// errNotOneIntent is the usage error if no intent or more than one is given.
var errNotOneIntent = errors.New("state one intent: --shift-workspace, --retire-upstream, --roll-out-weights, --deployment, --pause, --resume, --abort, --undo or --file")

func (f intentFlags) parse() (record.Intent, error) {
	given := 0
	for _, s := range []*string{f.file, f.deployment, f.shiftWorkspace, f.retireUpstream, f.rollOutWeights, f.pause, f.resume, f.abort, f.undo} {
		if *s != "" {
			given++
		}
	}
	if given != 1 {
		return record.Intent{}, usageError("%v", errNotOneIntent)
	}
	if err := f.checkPairs(); err != nil {
		return record.Intent{}, err
	}
	switch {
	case *f.file != "":
		return readIntent(*f.file)
	case *f.deployment != "":
		cfg, err := deployment.Load(*f.deployment)
		return record.Intent{ChangeConfig: &record.ChangeConfig{Changes: deployment.Changes(cfg)}}, err
	}
	return f.singleIntent(), nil
}

// checkPairs returns a usage error if a flag is given without the flag that it
// needs.
func (f intentFlags) checkPairs() error {
	if (*f.shiftWorkspace != "") != (*f.targetPool != "") {
		return usageError("--shift-workspace and --to belong together")
	}
	if (*f.rollOutWeights != "") != (*f.version != "") {
		return usageError("--roll-out-weights and --version belong together")
	}
	if *f.steps != 0 && *f.shiftWorkspace == "" {
		return usageError("--steps belongs to --shift-workspace")
	}
	if *f.deadline != 0 && *f.retireUpstream == "" {
		return usageError("--deadline belongs to --retire-upstream")
	}
	return nil
}

func (f intentFlags) singleIntent() record.Intent {
	switch {
	case *f.shiftWorkspace != "":
		return record.Intent{ShiftWorkspace: &record.ShiftWorkspace{Workspace: *f.shiftWorkspace, To: *f.targetPool, Steps: *f.steps}}
	case *f.retireUpstream != "":
		return record.Intent{RetireUpstream: &record.RetireUpstream{Upstream: *f.retireUpstream, Deadline: *f.deadline}}
	case *f.rollOutWeights != "":
		return record.Intent{RollOutWeights: &record.RollOutWeights{Model: *f.rollOutWeights, Version: *f.version}}
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
