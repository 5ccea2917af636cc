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

	Requests     int
	HitRate      float64 // cached tokens / prompt tokens
	First50      time.Duration
	First99      time.Duration
	Urgent99     time.Duration // p99 of the time to first token of urgent requests
	Wasted       int           // tokens computed though an eligible engine had them
	Computed     int           // prompt tokens computed
	Refused      int
	Failed       int
	Retried      int // attempts beyond the first
	Busy         float64
	SummaryBytes float64
}

// Table measures every policy in every scenario of every user.
func Table(users []workload.User, scenarios []Scenario, policies []Policy, seed uint64) []Row {
	var rows []Row
	for _, u := range users {
		for _, s := range scenarios {
			for _, p := range policies {
				rows = append(rows, Measure(u, s, p, seed))
			}
		}
	}
	return rows
}

// Measure runs the trials of one row, with seeds from the given one up.
func Measure(u workload.User, s Scenario, p Policy, seed uint64) Row {
	var samples []*Sample
	row := Row{User: u.Name, Scenario: s.Name, Policy: p.Name}
	for i := range uint64(trials) {
		t := Run(u, s, p, seed+i)
		samples = append(samples, t.Samples...)
		row.Busy += t.Busy / trials
		row.SummaryBytes += t.SummaryBytes / trials
	}
	row.collect(samples, s.From, s.To)
	return row
}

func (r *Row) collect(samples []*Sample, from, to time.Duration) {
	var first, urgent []time.Duration
	prompt, cached := 0, 0
	for _, s := range samples {
		if s.Request.At < from || s.Request.At >= to {
			continue
		}
		r.Requests++
		r.Retried += max(s.Attempts-1, 0)
		if s.Refused {
			r.Refused++
		}
		if s.Failed {
			r.Failed++
		}
		if !s.Answered {
			continue
		}
		prompt += s.Request.Chain.Tokens()
		cached += s.Cached
		r.Wasted += s.Wasted
		first = append(first, s.First)
		if s.Request.Urgent {
			urgent = append(urgent, s.First)
		}
	}
	r.Computed = prompt - cached
	if prompt > 0 {
		r.HitRate = float64(cached) / float64(prompt)
	}
	r.First50 = quantile(first, 0.50)
	r.First99 = quantile(first, 0.99)
	r.Urgent99 = quantile(urgent, 0.99)
}

// quantile sorts the times; 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
