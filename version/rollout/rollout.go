// Package rollout brings every engine to the newest weights of its models, for a
// fleet whose weights are named elsewhere. It acts while this node has the duty. Each
// order names the state that it expects to find, and its effect is read back, so that
// a lost answer or a late order does no harm.
package rollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
)

// Engine is one engine and what is known of its weights of one model.
type Engine struct {
	Name  string
	Model string
	Held  uint64 // version; 0: not known
	// InFlight is the number of its requests, as far as known.
	InFlight int
}

// Fleet gives access to the engines and to what the nodes know of their weights.
type Fleet interface {
	// Engines returns the engines that are not leaving, one entry for each model of
	// each engine.
	Engines() []Engine
	// Newest returns the newest named version of a model's weights; 0: none.
	Newest(model string) uint64
	// NamedWithin reports whether the newest version is known to have been named less than d ago. If the
	// time is not known, it may have been named long ago.
	NamedWithin(model string, d time.Duration) bool
	// Client returns an engine's client; false if the engine has left.
	Client(name string) (upstream.Engine, bool)
	// RecordHeld records that an engine holds a version.
	RecordHeld(name, model string, version uint64)
	// AnnounceChange announces to all nodes that an engine is about to change its
	// weights of a model, or that the change is over. It returns when they know, or
	// after a short time.
	AnnounceChange(name, model string, busy bool)
}

// Duty decides whether this node may act.
type Duty interface {
	// BeginAct is called right before each order, and only then. It returns the
	// fencing number for the order.
	BeginAct(now time.Time) (fencing uint64, ok bool)
	// Holds reports whether this node may be able to act.
	Holds(now time.Time) bool
	// CanAct is called when there are engines to change. If it returns false, the duty prepares for acts.
	CanAct(now time.Time) bool
}

// Config holds the settings of a Driver.
type Config struct {
	// ConcurrentPart is the part of the engines that are changed at once, and
	// MinConcurrent the least number of them. Some of these let their requests finish
	// while the others load: an engine's load takes longer while more than two
	// engines load.
	ConcurrentPart float64
	MinConcurrent  int
	// EarlyPart is the part of the engines that are brought to new weights at once;
	// the others follow after Settle. Requests prefer the former, so that the others
	// become empty meanwhile. A version that is replaced within that time costs the
	// others no load.
	EarlyPart float64
	Settle    time.Duration
	// Interval is the time between two checks for engines to change.
	Interval time.Duration
	// PollInterval is the time between two reports of an engine that loads, and
	// FirstPollDelay the time from the order to the first one.
	PollInterval   time.Duration
	FirstPollDelay time.Duration
	// ReportTimeout bounds one report, and ChangeTimeout an engine's whole change.
	// After it the engine is considered again from the start.
	ReportTimeout time.Duration
	ChangeTimeout time.Duration
	// OrderTimeout bounds one order. A node that takes over the duty waits no longer
	// than that for orders of its predecessor that are still on their way.
	OrderTimeout time.Duration
	// FailurePause is how long an engine is left out after its change failed.
	FailurePause time.Duration
	Clock        func() time.Time
}

// DefaultConfig is for engines that load in about a second.
var DefaultConfig = Config{
	ConcurrentPart: 1.0 / 3, MinConcurrent: 2, EarlyPart: 0.5, Settle: 5 * time.Second,
	Interval: 100 * time.Millisecond, PollInterval: 250 * time.Millisecond, FirstPollDelay: 700 * time.Millisecond,
	ReportTimeout: time.Second, ChangeTimeout: 8 * time.Second, OrderTimeout: 300 * time.Millisecond, FailurePause: time.Second,
}

// NextEngines returns the engines to order now, besides those that are changing. It
// prefers the engines with the oldest weights, so that the range of versions in use
// stays small, and among these the ones with the fewest requests, which finish the
// soonest. An engine with many requests delays its load, and with it the next
// engine's turn, by up to three seconds.
func NextEngines(cfg Config, engines []Engine, newest func(model string) uint64, namedWithin func(model string, d time.Duration) bool, changing []string) []Engine {
	free := max(cfg.MinConcurrent, int(cfg.ConcurrentPart*float64(len(engines)))) - len(changing)
	outdated := lo.Filter(engines, func(e Engine, _ int) bool {
		return e.Held < newest(e.Model) && !slices.Contains(changing, e.Name)
	})
	if currentOrChanging := len(engines) - len(outdated); lo.EveryBy(outdated, func(e Engine) bool { return namedWithin(e.Model, cfg.Settle) }) {
		free = min(free, int(math.Ceil(cfg.EarlyPart*float64(len(engines))))-currentOrChanging)
	}
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Held, b.Held), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Name, b.Name))
	})
	outdated = lo.UniqBy(outdated, func(e Engine) string { return e.Name })
	return outdated[:max(0, min(free, len(outdated)))]
}

// Driver carries out a roll-out. mu guards changing and resting.
type Driver struct {
	cfg   Config
	fleet Fleet
	duty  Duty
	log   *zap.Logger

	mu       sync.Mutex
	changing map[string]bool
	resting  map[string]time.Time // end of the pause by engine

	cancel context.CancelFunc
	work   sync.WaitGroup
}

// New starts a Driver.
func New(cfg Config, f Fleet, d Duty, log *zap.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Driver{cfg: cfg, fleet: f, duty: d, log: log, changing: map[string]bool{}, resting: map[string]time.Time{}, cancel: cancel}
	r.work.Go(func() { r.run(ctx) })
	return r
}

// Close stops the driver. An engine that is loading continues by itself.
func (r *Driver) Close() {
	r.cancel()
	r.work.Wait()
}

func (r *Driver) run(ctx context.Context) {
	t := time.NewTicker(r.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.beginChanges(ctx)
		}
	}
}

// beginChanges begins the changes that may begin now.
func (r *Driver) beginChanges(ctx context.Context) {
	if !r.duty.Holds(r.cfg.Clock()) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := NextEngines(r.cfg, r.withoutResting(r.fleet.Engines()), r.fleet.Newest, r.fleet.NamedWithin, lo.Keys(r.changing))
	if len(next) == 0 || !r.duty.CanAct(r.cfg.Clock()) {
		return
	}
	for _, e := range next {
		r.changing[e.Name] = true
		r.work.Go(func() {
			err := r.changeWeights(ctx, e)
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.changing, e.Name)
			if err != nil {
				r.resting[e.Name] = r.cfg.Clock().Add(r.cfg.FailurePause)
			}
		})
	}
}

// withoutResting leaves out the engines whose change failed less than FailurePause
// ago. A dead engine would otherwise be selected again and again and delay the
// others.
func (r *Driver) withoutResting(engines []Engine) []Engine {
	now := r.cfg.Clock()
	maps.DeleteFunc(r.resting, func(_ string, until time.Time) bool { return !now.Before(until) })
	return lo.Reject(engines, func(e Engine, _ int) bool {
		_, resting := r.resting[e.Name]
		return resting
	})
}

// changeWeights brings one engine to newer weights, or gives up after ChangeTimeout.
// It ends once the engine holds the ordered version, even if a newer one was named
// meanwhile: engines with older weights come first, or some would never be changed
// while versions are named faster than all engines can load.
func (r *Driver) changeWeights(ctx context.Context, e Engine) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ChangeTimeout)
	defer cancel()
	r.fleet.AnnounceChange(e.Name, e.Model, true)
	defer r.fleet.AnnounceChange(e.Name, e.Model, false)
	target := r.fleet.Newest(e.Model)
	wait, err := r.advance(ctx, e, target)
	for err == nil && wait > 0 {
		if !clock.Sleep(ctx, wait) {
			err = ctx.Err()
			break
		}
		wait, err = r.advance(ctx, e, target)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		event.Warn(r.log, event.OrderFailed, zap.String("Upstream", e.Name), zap.String("Model", e.Model), zap.Error(err))
	}
	return err
}

// errGone means that the engine has left meanwhile.
var errGone = errors.New("rollout: the engine has left")

// advance reads an engine's state and gives the order that it needs. It returns the
// time until the next call; 0 if the engine holds the target.
func (r *Driver) advance(ctx context.Context, e Engine, target uint64) (time.Duration, error) {
	c, ok := r.fleet.Client(e.Name)
	if !ok {
		return 0, errGone
	}
	report, err := r.report(ctx, c)
	if err != nil {
		return 0, err
	}
	held := reportedVersion(report, e.Model)
	if held > 0 {
		r.fleet.RecordHeld(e.Name, e.Model, held)
	}
	switch {
	case report.Loading:
		return r.cfg.PollInterval, nil
	case held >= target:
		event.Info(r.log, event.StepDone, zap.String("Upstream", e.Name), zap.String("Model", e.Model), zap.Uint64("Version", held))
		return 0, nil
	}
	return r.order(ctx, c, e, report, target)
}

func (r *Driver) report(ctx context.Context, c upstream.Engine) (upstream.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ReportTimeout)
	defer cancel()
	report, err := c.Report(ctx)
	if err != nil {
		return report, fmt.Errorf("report: %w", err)
	}
	return report, nil
}

// order gives one order. BeginAct is called right before the order is sent, and the
// call is bounded by OrderTimeout, for which a node that takes over the duty waits.
func (r *Driver) order(ctx context.Context, c upstream.Engine, e Engine, report upstream.Report, target uint64) (time.Duration, error) {
	fencing, ok := r.duty.BeginAct(r.cfg.Clock())
	if !ok {
		return 0, context.Canceled
	}
	event.Info(r.log, event.OrderGiven, zap.String("Upstream", e.Name), zap.String("Model", e.Model),
		zap.Uint64("Version", target), zap.Uint64("Held", reportedVersion(report, e.Model)),
		zap.Uint64("Fencing", fencing), zap.Uint64("Expected", report.Orders))
	ctx, cancel := context.WithTimeout(ctx, r.cfg.OrderTimeout)
	defer cancel()
	err := c.Order(ctx, upstream.Order{
		Fencing:  fencing,
		Model:    e.Model,
		Version:  strconv.FormatUint(target, 10),
		Expected: &report.Orders,
	})
	if errors.Is(err, upstream.ErrOrderConflict) {
		return r.cfg.PollInterval, nil // its state has changed since the report
	}
	if err != nil {
		return 0, fmt.Errorf("order: %w", err)
	}
	return r.cfg.FirstPollDelay, nil
}

// reportedVersion returns the version of a model's weights in a report; 0 if it names
// none.
func reportedVersion(report upstream.Report, model string) uint64 {
	m, _ := lo.Find(report.Models, func(m upstream.LoadedModel) bool { return m.Model == model })
	v, err := strconv.ParseUint(m.Version, 10, 64)
	if err != nil {
		return 0
	}
	return v
}
