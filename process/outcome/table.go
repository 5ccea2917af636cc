package outcome

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// tenths is the number of parts into which the requests of a route are split by prompt length.
const tenths = 10

// Row summarises the requests of one route whose prompts are in one tenth by length.
type Row struct {
	Route     string
	Tenth     int // 1 has the shortest prompts
	MinTokens int // tokens
	MaxTokens int // tokens
	Requests  int
	Ends      [endCount]int
	// Medians over the requests that have the figure.
	Wait       time.Duration
	Idle       time.Duration
	FirstToken time.Duration
}

// Share returns the fraction of the row's requests that ended so.
func (r Row) Share(e End) float64 { return float64(r.Ends[e]) / float64(r.Requests) }

// Tenths splits the requests of each route into tenths by prompt length. It leaves out routes with
// fewer requests than tenths.
func Tenths(requests []Request) []Row {
	var rows []Row
	byRoute := lo.GroupBy(requests, func(r Request) string { return r.Route })
	routes := lo.Keys(byRoute)
	slices.Sort(routes)
	for _, route := range routes {
		all := byRoute[route]
		if len(all) < tenths {
			continue
		}
		slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.Tokens, b.Tokens) })
		for i := range tenths {
			part := all[i*len(all)/tenths : (i+1)*len(all)/tenths]
			rows = append(rows, newRow(route, i+1, part))
		}
	}
	return rows
}

func newRow(route string, tenth int, part []Request) Row {
	r := Row{Route: route, Tenth: tenth, MinTokens: part[0].Tokens, MaxTokens: part[len(part)-1].Tokens, Requests: len(part)}
	for _, q := range part {
		r.Ends[q.End]++
	}
	r.Wait = median(part, func(q Request) time.Duration { return q.Wait })
	r.Idle = median(part, func(q Request) time.Duration { return q.Idle })
	r.FirstToken = median(part, func(q Request) time.Duration { return q.FirstToken })
	return r
}

// median returns the median of the positive figures; 0 if there are none.
func median(part []Request, of func(Request) time.Duration) time.Duration {
	all := lo.FilterMap(part, func(q Request, _ int) (time.Duration, bool) { return of(q), of(q) > 0 })
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// WriteTable prints the rows.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "route\ttenth\ttokens\tasked\tserved\tshed\trefused\tfailed\twait ms\tidle ms\tfirst ms\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d-%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t\n", r.Route, r.Tenth, r.MinTokens, r.MaxTokens, r.Requests,
			r.Share(Served), r.Share(Shed), r.Share(Refused), r.Share(Failed),
			r.Wait.Milliseconds(), r.Idle.Milliseconds(), r.FirstToken.Milliseconds())
	}
	return t.Flush()
}
