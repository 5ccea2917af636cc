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

// ErrConfig means that a setting of a Plan is missing or out of range.
var ErrConfig = errors.New("days: setting out of range")

// Plan says which days of recorded load are played, against which deployment, and
// how.
type Plan struct {
	Player    string // program that plays a day
	Site      string // file that describes the deployment
	Days      []string
	Seeds     []uint64
	Jobs      int  // number of concurrent plays
	ChargeCPU bool // charge the processor time of our code; runs then differ
	Purpose   string
}

// Check returns all faults of the plan.
func (p Plan) Check() error {
	var faults []error
	require := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", fault, ErrConfig))
		}
	}
	require(p.Player != "", "the player is missing")
	require(p.Site != "", "the site is missing")
	require(len(p.Days) > 0, "the days are missing")
	require(len(p.Seeds) > 0, "the seeds are missing")
	require(p.Jobs > 0, "jobs must be positive")
	return errors.Join(faults...)
}

// Play plays each day with each seed in the current directory. It returns the reports
// in the order of days and seeds.
func Play(ctx context.Context, p Plan) ([]Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "days")
	if err != nil {
		return nil, fmt.Errorf("create folder of reports: %w", err)
	}
	defer os.RemoveAll(folder)
	// Build once: plays that start together would each build the same.
	if out, err := exec.CommandContext(ctx, p.Player, "build").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("player build: %w: %s", err, out)
	}
	reports := make([]Report, len(p.Days)*len(p.Seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(p.Jobs)
	for i, day := range p.Days {
		for j, seed := range p.Seeds {
			index := i*len(p.Seeds) + j
			path := filepath.Join(folder, strconv.Itoa(index))
			g.Go(func() error {
				r, err := p.play(ctx, day, seed, path)
				reports[index] = r
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return reports, nil
}

// play plays one day. The report holds the player's own verdict even if the player
// exits with an error.
func (p Plan) play(ctx context.Context, day string, seed uint64, path string) (Report, error) {
	args := []string{"run", p.Site, day, "--seed", strconv.FormatUint(seed, 10), "--report", path, "--why", p.Purpose}
	if !p.ChargeCPU {
		args = append(args, "--no-cpu")
	}
	out, playErr := exec.CommandContext(ctx, p.Player, args...).CombinedOutput()
	r, err := ReadReport(path)
	if err != nil {
		return Report{}, fmt.Errorf("%s, seed %d: %w: %w: %s", day, seed, err, playErr, out)
	}
	r.Day, r.Seed = day, seed
	return r, nil
}
