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

// Limits and weights of the evidence about upstreams.
const (
	// maxReports limits the upstreams that one node reports to the others:
	// those that fail most. With names of 12 bytes they take 360 bytes.
	maxReports = 24
	// maxReporters limits the nodes whose reports about one upstream are kept.
	maxReporters = 8
	// maxReportAge is the age after which a report that was not renewed makes
	// room for those of other nodes. It has no weight by then.
	maxReportAge = time.Minute
	// answeredHalfLife and failedHalfLife are the times in which the weight of
	// a call's outcome halves. An answer from before a fault must not outweigh
	// the failures since for long.
	answeredHalfLife = 5 * time.Second
	failedHalfLife   = 20 * time.Second
	// reopenAfter is the time without a new failure after which an upstream is
	// open again to all nodes that do not eject it themselves, whatever the
	// weights. It may have recovered, and without requests no node would
	// notice. One more reported failure closes it again.
	reopenAfter = 10 * time.Second
	// maxOutcomes limits the weight of the own outcomes of each kind. Without
	// it, a busy node would go on reporting failures long after the last one.
	maxOutcomes = 2
	// sourceLimit limits the weight of one source, however many calls it
	// made; ownWeight is the factor for this node's own calls.
	sourceLimit = 1
	ownWeight   = 2
	// downWeight is the total weight that must be exceeded for an upstream to
	// count as down. Neither two other sources nor this node's own calls alone
	// can exceed it; package ejection judges the latter.
	downWeight = 2
	// downFailureShare is the share of failures in the evidence from which an
	// upstream counts as down. Peers' reports never outweigh recent answers to
	// this node's own calls.
	downFailureShare = 0.85
	// minReportedWeight is the weight of outcomes below which peers are told
	// nothing. A single failure is reported, since in a large fleet a node may
	// send to an upstream only once per minute.
	minReportedWeight = 0.25
	// weightSteps is the number of steps in which a reported weight of 1 is
	// encoded.
	weightSteps = 16
	// sinceStep is the resolution of the reported time since the latest
	// failure. reportFixedBytes is the size of a report without the name and
	// its length.
	sinceStep        = 100 * time.Millisecond
	reportFixedBytes = 3
)

// Outcomes is the weight of the calls that were answered and that failed. The
// weight of a call decays with its age.
type Outcomes struct {
	Answered float64
	Failed   float64
}

func (o Outcomes) total() float64 { return o.Answered + o.Failed }

func (o Outcomes) scaled(f float64) Outcomes {
	return Outcomes{Answered: o.Answered * f, Failed: o.Failed * f}
}

func (o Outcomes) add(p Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered + p.Answered, Failed: o.Failed + p.Failed}
}

// capped scales the outcomes down to the maximum weight of one source.
func (o Outcomes) capped() Outcomes { return o.scaled(sourceLimit / max(o.total(), sourceLimit)) }

// Report is what one node reports about its calls to one upstream.
type Report struct {
	Upstream string
	Outcomes Outcomes
	Since    time.Duration // since the latest failure
}

// UpstreamEvidence is one node's evidence about the upstreams: the outcomes of
// its own calls and the reports of its peers. Its methods are safe for
// concurrent use; mu is its only lock.
type UpstreamEvidence struct {
	dataCentre string

	mu       sync.Mutex
	evidence map[string]*upstreamState
	reported map[string]*upstreamState // the upstreams in evidence that peers reported on
}

type upstreamState struct {
	ownOutcomes    Outcomes
	ownUpdatedAt   time.Time // when ownOutcomes was updated
	lastOwnFailure time.Time
	incarnation    uint64 // 0: unknown
	peerReports    map[string]peerReport
}

type peerReport struct {
	dataCentre  string
	outcomes    Outcomes
	reportedAt  time.Time
	lastFailure time.Time
}

// NewUpstreamEvidence returns empty evidence for a node in a data centre.
func NewUpstreamEvidence(dataCentre string) *UpstreamEvidence {
	return &UpstreamEvidence{
		dataCentre: dataCentre,
		evidence:   map[string]*upstreamState{},
		reported:   map[string]*upstreamState{},
	}
}

// decayed returns what is left of the outcomes after a time.
func (o Outcomes) decayed(age time.Duration) Outcomes {
	remaining := func(halfLife time.Duration) float64 {
		return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
	}
	return Outcomes{Answered: o.Answered * remaining(answeredHalfLife), Failed: o.Failed * remaining(failedHalfLife)}
}

// SetUpstreams replaces the set of configured upstreams. Evidence about others
// is dropped and not accepted, which limits the table.
func (u *UpstreamEvidence) SetUpstreams(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	keep := make(map[string]*upstreamState, len(names))
	reported := map[string]*upstreamState{}
	for _, n := range names {
		e, ok := u.evidence[n]
		if !ok {
			e = &upstreamState{}
		}
		keep[n] = e
		if len(e.peerReports) > 0 {
			reported[n] = e
		}
	}
	u.evidence, u.reported = keep, reported
}

// Observe records the outcome of one of this node's own calls. incarnation
// identifies the process that answered; 0 means unknown.
func (u *UpstreamEvidence) Observe(now time.Time, upstream string, incarnation uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.evidence[upstream]
	if e == nil {
		return
	}
	u.setIncarnation(upstream, e, incarnation)
	e.ownOutcomes = e.ownOutcomes.decayed(now.Sub(e.ownUpdatedAt))
	e.ownUpdatedAt = now
	if ok {
		e.ownOutcomes.Answered = min(e.ownOutcomes.Answered+1, maxOutcomes)
	} else {
		e.ownOutcomes.Failed = min(e.ownOutcomes.Failed+1, maxOutcomes)
		e.lastOwnFailure = now
	}
}

// RecordIncarnation records the incarnation that an upstream reported. If it
// differs from the known one, the evidence about the earlier process is
// dropped, since its failures must not keep requests from the new one.
func (u *UpstreamEvidence) RecordIncarnation(upstream string, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.evidence[upstream]; e != nil {
		u.setIncarnation(upstream, e, incarnation)
	}
}

func (u *UpstreamEvidence) setIncarnation(name string, e *upstreamState, incarnation uint64) {
	if incarnation == 0 || incarnation == e.incarnation {
		return
	}
	if e.incarnation != 0 {
		e.ownOutcomes, e.peerReports, e.lastOwnFailure = Outcomes{}, nil, time.Time{}
		delete(u.reported, name)
	}
	e.incarnation = incarnation
}

// Down returns the upstreams among names that are down by the evidence of
// peers combined with this node's own calls.
func (u *UpstreamEvidence) Down(now time.Time, names []string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.reported) == 0 {
		return nil
	}
	var down []string
	for _, n := range names {
		if e := u.reported[n]; e != nil && e.down(now, u.dataCentre) {
			down = append(down, n)
		}
	}
	return down
}

// down reports whether an upstream that peers reported on failed recently and
// is down by the evidence.
func (e *upstreamState) down(now time.Time, dataCentre string) bool {
	all, latest := e.combined(now, dataCentre)
	return now.Sub(latest) < reopenAfter && all.total() > downWeight &&
		all.Failed >= downFailureShare*all.total()
}

// combined adds up the evidence and returns it with the time of the latest
// failure. Each node of this data centre counts as one source. Each other data
// centre counts as one source as a whole, since its nodes may share a single
// fault, such as their path to this data centre.
func (e *upstreamState) combined(now time.Time, dataCentre string) (Outcomes, time.Time) {
	latest := e.lastOwnFailure
	all := e.ownOutcomes.decayed(now.Sub(e.ownUpdatedAt)).capped().scaled(ownWeight)
	remote := map[string]Outcomes{}
	for _, r := range e.peerReports {
		latest = lo.Latest(latest, r.lastFailure)
		o := r.outcomes.decayed(now.Sub(r.reportedAt))
		if r.dataCentre != dataCentre {
			remote[r.dataCentre] = remote[r.dataCentre].add(o)
			continue
		}
		all = all.add(o.capped())
	}
	for _, o := range remote {
		all = all.add(o.capped())
	}
	return all, latest
}

// Reports returns what peers should know, limited to the upstreams that fail
// most. Answers are reported only for upstreams that a peer reported on or
// that this node saw fail.
func (u *UpstreamEvidence) Reports(now time.Time) []Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	var reports []Report
	for name, e := range u.evidence {
		own := e.ownOutcomes.decayed(now.Sub(e.ownUpdatedAt))
		if own.Failed >= minReportedWeight || own.Answered >= minReportedWeight && len(e.peerReports) > 0 {
			reports = append(reports, Report{Upstream: name, Outcomes: own, Since: now.Sub(e.lastOwnFailure)})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Outcomes.Failed, a.Outcomes.Failed), cmp.Compare(a.Upstream, b.Upstream))
	})
	return reports[:min(len(reports), maxReports)]
}

// MergeReports replaces the earlier reports of a peer with new ones. at is the
// time of the reports by this node's clock.
func (u *UpstreamEvidence) MergeReports(at time.Time, node, dataCentre string, reports []Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, e := range u.reported {
		delete(e.peerReports, node)
		if len(e.peerReports) == 0 {
			delete(u.reported, name)
		}
	}
	for _, r := range reports[:min(len(reports), maxReports)] {
		e := u.evidence[r.Upstream]
		if e == nil {
			continue
		}
		// A dead peer withdraws nothing; its reports must not use up the
		// limit.
		maps.DeleteFunc(e.peerReports, func(_ string, p peerReport) bool { return at.Sub(p.reportedAt) > maxReportAge })
		if len(e.peerReports) >= maxReporters {
			continue
		}
		if e.peerReports == nil {
			e.peerReports = map[string]peerReport{}
		}
		e.peerReports[node] = peerReport{dataCentre: dataCentre, outcomes: r.Outcomes, reportedAt: at, lastFailure: at.Add(-r.Since)}
		u.reported[r.Upstream] = e
	}
}

// ErrMalformedReports means that a published value does not contain valid
// reports.
var ErrMalformedReports = errors.New("member: malformed reports of upstreams")

// EncodeReports encodes reports as a value to publish, as many as fit. Each
// consists of the length of the name, the name, the two weights, and the time
// since the latest failure in units of sinceStep.
func EncodeReports(reports []Report) []byte {
	var b []byte
	for _, r := range reports {
		if len(r.Upstream) > MaxNameBytes {
			continue
		}
		before := len(b)
		b = binary.AppendUvarint(b, uint64(len(r.Upstream)))
		b = append(b, r.Upstream...)
		b = append(b, roundToByte(r.Outcomes.Answered*weightSteps), roundToByte(r.Outcomes.Failed*weightSteps),
			roundToByte(float64(r.Since)/float64(sinceStep)))
		if len(b) > MaxBlobBytes {
			return b[:before]
		}
	}
	return b
}

func roundToByte(f float64) byte { return byte(min(math.Round(f), math.MaxUint8)) }

// DecodeReports decodes a published value.
func DecodeReports(value []byte) ([]Report, error) {
	var reports []Report
	for len(value) > 0 {
		n, read := binary.Uvarint(value)
		if read <= 0 || n > MaxNameBytes || len(value) < read+int(n)+reportFixedBytes {
			return nil, ErrMalformedReports
		}
		value = value[read:]
		r := Report{Upstream: string(value[:n])}
		r.Outcomes = Outcomes{Answered: float64(value[n]) / weightSteps, Failed: float64(value[n+1]) / weightSteps}
		r.Since = time.Duration(value[n+2]) * sinceStep
		reports = append(reports, r)
		value = value[n+reportFixedBytes:]
	}
	return reports, nil
}
