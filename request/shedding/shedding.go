// Package shedding refuses requests, at once, that would wait too long for
// their first token. A limit on the number of requests in flight can't do
// that for model engines: what queues there is prompts to compute, and a
// request that streams its answer takes next to none of it. The placement's
// estimate of the wait is the measure instead; see docs/design/shedding.md.
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

// ErrConfig means that a setting of this package is out of its range.
var ErrConfig = errors.New("shedding: setting out of range")

// Config sets a Shedder.
type Config struct {
	Seed uint64 // of the RetryAfter jitter; another on each node
	// Urgent and Other are the part of a request's patience that the expected
	// wait may take under overload. They leave room for the error of the
	// estimate, and the smaller one keeps the queue short that urgent
	// requests have to pass.
	Urgent float64
	Other  float64
	// Calm is the part without overload: a burst that the upstreams work off
	// by themselves is no reason to refuse anybody.
	Calm float64
	// Low and High are the parts of the recent requests whose wait is over
	// Urgent or Other: up to Low it is calm, from High on it is overload, and
	// between them the allowed part goes from the one to the other. A burst
	// passes; a queue that stands raises it until the requests that make it
	// stand are refused.
	Low  float64
	High float64
	// UrgentPatience and OtherPatience are how long a request without a
	// deadline is taken to wait for its first token.
	UrgentPatience time.Duration
	OtherPatience  time.Duration
	// LeastFactor is what the part is multiplied with for a workspace that
	// takes far more than its share; one that takes less gets up to
	// MostFactor times the part.
	LeastFactor float64
	MostFactor  float64
	// Memory is the time in which what a workspace took is forgotten to a
	// third.
	Memory time.Duration
	// Floor is the part of its class's share that the requests of each length of prompt
	// get at least, where they can be served at all. Without one the longest, whose own
	// reading is part of their wait, are refused first whenever anybody is, and refused
	// again when they come back: of the longest tenth on a fleet that gets twice what it
	// can do, 0.18 were served of 0.30. With it every tenth gets 0.7 of that or more, at no
	// loss of work done in time (0.880 and 0.810 of capacity, 0.884 and 0.799 before).
	Floor float64
	// LengthMemory is the same as Memory for what was sent of each length: some ten
	// requests of a length on a node that gets a few a second. A floor of 0.9 over 10 s let
	// in more than it moved: under a flood of one workspace the small ones got 0.74 and
	// 0.59 in time, 0.78 and 0.81 with these, 0.80 and 0.82 without a floor.
	LengthMemory time.Duration
	// MinReturn is the shortest RetryAfter before the spread.
	MinReturn time.Duration
	// MaxWorkspaces bounds the workspaces that are remembered.
	MaxWorkspaces int
}

// Default is the setting that the measurements chose.
var Default = Config{
	Urgent: 0.2, Other: 0.12, Calm: 0.8, Low: 0.2, High: 0.4,
	UrgentPatience: 3 * time.Second, OtherPatience: 15 * time.Second,
	LeastFactor: 0.5, MostFactor: 2,
	Memory: 5 * time.Second, Floor: 0.85, LengthMemory: 30 * time.Second, MinReturn: 200 * time.Millisecond,
	MaxWorkspaces: 4096,
}

// Check gives every fault of the settings.
func (c Config) Check() error {
	var faults []error
	add := func(ok bool, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", what, ErrConfig))
		}
	}
	add(c.Urgent > 0 && c.Urgent <= 1, "Urgent must lie between 0 and 1")
	add(c.Other > 0 && c.Other <= 1, "Other must lie between 0 and 1")
	add(c.Calm > 0 && c.Calm <= 1, "Calm must lie between 0 and 1")
	add(c.Low >= 0 && c.Low < c.High && c.High <= 1, "Low and High must lie between 0 and 1 in this order")
	add(c.UrgentPatience > 0, "UrgentPatience must be positive")
	add(c.OtherPatience > 0, "OtherPatience must be positive")
	add(c.LeastFactor > 0 && c.LeastFactor <= 1, "LeastFactor must lie between 0 and 1")
	add(c.MostFactor >= 1, "MostFactor must be at least 1")
	add(c.Memory > 0, "Memory must be positive")
	add(c.Floor >= 0 && c.Floor <= 1, "Floor must lie between 0 and 1")
	add(c.LengthMemory > 0, "LengthMemory must be positive")
	add(c.MinReturn > 0, "MinReturn must be positive")
	add(c.MaxWorkspaces >= 1, "MaxWorkspaces must be at least 1")
	return errors.Join(faults...)
}

// Ask is a request about to be sent.
type Ask struct {
	ID        string
	Workspace string
	Weight    float64 // of the workspace, from the configuration; 0 counts as 1
	Urgent    bool
	Class     int // priority of its caller, 0 to 9; lengths are compared within one
	Tokens    int // of its prompt
	// Wait is the expected time to the first token at the upstream chosen, and Own the
	// part of it that the request would take there without any other work.
	Wait time.Duration
	Own  time.Duration
	// FirstTokenBy is the latest useful first token; zero: the patience of
	// its kind, from now.
	FirstTokenBy time.Time
}

// Shedder decides for one node. mu guards all of it.
type Shedder struct {
	cfg Config

	mu         sync.Mutex
	workspaces map[string]*usage
	total      decay.Sum
	lengths    [mostClasses][2]lengths // by Ask.Class; of workspaces over their share, and of others
	asks       decay.Sum               // requests
	over       decay.Sum               // of them, those with a wait over Urgent or Other
	weights    float64                 // of the workspaces with usage, as of counted
	counted    time.Time               // when they were last added up
}

// New starts without usage.
func New(cfg Config) (*Shedder, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Shedder{cfg: cfg, workspaces: map[string]*usage{}}, nil
}

// usage is what one workspace took lately.
type usage struct {
	decay.Sum
	weight float64
}

// Verdict is what was decided about a request, and by what.
type Verdict struct {
	// Err is nil if the request may be sent, else its final answer: it was not
	// run, and when to come back.
	Err      *failure.Error
	Allowed  time.Duration // the longest wait with which it is sent
	Overload float64       // 0 in calm, 1 under full overload
	Share    float64       // the factor of its workspace's share
	// Floored says that it is sent although it waits longer, as too few of its length
	// were sent.
	Floored bool
}

// Decide says whether the request may be sent.
func (s *Shedder) Decide(now time.Time, a Ask) Verdict {
	v := s.judge(now, a)
	if a.Wait <= v.Allowed || v.Floored {
		return v
	}
	back := limit.Spread(s.cfg.Seed, a.ID, max(s.cfg.MinReturn, a.Wait-v.Allowed))
	v.Err = failure.ErrOverloaded.WithRetryAfter(back).
		WithCause(fmt.Errorf("expected wait %s, allowed %s", a.Wait, v.Allowed))
	return v
}

// judge gives the longest wait with which the request is sent, and whether it is sent
// beyond that. How much is let in is decided by the waits, and whom that refuses by the
// floor: a wait holds the request's own reading, so that the longest prompts would pay
// for all others, whoever made the queue.
func (s *Shedder) judge(now time.Time, a Ask) Verdict {
	patience := float64(s.patience(now, a))
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.factor(now, a)
	tight := share * s.part(a)
	s.note(now, float64(a.Wait) > tight*patience)
	overload := s.overload(now)
	allowed := time.Duration((s.cfg.Calm + overload*(min(tight, s.cfg.Calm)-s.cfg.Calm)) * patience)
	v := Verdict{Allowed: allowed, Overload: overload, Share: share}
	l := s.lengthsOf(a, share)
	// One that others' work alone makes late is refused whatever its length is owed. Its
	// own reading is left out: an estimate that takes engines to read a fifth as fast as
	// they do kept the floor from half of the longest prompts.
	inTime := patience > 0 && float64(a.Wait-a.Own) <= s.cfg.Calm*patience
	v.Floored = a.Wait > allowed && inTime && l.behind(now, s.cfg, a.Tokens)
	l.add(now, s.cfg.LengthMemory, a.Tokens, a.Wait <= allowed || v.Floored)
	return v
}

// lengthsOf gives the counts that a request is compared within.
func (s *Shedder) lengthsOf(a Ask, share float64) *lengths {
	class := &s.lengths[min(max(a.Class, 0), mostClasses-1)]
	if share < 1 {
		return &class[0]
	}
	return &class[1]
}

// note counts a request for the measure of overload.
func (s *Shedder) note(now time.Time, over bool) {
	s.asks.Add(now, s.cfg.Memory, 1)
	if over {
		s.over.Add(now, s.cfg.Memory, 1)
	}
}

// overload is 0 in calm and 1 under full overload.
func (s *Shedder) overload(now time.Time) float64 {
	part := s.over.At(now, s.cfg.Memory) / s.asks.At(now, s.cfg.Memory)
	return min(1, max(0, (part-s.cfg.Low)/(s.cfg.High-s.cfg.Low)))
}

func (s *Shedder) part(a Ask) float64 {
	if a.Urgent {
		return s.cfg.Urgent
	}
	return s.cfg.Other
}

func (s *Shedder) patience(now time.Time, a Ask) time.Duration {
	switch {
	case !a.FirstTokenBy.IsZero():
		return a.FirstTokenBy.Sub(now)
	case a.Urgent:
		return s.cfg.UrgentPatience
	}
	return s.cfg.OtherPatience
}

// Sent notes the prompt tokens that a request has an upstream compute.
func (s *Shedder) Sent(now time.Time, workspace string, weight float64, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.workspaces[workspace]
	if !ok {
		s.makeRoom(now)
		u = &usage{}
		s.workspaces[workspace] = u
	}
	u.weight = weightOf(weight)
	u.Add(now, s.cfg.Memory, float64(tokens))
	s.total.Add(now, s.cfg.Memory, float64(tokens))
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// factor compares what the workspace took lately with its share among those
// that took anything. Without it a large workspace's requests, being more,
// keep the small ones' waiting as long as its own.
func (s *Shedder) factor(now time.Time, a Ask) float64 {
	u, ok := s.workspaces[a.Workspace]
	total := s.total.At(now, s.cfg.Memory)
	if !ok || total <= 0 {
		return s.cfg.MostFactor
	}
	s.count(now)
	took := u.At(now, s.cfg.Memory) / total
	fair := weightOf(a.Weight) / max(s.weights, weightOf(a.Weight))
	return min(s.cfg.MostFactor, max(s.cfg.LeastFactor, fair/max(took, math.SmallestNonzeroFloat32)))
}

// countInterval is how old the sum of the weights may be: adding them up for
// each request would cost more than the decision itself.
const countInterval = 500 * time.Millisecond

// activePart is the part of the total below which a workspace doesn't count
// as one that takes anything.
const activePart = 0.001

func (s *Shedder) count(now time.Time) {
	if now.Sub(s.counted) < countInterval {
		return
	}
	s.counted = now
	s.weights = 0
	least := activePart * s.total.At(now, s.cfg.Memory)
	for name, u := range s.workspaces {
		v := u.At(now, s.cfg.Memory)
		switch {
		case v >= least:
			s.weights += u.weight
		case v < 1:
			delete(s.workspaces, name)
		}
	}
}

// makeRoom forgets the workspace that took least, if there are too many.
func (s *Shedder) makeRoom(now time.Time) {
	if len(s.workspaces) < s.cfg.MaxWorkspaces {
		return
	}
	least, name := math.Inf(1), ""
	for n, u := range s.workspaces {
		if v := u.At(now, s.cfg.Memory); v < least || v == least && n < name {
			least, name = v, n
		}
	}
	delete(s.workspaces, name)
}
