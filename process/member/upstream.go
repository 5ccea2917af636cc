package member

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Bounds and weights of the evidence about upstreams.
const (
	// maxReports bounds what one node tells the others: those upstreams that
	// fail most. With names of 12 bytes it takes 360 bytes.
	maxReports = 24
	// maxReporters bounds the nodes whose reports are kept for one upstream.
	maxReporters = 8
	// reportAge is after how long a report that was not renewed gives way to
	// those of other nodes; it has no weight by then.
	reportAge = time.Minute
	// answeredHalfLife and failedHalfLife are after how long a call's outcome
	// counts half. An answer of before the fault must not speak long against
	// the failures since.
	answeredHalfLife = 5 * time.Second
	failedHalfLife   = 20 * time.Second
	// quietTime is after how long without a new failure an upstream is open
	// again to all that don't eject it themselves, whatever the weights: it
	// may be well, and nobody would know. One more failure that is told
	// closes it again.
	quietTime = 10 * time.Second
	// maxOutcomes bounds the own outcomes of one kind, or a busy node would
	// go on telling of failures long after the last of them.
	maxOutcomes = 2
	// maxVoice is what one voice weighs at most, however many calls it made,
	// and ownVoice what this node's own calls do.
	maxVoice = 1
	ownVoice = 2
	// enoughEvidence must be exceeded for an upstream to count as down: two
	// voices can't do it, nor this node's own calls alone, which package
	// ejection judges.
	enoughEvidence = 2
	// downShare is the part of the evidence that must be failures. A node
	// whose own calls were answered of late is never persuaded.
	downShare = 0.85
	// minTold is the weight of own failures under which peers are told
	// nothing: a single one is told, since in a large fleet a node sends to
	// an upstream once in a minute.
	minTold = 0.25
	// toldSteps is in how many parts a told weight of 1 is given.
	toldSteps = 16
	// sinceStep rounds the told time since the latest failure, and
	// reportBytes is the size of a report without the name.
	sinceStep   = 100 * time.Millisecond
	reportBytes = 3
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

func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered + p.Answered, Failed: o.Failed + p.Failed}
}

// voice is the outcomes cut to what one voice may weigh.
func (o Outcomes) voice() Outcomes { return o.scaled(maxVoice / max(o.sum(), maxVoice)) }

// Report is what one node tells of its calls to one upstream.
type Report struct {
	Upstream string
	Outcomes Outcomes
	Since    time.Duration // since the latest failure
}

// Upstreams is one node's evidence about the upstreams: outcomes of its own
// calls and what peers tell of theirs. Its methods may be called from many
// goroutines; mu is its only lock.
type Upstreams struct {
	dataCentre string

	mu    sync.Mutex
	known map[string]*upstreamEvidence
	told  map[string]*upstreamEvidence // those of known that a peer spoke of
}

type upstreamEvidence struct {
	own         Outcomes
	at          time.Time // of own
	failed      time.Time // latest own failure
	incarnation uint64    // 0: not known
	peers       map[string]peerReport
}

type peerReport struct {
	dataCentre string
	outcomes   Outcomes
	at         time.Time
	failed     time.Time // latest failure
}

// NewUpstreams gives a table without upstreams for a node of a data centre.
func NewUpstreams(dataCentre string) *Upstreams {
	return &Upstreams{
		dataCentre: dataCentre,
		known:      map[string]*upstreamEvidence{},
		told:       map[string]*upstreamEvidence{},
	}
}

// aged is what is left of the outcomes after a time.
func (o Outcomes) aged(age time.Duration) Outcomes {
	left := func(halfLife time.Duration) float64 {
		return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
	}
	return Outcomes{Answered: o.Answered * left(answeredHalfLife), Failed: o.Failed * left(failedHalfLife)}
}

// SetUpstreams replaces the upstreams of the configuration; evidence about
// others is neither kept nor taken in, which bounds the table.
func (u *Upstreams) SetUpstreams(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	keep := make(map[string]*upstreamEvidence, len(names))
	told := map[string]*upstreamEvidence{}
	for _, n := range names {
		e, ok := u.known[n]
		if !ok {
			e = &upstreamEvidence{}
		}
		keep[n] = e
		if len(e.peers) > 0 {
			told[n] = e
		}
	}
	u.known, u.told = keep, told
}

// Observe takes in the outcome of a call of this node's own. The incarnation
// is that of the process that answered; 0: not known.
func (u *Upstreams) Observe(now time.Time, upstream string, incarnation uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.known[upstream]
	if e == nil {
		return
	}
	u.restarted(upstream, e, incarnation)
	e.own = e.own.aged(now.Sub(e.at))
	e.at = now
	if ok {
		e.own.Answered = min(e.own.Answered+1, maxOutcomes)
	} else {
		e.own.Failed = min(e.own.Failed+1, maxOutcomes)
		e.failed = now
	}
}

// Restarted notes the incarnation that an upstream gave. If it is another,
// the failures of the former process must not keep work from this one.
func (u *Upstreams) Restarted(upstream string, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.known[upstream]; e != nil {
		u.restarted(upstream, e, incarnation)
	}
}

func (u *Upstreams) restarted(name string, e *upstreamEvidence, incarnation uint64) {
	if incarnation == 0 || incarnation == e.incarnation {
		return
	}
	if e.incarnation != 0 {
		e.own, e.peers, e.failed = Outcomes{}, nil, time.Time{}
		delete(u.told, name)
	}
	e.incarnation = incarnation
}

// Down gives those of the upstreams that are down by the joint evidence: of
// peers, and of this node's own calls beside them.
func (u *Upstreams) Down(now time.Time, names []string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.told) == 0 {
		return nil
	}
	var down []string
	for _, n := range names {
		if e := u.told[n]; e != nil && e.down(now, u.dataCentre) {
			down = append(down, n)
		}
	}
	return down
}

// down says whether an upstream that peers spoke of fails by the evidence, of
// late.
func (e *upstreamEvidence) down(now time.Time, dataCentre string) bool {
	all, latest := e.weighed(now, dataCentre)
	return now.Sub(latest) < quietTime && all.sum() > enoughEvidence &&
		all.Failed >= downShare*all.sum()
}

// weighed joins the voices and gives the latest failure: each node of the own
// data centre is a voice, and each other data centre as a whole, whose common
// fault may be its way here.
func (e *upstreamEvidence) weighed(now time.Time, dataCentre string) (Outcomes, time.Time) {
	latest := e.failed
	all := e.own.aged(now.Sub(e.at)).voice().scaled(ownVoice)
	elsewhere := map[string]Outcomes{}
	for _, r := range e.peers {
		latest = lo.Latest(latest, r.failed)
		o := r.outcomes.aged(now.Sub(r.at))
		if r.dataCentre != dataCentre {
			elsewhere[r.dataCentre] = elsewhere[r.dataCentre].plus(o)
			continue
		}
		all = all.plus(o.voice())
	}
	for _, o := range elsewhere {
		all = all.plus(o.voice())
	}
	return all, latest
}

// Reports gives what peers should know, within a bound: the upstreams that
// fail most. That an upstream answers is told only of those that a peer or
// this node itself saw fail.
func (u *Upstreams) Reports(now time.Time) []Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	var reports []Report
	for name, e := range u.known {
		own := e.own.aged(now.Sub(e.at))
		if own.Failed >= minTold || own.Answered >= minTold && len(e.peers) > 0 {
			reports = append(reports, Report{Upstream: name, Outcomes: own, Since: now.Sub(e.failed)})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Outcomes.Failed, a.Outcomes.Failed), cmp.Compare(a.Upstream, b.Upstream))
	})
	return reports[:min(len(reports), maxReports)]
}

// Merge replaces what a peer of a data centre told before by its reports of
// the given time by this node's clock.
func (u *Upstreams) Merge(at time.Time, node, dataCentre string, reports []Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, e := range u.told {
		delete(e.peers, node)
		if len(e.peers) == 0 {
			delete(u.told, name)
		}
	}
	for _, r := range reports[:min(len(reports), maxReports)] {
		e := u.known[r.Upstream]
		if e == nil {
			continue
		}
		// A dead peer takes nothing back; its reports must not fill the bound.
		maps.DeleteFunc(e.peers, func(_ string, p peerReport) bool { return at.Sub(p.at) > reportAge })
		if len(e.peers) >= maxReporters {
			continue
		}
		if e.peers == nil {
			e.peers = map[string]peerReport{}
		}
		e.peers[node] = peerReport{dataCentre: dataCentre, outcomes: r.Outcomes, at: at, failed: at.Add(-r.Since)}
		u.told[r.Upstream] = e
	}
}

// ErrReports means that a published value holds no reports of upstreams.
var ErrReports = errors.New("member: no reports of upstreams")

// EncodeReports gives reports as a value to publish, as many as fit: for each
// the length of the name, the name, the two weights, and the time since the
// latest failure in steps of sinceStep.
func EncodeReports(reports []Report) []byte {
	var b []byte
	for _, r := range reports {
		if len(r.Upstream) > MaxNameBytes {
			continue
		}
		before := len(b)
		b = binary.AppendUvarint(b, uint64(len(r.Upstream)))
		b = append(b, r.Upstream...)
		b = append(b, told(r.Outcomes.Answered*toldSteps), told(r.Outcomes.Failed*toldSteps),
			told(float64(r.Since)/float64(sinceStep)))
		if len(b) > MaxBlobBytes {
			return b[:before]
		}
	}
	return b
}

func told(f float64) byte { return byte(min(math.Round(f), math.MaxUint8)) }

// DecodeReports reads a published value.
func DecodeReports(value []byte) ([]Report, error) {
	var reports []Report
	for len(value) > 0 {
		n, read := binary.Uvarint(value)
		if read <= 0 || n > MaxNameBytes || len(value) < read+int(n)+reportBytes {
			return nil, ErrReports
		}
		value = value[read:]
		r := Report{Upstream: string(value[:n])}
		r.Outcomes = Outcomes{Answered: float64(value[n]) / toldSteps, Failed: float64(value[n+1]) / toldSteps}
		r.Since = time.Duration(value[n+2]) * sinceStep
		reports = append(reports, r)
		value = value[n+reportBytes:]
	}
	return reports, nil
}
