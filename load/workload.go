package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Workload describes one user's requests. Their prompts have long prefixes nested in
// levels, some of which are used much more often than others.
type Workload struct {
	Name       string
	Workspaces []Tenant
	Model      string
	// LevelWords are the sizes, in words, of the tenant's preamble, the group's
	// context and the single record.
	LevelWords [3]int
	// Groups is the number of contexts of each tenant, Records the number of records
	// in each context.
	Groups  int
	Records int
	// UrgentShare is the fraction of the requests that are short look-ups.
	UrgentShare float64
	// LookupTokens and DraftTokens are the lengths of the answers to look-ups and to
	// drafts.
	LookupTokens int
	DraftTokens  int
}

// Tenant is one workspace with its key and its fraction of the requests.
type Tenant struct {
	Workspace string
	Key       string
	Share     float64
}

// Urgencies of the two kinds of requests, as defined by RFC 9218.
const (
	lookupUrgency = 1
	draftUrgency  = 4
)

// skewFactors is the number of uniform random numbers that skewedIndex multiplies.
// With three, low indexes are much more likely than high ones.
const skewFactors = 3

// Next draws one request. The same sequence of random numbers gives the same
// requests.
func (w Workload) Next(r *rand.Rand) Chat {
	t := w.tenant(r)
	group := skewedIndex(r, w.Groups)
	record := skewedIndex(r, w.Records)
	c := Chat{
		WorkspaceKey: t.Key,
		Model:        w.Model,
		MaxTokens:    w.DraftTokens,
		Urgency:      draftUrgency,
		Messages: []Message{
			{Role: "system", Content: deterministicText(w.LevelWords[0], w.Name, t.Workspace)},
			{Role: "system", Content: deterministicText(w.LevelWords[1], t.Workspace, "group", group)},
			{Role: "user", Content: deterministicText(w.LevelWords[2], t.Workspace, "group", group, "record", record)},
			{Role: "user", Content: fmt.Sprintf("question %d", r.Uint64())},
		},
	}
	if r.Float64() < w.UrgentShare {
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

// skewedIndex draws an index below n, where low ones are more likely.
func skewedIndex(r *rand.Rand, n int) int {
	x := r.Float64()
	for range skewFactors - 1 {
		x *= r.Float64()
	}
	return int(x * float64(n))
}

// deterministicText returns the given number of words, which depend on parts alone.
func deterministicText(words int, parts ...any) string {
	name := fmt.Sprint(parts...)
	var b strings.Builder
	for i := range words {
		fmt.Fprintf(&b, "%s-%d ", name, i)
	}
	return b.String()
}
