// Package shedding immediately refuses requests that would wait too long for their
// first token. A limit on the number of requests in flight cannot do that for model
// engines: their queue consists of prompts to compute, and a request that streams its
// answer adds almost nothing to it. The decision uses the wait that placement
// estimates instead; see docs/design/shedding.md.
package shedding

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/decay"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
)

// ErrConfig means that a setting of this package is out of range.
var ErrConfig = errors.New("shedding: setting out of range")

// Config configures a Shedder.
type Config struct {
	Seed uint64 // of the RetryAfter jitter; different on each node
	// UrgentWaitFraction and OtherWaitFraction are the fractions of a request's
	// first-token budget that the expected wait may take under overload. They leave
	// room for the error of the estimate, and the smaller one keeps the queue short
	// that urgent requests have to pass.
	UrgentWaitFraction float64
	OtherWaitFraction  float64
	// NormalWaitFraction is the fraction without overload: a burst that the upstreams
	// can work off by themselves is no reason to refuse a request.
	NormalWaitFraction float64
	// OverloadStart and OverloadFull apply to the fraction of the recent requests
	// whose wait exceeds what UrgentWaitFraction or OtherWaitFraction allows. Up to
	// OverloadStart there is no overload, from OverloadFull on there is full overload,
	// and in between the allowed wait is interpolated. A burst passes; a lasting queue
	// raises the fraction until the requests that cause it are refused.
	OverloadStart float64
	OverloadFull  float64
	// UrgentFirstTokenBudget and OtherFirstTokenBudget are how long a request without
	// a deadline is assumed to wait for its first token.
	UrgentFirstTokenBudget time.Duration
	OtherFirstTokenBudget  time.Duration
	// MinShareFactor multiplies the wait fraction of a workspace that uses far more
	// than its share; one that uses less gets up to MaxShareFactor times the fraction.
	MinShareFactor float64
	MaxShareFactor float64
	// UsageDecay is the time after which the usage of a workspace counts for 1/e,
	// about a third.
	UsageDecay time.Duration
	// LengthFloor is the least fraction that the requests of each prompt length get of
	// the share that is sent of their priority, where they can be served at all.
	// Without a floor, the longest prompts, whose own computing is part of their wait,
	// are refused first whenever any request is, and refused again when they retry: on
	// a fleet with twice the load that it can serve, 0.18 of the longest tenth were
	// served, of 0.30 overall. With the floor every tenth gets 0.7 of the overall
	// share or more, without loss of work done in time (0.880 and 0.810 of capacity,
	// against 0.884 and 0.799 without it).
	LengthFloor float64
	// LengthDecay is the same as UsageDecay for the requests sent of each length:
	// about ten requests of a length on a node that receives a few per second. A floor
	// of 0.9 over 10 s admitted more requests than it displaced: under a flood from
	// one workspace, small workspaces were served 0.74 and 0.59 in time, against 0.78
	// and 0.81 with the default values and 0.80 and 0.82 without a floor.
	LengthDecay time.Duration
	// MinRetryAfter is the shortest RetryAfter before the jitter.
	MinRetryAfter time.Duration
	// MaxWorkspaces bounds the workspaces that are remembered.
	MaxWorkspaces int
}

// DefaultConfig holds the defaults of all settings except Seed.
var DefaultConfig = Config{
	UrgentWaitFraction: 0.2, OtherWaitFraction: 0.12, NormalWaitFraction: 0.8, OverloadStart: 0.2, OverloadFull: 0.4,
	UrgentFirstTokenBudget: 3 * time.Second, OtherFirstTokenBudget: 15 * time.Second,
	MinShareFactor: 0.5, MaxShareFactor: 2,
	UsageDecay: 5 * time.Second, LengthFloor: 0.85, LengthDecay: 30 * time.Second, MinRetryAfter: 200 * time.Millisecond,
	MaxWorkspaces: 4096,
}

// Check returns all errors in the settings.
func (c Config) Check() error {
	var errs []error
	add := func(ok bool, message string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %w", message, ErrConfig))
		}
	}
	add(c.UrgentWaitFraction > 0 && c.UrgentWaitFraction <= 1, "UrgentWaitFraction must lie between 0 and 1")
	add(c.OtherWaitFraction > 0 && c.OtherWaitFraction <= 1, "OtherWaitFraction must lie between 0 and 1")
	add(c.NormalWaitFraction > 0 && c.NormalWaitFraction <= 1, "NormalWaitFraction must lie between 0 and 1")
	add(c.OverloadStart >= 0 && c.OverloadStart < c.OverloadFull && c.OverloadFull <= 1, "OverloadStart and OverloadFull must lie between 0 and 1 in this order")
	add(c.UrgentFirstTokenBudget > 0, "UrgentFirstTokenBudget must be positive")
	add(c.OtherFirstTokenBudget > 0, "OtherFirstTokenBudget must be positive")
	add(c.MinShareFactor > 0 && c.MinShareFactor <= 1, "MinShareFactor must lie between 0 and 1")
	add(c.MaxShareFactor >= 1, "MaxShareFactor must be at least 1")
	add(c.UsageDecay > 0, "UsageDecay must be positive")
	add(c.LengthFloor >= 0 && c.LengthFloor <= 1, "LengthFloor must lie between 0 and 1")
	add(c.LengthDecay > 0, "LengthDecay must be positive")
	add(c.MinRetryAfter > 0, "MinRetryAfter must be positive")
	add(c.MaxWorkspaces >= 1, "MaxWorkspaces must be at least 1")
	return errors.Join(errs...)
}

// Request is a request that is about to be sent.
type Request struct {
	ID           string
	Workspace    string
	Weight       float64 // of the workspace, from the configuration; 0 counts as 1
	Urgent       bool
	Priority     int    // priority of the caller, 0 to 9
	Kind         string // name of the requests that are alike but for their length, such as a route's; empty: not known
	PromptTokens int    // length of its prompt
	// Wait is the expected time to first token on the chosen upstream, and IdleWait
	// the part of it that the request would take there without any other work.
	Wait     time.Duration
	IdleWait time.Duration
	// Goal is the time from now on within which the first token is in time for the caller;
	// 0: not known.
	Goal time.Duration
	// Work is the engine time that computing its prompt takes; 0: not known.
	Work time.Duration
	// Grant is how long the caller waits; 0: not stated.
	Grant time.Duration
	// FirstTokenDeadline is the latest useful time of the first token; zero: the
	// default first-token budget applies, from now on.
	FirstTokenDeadline time.Time
}

// Shedder decides for one node. mu guards all of it.
type Shedder struct {
	cfg   Config
	goals *goals // nil: requests are not judged by their goals

	mu              sync.Mutex
	workspaces      map[string]*usage
	totalTokens     decay.Sum
	groups          groups
	peerReports     map[string]peerReport // by source
	peerCounts      peerGroups            // sum of peerReports at peersSummedAt
	peersSummedAt   time.Time
	requests        decay.Sum
	overLimit       decay.Sum // requests with a wait over UrgentWaitFraction or OtherWaitFraction
	activeWeight    float64   // sum over the workspaces with usage, at weightsSummedAt
	weightsSummedAt time.Time
}

// New returns a Shedder without any recorded usage.
func New(cfg Config) (*Shedder, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Shedder{cfg: cfg, workspaces: map[string]*usage{}, groups: groups{}, peerReports: map[string]peerReport{}}, nil
}

// usage is the recent usage of one workspace in prompt tokens.
type usage struct {
	decay.Sum
	weight float64
}

// Decision is the decision about a request, with the values behind it.
type Decision struct {
	// Err is nil if the request may be sent. Otherwise it is the final answer to the
	// request: that it was not run, and when to retry.
	Err         *failure.Error
	AllowedWait time.Duration // longest wait with which the request is sent
	Overload    float64       // 0 without overload, 1 under full overload
	ShareFactor float64       // factor for the workspace's share
	// FloorApplied means that the request is sent although it exceeds AllowedWait,
	// because too few requests of its length were sent.
	FloorApplied bool
	// LateByOthers means that the floor does not apply, as other work alone makes the
	// request late.
	LateByOthers bool
	ClassShare   float64 // fraction of the requests compared with it that were sent recently
	LengthShare  float64 // the same for those of its length
	LengthCount  float64 // recent requests of its length, without the prior ones
	Returning    bool    // its caller has been rejected before
}

// Decide decides whether the request may be sent.
func (s *Shedder) Decide(now time.Time, r Request) Decision {
	d := s.evaluate(now, r)
	if r.Wait <= d.AllowedWait || d.FloorApplied {
		s.goals.recordSent(now, r)
		return d
	}
	d.Err = failure.ErrOverloaded.WithRetryAfter(s.retryAfter(now, r, d)).
		WithCause(fmt.Errorf("expected wait %s, allowed %s", r.Wait, d.AllowedWait))
	return d
}

// evaluate returns the longest wait with which the request is sent, and whether it is
// sent beyond that. The waits decide how many requests are admitted, and the floor
// which ones are refused: a wait includes the computing of the request itself, so that
// the longest prompts would pay for all others, whoever caused the queue.
func (s *Shedder) evaluate(now time.Time, r Request) Decision {
	budget := float64(s.firstTokenBudget(now, r))
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.judge(now, r, budget)
	share, allowed := d.ShareFactor, d.AllowedWait
	group, countsBySide := s.groups.of(now, s.cfg.LengthDecay, keyOf(r))
	side := sideOf(share < 1)
	counts := &countsBySide[side]
	// A request that is late because of other work alone is refused, whatever the
	// floor of its length. Its own computing is left out: an estimate that assumed a
	// fifth of the engines' real prefill rate excluded half of the longest prompts
	// from the floor.
	d.LateByOthers = budget <= 0 || float64(r.Wait-r.IdleWait) > s.cfg.NormalWaitFraction*budget
	if now.Sub(s.peersSummedAt) > reportLife {
		s.sumPeerReports(now)
	}
	d.ClassShare, d.LengthShare, d.LengthCount = counts.shares(now, s.cfg, s.peerCounts.of(group, side), r.PromptTokens)
	d.FloorApplied = r.Wait > allowed && !d.LateByOthers && d.LengthShare < s.cfg.LengthFloor*d.ClassShare
	counts.add(now, s.cfg.LengthDecay, r.PromptTokens, r.Wait <= allowed || d.FloorApplied)
	return d
}

// judge returns the decision without the floor: by the goal of the request, if it has one.
func (s *Shedder) judge(now time.Time, r Request, budget float64) Decision {
	if s.goals != nil && r.Goal > 0 {
		return s.goals.judge(now, r, time.Duration(s.cfg.NormalWaitFraction*budget))
	}
	share := s.shareFactor(now, r)
	overloadFraction := share * s.waitFraction(r)
	s.recordWait(now, float64(r.Wait) > overloadFraction*budget)
	overload := s.overload(now)
	allowed := time.Duration((s.cfg.NormalWaitFraction + overload*(min(overloadFraction, s.cfg.NormalWaitFraction)-s.cfg.NormalWaitFraction)) * budget)
	return Decision{AllowedWait: allowed, Overload: overload, ShareFactor: share}
}

// retryAfter returns when the caller of a rejected request is to retry; 0 if a retry could
// not be served either.
func (s *Shedder) retryAfter(now time.Time, r Request, d Decision) time.Duration {
	if s.goals != nil && r.Goal > 0 {
		return s.goals.retryAfter(now, r, d)
	}
	return limit.AddJitter(s.cfg.Seed, r.ID, max(s.cfg.MinRetryAfter, r.Wait-d.AllowedWait))
}

// Sides of a workspace's share, by which requests are compared.
const (
	overShare = iota
	withinShare
)

func sideOf(over bool) int {
	if over {
		return overShare
	}
	return withinShare
}

// recordWait counts a request for the estimate of overload.
func (s *Shedder) recordWait(now time.Time, over bool) {
	s.requests.Add(now, s.cfg.UsageDecay, 1)
	if over {
		s.overLimit.Add(now, s.cfg.UsageDecay, 1)
	}
}

// overload returns 0 without overload and 1 under full overload.
func (s *Shedder) overload(now time.Time) float64 {
	fraction := s.overLimit.ValueAt(now, s.cfg.UsageDecay) / s.requests.ValueAt(now, s.cfg.UsageDecay)
	return min(1, max(0, (fraction-s.cfg.OverloadStart)/(s.cfg.OverloadFull-s.cfg.OverloadStart)))
}

func (s *Shedder) waitFraction(r Request) float64 {
	if r.Urgent {
		return s.cfg.UrgentWaitFraction
	}
	return s.cfg.OtherWaitFraction
}

func (s *Shedder) firstTokenBudget(now time.Time, r Request) time.Duration {
	switch {
	case !r.FirstTokenDeadline.IsZero():
		return r.FirstTokenDeadline.Sub(now)
	case r.Urgent:
		return s.cfg.UrgentFirstTokenBudget
	}
	return s.cfg.OtherFirstTokenBudget
}

// RecordSent records the prompt tokens that a request makes an upstream compute.
func (s *Shedder) RecordSent(now time.Time, workspace string, weight float64, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.workspaces[workspace]
	if !ok {
		s.evictWorkspace(now)
		u = &usage{}
		s.workspaces[workspace] = u
	}
	u.weight = weightOf(weight)
	u.Add(now, s.cfg.UsageDecay, float64(tokens))
	s.totalTokens.Add(now, s.cfg.UsageDecay, float64(tokens))
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// shareFactor compares the recent usage of the workspace with its fair share among the
// workspaces with usage. Without it, the more numerous requests of a large workspace
// make those of small ones wait as long as its own.
func (s *Shedder) shareFactor(now time.Time, r Request) float64 {
	u, ok := s.workspaces[r.Workspace]
	total := s.totalTokens.ValueAt(now, s.cfg.UsageDecay)
	if !ok || total <= 0 {
		return s.cfg.MaxShareFactor
	}
	s.sumWeights(now)
	usedShare := u.ValueAt(now, s.cfg.UsageDecay) / total
	fairShare := weightOf(r.Weight) / max(s.activeWeight, weightOf(r.Weight))
	return min(s.cfg.MaxShareFactor, max(s.cfg.MinShareFactor, fairShare/max(usedShare, math.SmallestNonzeroFloat32)))
}

// weightsInterval is the longest time for which the sum of the weights is reused:
// summing for each request would cost more than the decision itself.
const weightsInterval = 500 * time.Millisecond

// activeFraction is the fraction of the total usage below which a workspace does not
// count as active.
const activeFraction = 0.001

func (s *Shedder) sumWeights(now time.Time) {
	if now.Sub(s.weightsSummedAt) < weightsInterval {
		return
	}
	s.weightsSummedAt = now
	s.activeWeight = 0
	minUsage := activeFraction * s.totalTokens.ValueAt(now, s.cfg.UsageDecay)
	for name, u := range s.workspaces {
		tokens := u.ValueAt(now, s.cfg.UsageDecay)
		switch {
		case tokens >= minUsage:
			s.activeWeight += u.weight
		case tokens < 1:
			delete(s.workspaces, name)
		}
	}
}

// evictWorkspace removes the workspace with the least usage, if there are too many.
func (s *Shedder) evictWorkspace(now time.Time) {
	if len(s.workspaces) < s.cfg.MaxWorkspaces {
		return
	}
	minUsage, evicted := math.Inf(1), ""
	for name, u := range s.workspaces {
		if tokens := u.ValueAt(now, s.cfg.UsageDecay); tokens < minUsage || tokens == minUsage && name < evicted {
			minUsage, evicted = tokens, name
		}
	}
	delete(s.workspaces, evicted)
}
