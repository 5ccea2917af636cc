package measure

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

// trialsPerRow is how many seeds are pooled in one row.
const trialsPerRow = 3

// Trial is the result of one run.
type Trial struct {
	Samples      []*Sample
	Busy         float64 // share of the engines' time during which they had prompts to compute
	SummaryBytes float64 // bytes a second that one node sends to all its peers
}

// Row is one line of the table: a policy in a scenario of a user, with the samples of
// several seeds pooled.
type Row struct {
	User, Scenario, Policy string
	Window
	// Calm holds the results of the same policy in the calm scenario, over the same
	// arrival times.
	Calm Window
	// Settled99 is the 99th percentile of the time to first token of the requests
	// that arrived settleTime after the start of the fault or later.
	Settled99 time.Duration
	// HitRateBefore and HitRateAfter are the hit rates of the settleRequests
	// requests of each run before and after the start of the fault.
	HitRateBefore, HitRateAfter float64
	Busy                        float64
	SummaryBytes                float64
	// Goodput is the work of the requests with a first token in time, as a share of
	// capacity. A request's work is what the oracle computes in calm for as many
	// prompt tokens of its kind. Thus no policy gains by preferring cheap kinds, by
	// preferring short prompts of one kind, or by computing more than it has to.
	Goodput float64

	Admission              bool // the row belongs to the table of limits and retries
	samples                []*Sample
	countedFrom, countedTo time.Duration
}

// Window summarizes the requests that arrived in a span of time.
type Window struct {
	Requests     int
	HitRate      float64 // cached tokens / prompt tokens
	Imported     float64 // tokens imported from other engines / prompt tokens
	First50      time.Duration
	First99      time.Duration
	Urgent99     time.Duration // 99th percentile of the time to first token of urgent requests
	Wasted       int           // tokens computed although an eligible engine had them cached
	Computed     int           // prompt tokens computed
	Refused      int
	Failed       int // abandoned after a failed send; without the serving path, after maxSends
	Unanswered   int // no first token when the run ended
	StreamsCut   int // streams broken off after the first token
	Retried      int // sends beyond the first
	LateRefusals int // refusals later than immediateRefusalLimit
	// Refused99 is the 99th percentile of the time from the arrival to the refusal.
	Refused99 time.Duration
	// InTime is the share of the requests with a first token in time. SmallInTime is
	// the same share for the smaller half of the workspaces.
	InTime, SmallInTime float64
}

// settleTime is how long after the start of a fault Settled99 begins to count
// arrivals, and settleRequests how many requests before and after that start the hit
// rates cover.
const (
	settleTime     = 5 * time.Second
	settleRequests = 1000
)

// Table measures every policy in every scenario of every user.
func Table(users []workload.User, scenarios []Scenario, policies []Policy, seed uint64) []Row {
	var rows []Row
	for _, u := range users {
		perToken := computedPerToken(runTrials(u, Scenarios()[0], Oracle(), seed).Samples)
		calm := make([]pooledTrials, len(policies))
		for i, p := range policies {
			calm[i] = runTrials(u, Scenarios()[0], p, seed)
		}
		for _, s := range scenarios {
			for i, p := range policies {
				row := measureRow(u, s, p, seed, calm[i])
				rows = append(rows, row.withGoodput(u, perToken))
			}
		}
	}
	return rows
}

// computedPerToken returns, by kind, the number of tokens that the oracle computes in
// calm for each prompt token. It is the work that one prompt token of the kind counts
// for.
func computedPerToken(samples []*Sample) map[string]float64 {
	computed, prompt := make(map[string]float64), make(map[string]float64)
	for _, s := range arrivedBetween(samples, warmUpEnd, runEnd) {
		computed[s.Request.Kind] += float64(s.Request.Chain.Tokens() - s.Cached)
		prompt[s.Request.Kind] += float64(s.Request.Chain.Tokens())
	}
	return lo.MapValues(computed, func(sum float64, kind string) float64 { return sum / prompt[kind] })
}

func (r Row) withGoodput(u workload.User, perToken map[string]float64) Row {
	useful := 0.0
	for _, s := range r.samples {
		if s.InTime() {
			useful += perToken[s.Request.Kind] * float64(s.Request.Chain.Tokens())
		}
	}
	capacity := lo.SumBy(u.Engines, func(up placement.Upstream) float64 { return up.PrefillRate })
	r.Goodput = useful / (capacity * (r.countedTo - r.countedFrom).Seconds() * trialsPerRow)
	r.samples = nil
	return r
}

// measureRow returns one row of trialsPerRow runs, with consecutive seeds from the
// given one.
func measureRow(u workload.User, s Scenario, p Policy, seed uint64, calm pooledTrials) Row {
	runs := calm
	if s.Name != CalmName {
		runs = runTrials(u, s, p, seed)
	}
	row := Row{
		User: u.Name, Scenario: s.Name, Policy: p.Name, Admission: s.Admission,
		samples:     arrivedBetween(runs.Samples, s.From, s.To),
		countedFrom: s.From, countedTo: s.To,
		Calm:      summarize(u, arrivedBetween(calm.Samples, s.From, s.To)),
		Settled99: summarize(u, arrivedBetween(runs.Samples, faultStart+settleTime, faultWindowEnd)).First99,
		Busy:      runs.Busy, SummaryBytes: runs.SummaryBytes,
	}
	row.Window = summarize(u, row.samples)
	row.HitRateBefore = summarize(u, runs.before).HitRate
	row.HitRateAfter = summarize(u, runs.after).HitRate
	return row
}

// pooledTrials holds the runs of one row together.
type pooledTrials struct {
	Trial
	before, after []*Sample // the settleRequests of each run closest to the start of the fault
}

func runTrials(u workload.User, s Scenario, p Policy, seed uint64) pooledTrials {
	var all pooledTrials
	for i := range uint64(trialsPerRow) {
		t := Run(u, s, p, seed+i)
		all.Samples = append(all.Samples, t.Samples...)
		all.Busy += t.Busy / trialsPerRow
		all.SummaryBytes += t.SummaryBytes / trialsPerRow
		before := arrivedBetween(t.Samples, 0, faultStart)
		all.before = append(all.before, before[max(len(before)-settleRequests, 0):]...)
		after := arrivedBetween(t.Samples, faultStart, runEnd)
		all.after = append(all.after, after[:min(len(after), settleRequests)]...)
	}
	return all
}

func arrivedBetween(samples []*Sample, from, to time.Duration) []*Sample {
	var found []*Sample
	for _, s := range samples {
		if from <= s.Request.At && s.Request.At < to {
			found = append(found, s)
		}
	}
	return found
}

// summarize computes the results of some samples. A request without a first token at
// the end of the run counts as one that waited until then, so that no policy gains by
// starving it.
func summarize(u workload.User, samples []*Sample) Window {
	var w Window
	var t tally
	for _, s := range samples {
		w.count(s)
		t.add(u, s)
	}
	w.Computed = t.prompt - t.cached - t.imported
	w.HitRate = fraction(t.cached, t.prompt)
	w.Imported = fraction(t.imported, t.prompt)
	w.InTime = fraction(t.inTime, w.Requests)
	w.SmallInTime = fraction(t.smallInTime, t.smallRequests)
	w.First50 = quantile(t.first, 0.50)
	w.First99 = quantile(t.first, 0.99)
	w.Urgent99 = quantile(t.urgent, 0.99)
	w.Refused99 = quantile(t.refused, 0.99)
	return w
}

// tally collects the sums from which a Window is computed.
type tally struct {
	first, urgent, refused     []time.Duration
	prompt, cached             int // tokens
	imported                   int // tokens
	inTime                     int
	smallRequests, smallInTime int
}

func (t *tally) add(u workload.User, s *Sample) {
	small := u.InSmallerHalf(s.Request.Workspace)
	if small {
		t.smallRequests++
	}
	if s.InTime() {
		t.inTime++
		if small {
			t.smallInTime++
		}
	}
	if s.Started {
		t.prompt += s.Request.Chain.Tokens()
		t.cached += s.Cached
		t.imported += s.Imported
	}
	switch {
	case s.Refused:
		t.refused = append(t.refused, s.RefusalDelay)
		return
	case s.Failed:
		return
	}
	waited := s.FirstToken
	if !s.Answered {
		waited = runEnd + drainTime - s.Request.At
	}
	t.first = append(t.first, waited)
	if s.Request.Urgent {
		t.urgent = append(t.urgent, waited)
	}
}

func (w *Window) count(s *Sample) {
	w.Requests++
	w.Retried += max(s.Sends-1, 0)
	w.Wasted += s.Wasted
	switch {
	case s.Refused:
		w.Refused++
		if s.RefusalDelay > immediateRefusalLimit {
			w.LateRefusals++
		}
	case s.Failed:
		w.Failed++
	case !s.Answered:
		w.Unanswered++
	case s.StreamCut:
		w.StreamsCut++
	}
}

// immediateRefusalLimit is how long a refusal may take to count as immediate.
const immediateRefusalLimit = 10 * time.Millisecond

func fraction(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// quantile sorts the times and returns a quantile of them; 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
