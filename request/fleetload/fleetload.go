// Package fleetload holds what load shedding decides by: how overloaded the fleet is, and
// how much of it each workspace uses. Both are counted over all nodes, which exchange
// reports: a node of a large fleet gets too few requests to judge by its own. A node that
// hears from no other node judges by its own counts.
package fleetload

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/request/decay"
)

// ErrConfig means that a setting of this package is out of range.
var ErrConfig = errors.New("fleetload: setting out of range")

// MaxReportedWorkspaces bounds the workspaces that a report lists: a report of as many
// takes less than 700 bytes when encoded, at usual loads.
const MaxReportedWorkspaces = 32

const (
	// maxShareFactor is the share factor of a workspace without recent usage, and the
	// largest of all.
	maxShareFactor = 4
	// viewInterval is how long the shares and the counts of the other nodes are reused:
	// adding up all workspaces for each request would cost more than the decision itself.
	viewInterval = 250 * time.Millisecond
	// minRequests is the number of recent requests that fewer ones count as. Without it,
	// one miss would count as full overload until the next request, however late.
	minRequests = 1
	// minWeight and maxWeight bound the weights of workspaces. The smallest is the
	// precision of weights in reports.
	minWeight, maxWeight = weightUnit, 10_000
)

// Config configures a Tracker.
type Config struct {
	// UsageDecay is the time after which the usage of a workspace counts for 1/e, about a
	// third, and ForecastDecay the same for the requests by which overload is judged.
	UsageDecay    time.Duration
	ForecastDecay time.Duration
	// OverloadStart and OverloadFull apply to the fraction of the recent requests that
	// are predicted to miss their goal. Up to OverloadStart there is no overload, from
	// OverloadFull on there is full overload, and it is interpolated in between.
	OverloadStart float64
	OverloadFull  float64
	// DemandHeadroom is the fraction by which the demand of a workspace is taken to
	// exceed its usage. Without headroom, the max-min shares of what has been used are
	// the usages themselves, and no workspace would be over its share. The smaller it is,
	// the fewer workspaces of nearly the same usage are over it by chance.
	DemandHeadroom float64
	// ReportedWorkspaces is how many workspaces a report lists, at most
	// MaxReportedWorkspaces.
	ReportedWorkspaces int
	// MaxWorkspaces bounds the workspaces that are remembered of this node's requests.
	MaxWorkspaces int
	// ReportLife is how long a report is used, such as for three intervals in which
	// reports are sent.
	ReportLife time.Duration
}

// DefaultConfig holds the defaults of all settings.
var DefaultConfig = Config{
	UsageDecay: 3 * time.Second, ForecastDecay: 2 * time.Second, OverloadStart: 0.2, OverloadFull: 0.4, DemandHeadroom: 0.25,
	ReportedWorkspaces: MaxReportedWorkspaces, MaxWorkspaces: 4096, ReportLife: 3 * time.Second,
}

// Check returns all errors in the settings. Each is an ErrConfig.
func (c Config) Check() error {
	var errs []error
	add := func(ok bool, message string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %w", message, ErrConfig))
		}
	}
	add(c.UsageDecay > 0, "UsageDecay must be positive")
	add(c.ForecastDecay > 0, "ForecastDecay must be positive")
	add(c.OverloadStart >= 0 && c.OverloadStart < c.OverloadFull && c.OverloadFull <= 1, "OverloadStart and OverloadFull must lie between 0 and 1 in this order")
	add(c.DemandHeadroom > 0 && c.DemandHeadroom <= 10, "DemandHeadroom must lie between 0 and 10")
	add(c.ReportedWorkspaces >= 1 && c.ReportedWorkspaces <= MaxReportedWorkspaces, fmt.Sprintf("ReportedWorkspaces must lie between 1 and %d", MaxReportedWorkspaces))
	add(c.MaxWorkspaces >= 1, "MaxWorkspaces must be at least 1")
	add(c.ReportLife > 0, "ReportLife must be positive")
	return errors.Join(errs...)
}

// ID identifies a workspace in reports: a hash of its name.
type ID uint32

// IDOf returns the id of the workspace with a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Tracker holds the state of one node.
type Tracker struct {
	cfg Config

	mu         sync.Mutex // guards the fields below
	workspaces map[ID]*usage
	requests   decay.Sum
	misses     decay.Sum             // requests predicted to miss their goal
	reports    map[string]peerReport // by source
	view       view
	viewStale  bool // the view must be computed before its interval has passed
}

// usage is the recent usage of one workspace at this node, in seconds of engine time.
type usage struct {
	decay.Sum
	weight float64
}

// New returns a Tracker without any counts. The error is an ErrConfig.
func New(cfg Config) (*Tracker, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Tracker{cfg: cfg, workspaces: map[ID]*usage{}, reports: map[string]peerReport{}, viewStale: true}, nil
}

// RecordSent records a request that this node has sent, with the engine time that it
// takes. Weight is the workspace's, from the configuration; 0 counts as 1.
func (t *Tracker) RecordSent(now time.Time, workspace string, weight float64, work time.Duration) {
	if work <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	id := IDOf(workspace)
	u := t.workspaces[id]
	if u == nil {
		t.evictWorkspace(now)
		u = &usage{}
		t.workspaces[id] = u
	}
	u.weight = weightOf(weight)
	u.Add(now, t.cfg.UsageDecay, work.Seconds())
}

// weightOf returns the weight that a configured one counts as.
func weightOf(w float64) float64 {
	if !(w > 0) { // including NaN
		return 1
	}
	return min(maxWeight, max(minWeight, w))
}

// evictWorkspace removes the workspace with the least usage, if there are too many.
func (t *Tracker) evictWorkspace(now time.Time) {
	if len(t.workspaces) < t.cfg.MaxWorkspaces {
		return
	}
	minUsed, evicted := math.Inf(1), ID(0)
	for id, u := range t.workspaces {
		if used := u.ValueAt(now, t.cfg.UsageDecay); used < minUsed || used == minUsed && id < evicted {
			minUsed, evicted = used, id
		}
	}
	delete(t.workspaces, evicted)
}

// RecordForecast records a request of this node, sent or not, and whether its predicted
// first token misses its goal. It counts for as many requests as weight says, such as in
// proportion to the engine time that it takes.
func (t *Tracker) RecordForecast(now time.Time, weight float64, missesGoal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.Add(now, t.cfg.ForecastDecay, weight)
	if missesGoal {
		t.misses.Add(now, t.cfg.ForecastDecay, weight)
	}
}

// Overload returns the overload of the fleet: 0 without overload or without recent
// requests, and 1 under full overload.
func (t *Tracker) Overload(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, life := t.viewAt(now), t.cfg.ForecastDecay
	requests := t.requests.ValueAt(now, life) + v.requests.ValueAt(now, life)
	misses := t.misses.ValueAt(now, life) + v.misses.ValueAt(now, life)
	fraction := misses / max(minRequests, requests)
	return min(1, max(0, (fraction-t.cfg.OverloadStart)/(t.cfg.OverloadFull-t.cfg.OverloadStart)))
}

// ShareFactor returns the fair share of the workspace divided by its share of the recent
// usage of the fleet: 1 if it uses just its share, less if it uses more, 4 at most and
// without usage. The shares are max-min fair: each workspace is entitled to the same part
// by weight, and what some leave unused goes to the others. Weight is the workspace's,
// from the configuration; 0 counts as 1. The usage is up to a quarter of a second old.
//
// Unless all use exactly the same, the workspace with the most usage by weight is always
// over its share.
func (t *Tracker) ShareFactor(now time.Time, workspace string, weight float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	used := v.used[IDOf(workspace)]
	if used <= 0 {
		return maxShareFactor
	}
	return min(maxShareFactor, weightOf(weight)*v.level/used)
}
