package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Workload is one user's requests: prompts with long openings nested in
// levels, some of them much hotter than the others.
type Workload struct {
	Name       string
	Workspaces []Tenant
	Model      string
	// Levels are the sizes, in words, of the tenant's preamble, the group's
	// context and the single record.
	Levels [3]int
	// Groups is how many contexts a tenant has, Records how many records
	// each of them has.
	Groups  int
	Records int
	// Urgent is the part of the requests that are short look-ups.
	Urgent float64
	// LookupTokens and DraftTokens are the lengths of the two answers.
	LookupTokens int
	DraftTokens  int
}

// Tenant is one workspace with its key and its part of the requests.
type Tenant struct {
	Workspace string
	Key       string
	Share     float64
}

// Urgencies of the two kinds of requests, after RFC 9218.
const (
	lookupUrgency = 1
	draftUrgency  = 4
)

// hotSkew makes low numbers much more likely than high ones.
const hotSkew = 3

// Next draws one request. The same sequence of random numbers gives the same
// requests.
func (w Workload) Next(r *rand.Rand) Chat {
	t := w.tenant(r)
	group := skewed(r, w.Groups)
	record := skewed(r, w.Records)
	c := Chat{
		Key:       t.Key,
		Model:     w.Model,
		MaxTokens: w.DraftTokens,
		Urgency:   draftUrgency,
		Messages: []Message{
			{Role: "system", Content: text(w.Levels[0], w.Name, t.Workspace)},
			{Role: "system", Content: text(w.Levels[1], t.Workspace, "group", group)},
			{Role: "user", Content: text(w.Levels[2], t.Workspace, "group", group, "record", record)},
			{Role: "user", Content: fmt.Sprintf("question %d", r.Uint64())},
		},
	}
	if r.Float64() < w.Urgent {
		c.MaxTokens = w.LookupTokens
		c.Urgency = lookupUrgency
	}
	return c
}

func (w Workload) tenant(r *rand.Rand) Tenant {
	x := r.Float64()
	for _, t := range w.Workspaces {
		if x -= t.Share; x < 0 {
			return t
		}
	}
	return w.Workspaces[0]
}

func skewed(r *rand.Rand, n int) int {
	x := r.Float64()
	for range hotSkew - 1 {
		x *= r.Float64()
	}
	return int(x * float64(n))
}

// text gives words that follow from its parts alone.
func text(words int, parts ...any) string {
	name := fmt.Sprint(parts...)
	var b strings.Builder
	for i := range words {
		fmt.Fprintf(&b, "%s-%d ", name, i)
	}
	return b.String()
}
