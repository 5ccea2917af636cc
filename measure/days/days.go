package days

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"golang.org/x/sync/errgroup"
)

// ErrConfig means that a Plan can't be played.
var ErrConfig = errors.New("days: setting out of range")

// Plan says what to play.
type Plan struct {
	Player string // program that plays
	Site   string // file of the deployment
	Days   []string
	Seeds  []uint64
	Jobs   int  // plays at a time
	Charge bool // the processor time of our code counts
	Why    string
}

// Check gives every fault of a plan.
func (p Plan) Check() error {
	var faults []error
	add := func(ok bool, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", what, ErrConfig))
		}
	}
	add(p.Player != "", "a player is needed")
	add(p.Site != "", "a site is needed")
	add(len(p.Days) > 0, "a day is needed")
	add(len(p.Seeds) > 0, "a seed is needed")
	add(p.Jobs > 0, "jobs must be positive")
	return errors.Join(faults...)
}

// Play plays each day with each seed in the present folder, and gives the
// reports in the order of days and seeds.
func Play(ctx context.Context, p Plan) ([]Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "days")
	if err != nil {
		return nil, fmt.Errorf("reports: %w", err)
	}
	defer os.RemoveAll(folder)
	// Built once: plays that start together would each build the same.
	if out, err := exec.CommandContext(ctx, p.Player, "build").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	reports := make([]Report, len(p.Days)*len(p.Seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(p.Jobs)
	for i, day := range p.Days {
		for j, seed := range p.Seeds {
			at := i*len(p.Seeds) + j
			path := filepath.Join(folder, strconv.Itoa(at))
			g.Go(func() error {
				r, err := p.play(ctx, day, seed, path)
				reports[at] = r
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return reports, nil
}

// play plays one day. The player's own verdict is in the report, also where it
// ends with an error.
func (p Plan) play(ctx context.Context, day string, seed uint64, path string) (Report, error) {
	args := []string{"run", p.Site, day, "--seed", strconv.FormatUint(seed, 10), "--report", path, "--why", p.Why}
	if !p.Charge {
		args = append(args, "--no-cpu")
	}
	out, played := exec.CommandContext(ctx, p.Player, args...).CombinedOutput()
	r, err := ReadReport(path)
	if err != nil {
		return Report{}, fmt.Errorf("%s, seed %d: %w: %w: %s", day, seed, err, played, out)
	}
	r.Day, r.Seed = day, seed
	return r, nil
}
