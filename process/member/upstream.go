package member

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Health -output=upstream_string.go

// Health is what this node believes of an upstream.
type Health uint8

const (
	// Sound upstreams answer, or nothing is known of them.
	Sound Health = iota
	// Doubtful upstreams failed of late; others are to be preferred.
	Doubtful
	// Down upstreams fail all calls of those nodes that tried.
	Down
)

// Bounds and weights of the evidence about upstreams.
const (
	// MaxUpstreams bounds the table.
	MaxUpstreams = 8192
	// maxReports bounds what one node tells the others.
	maxReports = 24
	// maxReporters bounds the nodes whose word is kept for one upstream.
	maxReporters = 8
	// evidenceHalfLife is after how long a call's outcome counts half.
	evidenceHalfLife = 5 * time.Second
	// ownWeight is how much more this node's own calls count than one peer's
	// report: the fault may lie between that peer and the upstream.
	ownWeight = 2
	// doubtfulShare and downShare are parts of the weighed calls that failed.
	doubtfulShare = 0.5
	downShare     = 0.9
	// minEvidence is the weight of calls under which nothing is concluded.
	minEvidence = 3
	// minTold is the weight of own calls under which peers are told nothing.
	minTold = 1.5
	// toldStep rounds what peers are told, which makes it shorter.
	toldStep = 0.25
	// reportAge is after how long a peer's report counts no more.
	reportAge = 4 * evidenceHalfLife
)

// Outcomes is weighed evidence: calls that were answered and that failed,
// each counting less the older it is.
type Outcomes struct {
	Answered float64
	Failed   float64
}

func (o Outcomes) sum() float64 { return o.Answered + o.Failed }

func (o Outcomes) scaled(f float64) Outcomes {
	return Outcomes{Answered: o.Answered * f, Failed: o.Failed * f}
}

func (o Outcomes) rounded() Outcomes {
	round := func(f float64) float64 { return math.Round(f/toldStep) * toldStep }
	return Outcomes{Answered: round(o.Answered), Failed: round(o.Failed)}
}

func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered + p.Answered, Failed: o.Failed + p.Failed}
}

// Report is what one node tells of one upstream.
type Report struct {
	Upstream string
	Outcomes Outcomes
	// Draining, with the configuration offset that said so or took it back.
	Draining bool
	Offset   platform.Offset
}

// Upstreams is one node's evidence about the upstreams: outcomes of its own
// calls and what peers tell. Its methods may be called from many goroutines;
// mu is its only lock.
type Upstreams struct {
	mu      sync.Mutex
	known   map[string]*upstreamEvidence
	applied platform.Offset // configuration that this node has itself
}

type upstreamEvidence struct {
	own   Outcomes
	at    time.Time // of own
	peers map[string]peerReport
	mark  drainMark
}

type peerReport struct {
	outcomes Outcomes
	at       time.Time
}

// drainMark says what the configuration says of an upstream, and since which
// offset.
type drainMark struct {
	offset   platform.Offset
	draining bool
}

// NewUpstreams gives a table without evidence.
func NewUpstreams() *Upstreams {
	return &Upstreams{known: map[string]*upstreamEvidence{}}
}

func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(evidenceHalfLife))
}

// Observe takes in the outcome of a call of this node's own.
func (u *Upstreams) Observe(now time.Time, upstream string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.entry(upstream)
	if e == nil {
		return
	}
	e.own = e.own.scaled(decay(now.Sub(e.at)))
	e.at = now
	if ok {
		e.own.Answered++
	} else {
		e.own.Failed++
	}
}

// Restarted forgets what was known: the upstream is another process now, and
// the failures of the former must not keep work from it.
func (u *Upstreams) Restarted(upstream string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.known[upstream]; e != nil {
		e.own, e.peers = Outcomes{}, nil
	}
}

// SetDraining says what the configuration that this node has applied holds of
// all upstreams that are not to get new work. It replaces marks up to that
// offset, and those only: a mark from a peer that is ahead stays.
func (u *Upstreams) SetDraining(offset platform.Offset, draining []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if offset < u.applied {
		return
	}
	u.applied = offset
	for name, e := range u.known {
		if e.mark.offset <= offset && e.mark.draining && !slices.Contains(draining, name) {
			e.mark = drainMark{offset: offset}
		}
	}
	for _, name := range draining {
		if e := u.entry(name); e != nil && e.mark.offset <= offset && !e.mark.draining {
			e.mark = drainMark{offset: offset, draining: true}
		}
	}
}

func (u *Upstreams) entry(name string) *upstreamEvidence {
	e := u.known[name]
	if e == nil && name != "" && len(name) <= MaxNameBytes && len(u.known) < MaxUpstreams {
		e = &upstreamEvidence{}
		u.known[name] = e
	}
	return e
}

// Draining says whether an upstream gets no new work by the newest
// configuration that this node or a peer has applied, whether or not this
// node hears the platform.
func (u *Upstreams) Draining(upstream string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.known[upstream]
	return e != nil && e.mark.draining
}

// Health weighs the evidence about an upstream.
func (u *Upstreams) Health(now time.Time, upstream string) Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.known[upstream]
	if e == nil {
		return Sound
	}
	return e.weighed(now).health()
}

func (e *upstreamEvidence) weighed(now time.Time) Outcomes {
	all := e.own.scaled(ownWeight * decay(now.Sub(e.at)))
	for _, r := range e.peers {
		// One busy peer must not outvote all others: its word is a share.
		if sum := r.outcomes.sum(); sum > 0 {
			all = all.plus(r.outcomes.scaled(decay(now.Sub(r.at)) / max(sum, 1)))
		}
	}
	return all
}

func (o Outcomes) health() Health {
	if o.sum() < minEvidence {
		return Sound
	}
	switch failed := o.Failed / o.sum(); {
	case failed >= downShare:
		return Down
	case failed >= doubtfulShare:
		return Doubtful
	}
	return Sound
}

// Reports gives what peers should know, within a bound: the marks of the
// newest configuration and the upstreams that fail. That an upstream answers
// is told only of those that others were told about.
func (u *Upstreams) Reports(now time.Time) []Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(u.known)) {
		e := u.known[name]
		r := Report{Upstream: name, Draining: e.mark.draining, Offset: e.mark.offset}
		own := e.own.scaled(decay(now.Sub(e.at)))
		if own.Failed >= minTold || own.sum() >= minTold && len(e.peers) > 0 {
			r.Outcomes = own.rounded()
		}
		if r.Draining || r.Outcomes.sum() > 0 {
			reports = append(reports, r)
		}
	}
	slices.SortStableFunc(reports, compareReports)
	return reports[:min(len(reports), maxReports)]
}

// compareReports puts marks first, the newest before the others, then the
// most failures.
func compareReports(a, b Report) int {
	switch {
	case a.Draining && !b.Draining:
		return -1
	case b.Draining && !a.Draining:
		return 1
	case a.Draining:
		return cmp.Compare(b.Offset, a.Offset)
	}
	return cmp.Compare(b.Outcomes.Failed, a.Outcomes.Failed)
}

// Merge takes in a peer's reports, made at the given time by this node's
// clock.
func (u *Upstreams) Merge(now, at time.Time, node string, reports []Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxReports)] {
		e := u.entry(r.Upstream)
		if e == nil {
			continue
		}
		if r.Offset > u.applied && r.Offset >= e.mark.offset {
			e.mark = drainMark{offset: r.Offset, draining: r.Draining}
		}
		if r.Outcomes.Answered >= 0 && r.Outcomes.Failed >= 0 && r.Outcomes.sum() > 0 {
			e.setPeer(now, at, node, r.Outcomes)
		}
	}
}

func (e *upstreamEvidence) setPeer(now, at time.Time, node string, o Outcomes) {
	maps.DeleteFunc(e.peers, func(_ string, p peerReport) bool { return now.Sub(p.at) > reportAge })
	if _, known := e.peers[node]; !known && len(e.peers) >= maxReporters {
		return
	}
	if e.peers == nil {
		e.peers = map[string]peerReport{}
	}
	e.peers[node] = peerReport{outcomes: o, at: at}
}

// Encode gives reports as a value to publish, as many as fit.
func Encode(reports []Report) ([]byte, error) {
	for {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(reports); err != nil {
			return nil, fmt.Errorf("upstream reports: %w", err)
		}
		if b.Len() <= MaxBlobBytes {
			return b.Bytes(), nil
		}
		reports = reports[:len(reports)-1]
	}
}

// Decode reads a published value.
func Decode(value []byte) ([]Report, error) {
	var reports []Report
	if err := gob.NewDecoder(bytes.NewReader(value)).Decode(&reports); err != nil {
		return nil, fmt.Errorf("upstream reports: %w", err)
	}
	return reports, nil
}
