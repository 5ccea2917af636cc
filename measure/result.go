package measure

import (
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/measure/workload"
)

// trials is how many seeds are pooled in one row.
const trials = 3

// Trial is one run.
type Trial struct {
	Samples      []*Sample
	Busy         float64 // share of the engines' time with prompts to compute
	SummaryBytes float64 // a second, sent by a node to all its peers
}

// Row is one line of the table: a policy in a scenario of a user, with the
// samples of several seeds pooled.
type Row struct {
	User, Scenario, Policy string
	Window
	// Calm is the same policy in calm, over the same arrival times.
	Calm Window
	// Settled99 is the p99 of the arrivals settleTime after the fault or
	// later.
	Settled99 time.Duration
	// HitRateBefore and HitRateAfter are those of the settleRequests
	// requests before and after the time of the fault.
	HitRateBefore, HitRateAfter float64
	Busy                        float64
	SummaryBytes                float64
}

// Window sums up the requests that arrived in a span of time.
type Window struct {
	Requests   int
	HitRate    float64 // cached tokens / prompt tokens
	First50    time.Duration
	First99    time.Duration
	Urgent99   time.Duration // p99 of the time to first token of urgent requests
	Wasted     int           // tokens computed though an eligible engine had them
	Computed   int           // prompt tokens computed
	Refused    int
	Failed     int // given up after maxAttempts
	Unanswered int // without a first token when the run ended
	Cut        int // streams that an engine's crash ended
	Retried    int // attempts beyond the first
}

// What counts as settled after a fault.
const (
	settleTime     = 5 * time.Second
	settleRequests = 1000
)

// Table measures every policy in every scenario of every user.
func Table(users []workload.User, scenarios []Scenario, policies []Policy, seed uint64) []Row {
	var rows []Row
	for _, u := range users {
		calm := make([]pooled, len(policies))
		for i, p := range policies {
			calm[i] = pool(u, Scenarios()[0], p, seed)
		}
		for _, s := range scenarios {
			for i, p := range policies {
				rows = append(rows, measure(u, s, p, seed, calm[i]))
			}
		}
	}
	return rows
}

// measure makes one row, from trials with seeds from the given one up.
func measure(u workload.User, s Scenario, p Policy, seed uint64, calm pooled) Row {
	runs := calm
	if s.Name != CalmName {
		runs = pool(u, s, p, seed)
	}
	row := Row{
		User: u.Name, Scenario: s.Name, Policy: p.Name,
		Window:    summarize(between(runs.Samples, s.From, s.To)),
		Calm:      summarize(between(calm.Samples, s.From, s.To)),
		Settled99: summarize(between(runs.Samples, eventAt+settleTime, eventEnd)).First99,
		Busy:      runs.Busy, SummaryBytes: runs.SummaryBytes,
	}
	row.HitRateBefore = summarize(runs.before).HitRate
	row.HitRateAfter = summarize(runs.after).HitRate
	return row
}

// pooled is the runs of one row together.
type pooled struct {
	Trial
	before, after []*Sample // the settleRequests nearest the time of the fault, of each run
}

func pool(u workload.User, s Scenario, p Policy, seed uint64) pooled {
	var all pooled
	for i := range uint64(trials) {
		t := Run(u, s, p, seed+i)
		all.Samples = append(all.Samples, t.Samples...)
		all.Busy += t.Busy / trials
		all.SummaryBytes += t.SummaryBytes / trials
		before := between(t.Samples, 0, eventAt)
		all.before = append(all.before, before[max(len(before)-settleRequests, 0):]...)
		after := between(t.Samples, eventAt, runEnd)
		all.after = append(all.after, after[:min(len(after), settleRequests)]...)
	}
	return all
}

func between(samples []*Sample, from, to time.Duration) []*Sample {
	var found []*Sample
	for _, s := range samples {
		if from <= s.Request.At && s.Request.At < to {
			found = append(found, s)
		}
	}
	return found
}

// summarize counts a request without an answer at the end of the run as one
// that waited until then, so that no policy gains by starving it.
func summarize(samples []*Sample) Window {
	var w Window
	var first, urgent []time.Duration
	prompt, cached := 0, 0
	for _, s := range samples {
		w.count(s)
		if s.Refused || s.Failed {
			continue
		}
		waited := s.First
		if !s.Answered {
			waited = runEnd + drain - s.Request.At
		}
		first = append(first, waited)
		if s.Request.Urgent {
			urgent = append(urgent, waited)
		}
		if s.Started {
			prompt += s.Request.Chain.Tokens()
			cached += s.Cached
		}
	}
	w.Computed = prompt - cached
	if prompt > 0 {
		w.HitRate = float64(cached) / float64(prompt)
	}
	w.First50 = quantile(first, 0.50)
	w.First99 = quantile(first, 0.99)
	w.Urgent99 = quantile(urgent, 0.99)
	return w
}

func (w *Window) count(s *Sample) {
	w.Requests++
	w.Retried += max(s.Attempts-1, 0)
	w.Wasted += s.Wasted
	switch {
	case s.Refused:
		w.Refused++
	case s.Failed:
		w.Failed++
	case !s.Answered:
		w.Unanswered++
	case s.Cut:
		w.Cut++
	}
}

// quantile sorts the times; 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
