package days

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
)

// column is one figure of the table.
type column struct {
	name  string
	value func(Report) float64
}

func price(name string) func(Report) float64 {
	return func(r Report) float64 { return r.Prices[name] }
}

var columns = []column{
	{"served", func(r Report) float64 { return r.Served }},
	{"late", func(r Report) float64 { return r.Late }},
	{"refused", func(r Report) float64 { return r.Refused }},
	{"failed", func(r Report) float64 { return r.Failed }},
	{"windows", func(r Report) float64 { return r.WorstWindows }},
	{"prices", func(r Report) float64 { return lo.Sum(lo.Values(r.Prices)) }},
	{"reread", price(priceReread)},
	{"outdated", price(priceOutdated)},
	{"connect", price(priceConnection)},
	{"behind", price(priceBehind)},
	{"returned", price(priceReturned)},
	{"loads", price(priceLoads)},
}

// allPlays is the name of the row that sums up all plays.
const allPlays = "all"

// WriteTable prints a row for each day and one for all plays: the mean worth, its
// standard error over the plays, the shares of requests by outcome, the deductions,
// and the broken rules.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	names := lo.Map(columns, func(c column, _ int) string { return c.name })
	fmt.Fprintf(t, "day\tplays\tworth\terror\t%s\tbroken\t\n", strings.Join(names, "\t"))
	days := lo.Uniq(lo.Map(reports, func(r Report, _ int) string { return r.Day }))
	for _, day := range append(days, allPlays) {
		rows := lo.Filter(reports, func(r Report, _ int) bool { return day == allPlays || r.Day == day })
		writeRow(t, day, rows)
	}
	return t.Flush()
}

func writeRow(w io.Writer, day string, rows []Report) {
	worth := lo.Map(rows, func(r Report, _ int) float64 { return r.Worth })
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f", day, len(rows), lo.Mean(worth), standardError(worth))
	for _, c := range columns {
		fmt.Fprintf(w, "\t%.3f", lo.Mean(lo.Map(rows, func(r Report, _ int) float64 { return c.value(r) })))
	}
	fmt.Fprintf(w, "\t%s\t\n", formatBroken(rows))
}

// formatBroken lists the plays that broke a rule, as day/seed with the names of the
// rules.
func formatBroken(rows []Report) string {
	var all []string
	for _, r := range rows {
		if len(r.BrokenRules) > 0 {
			slices.Sort(r.BrokenRules)
			all = append(all, fmt.Sprintf("%s/%d %s", r.Day, r.Seed, strings.Join(r.BrokenRules, ",")))
		}
	}
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, "; ")
}

func standardError(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	mean := lo.Mean(values)
	squares := lo.SumBy(values, func(v float64) float64 { return (v - mean) * (v - mean) })
	n := float64(len(values))
	return math.Sqrt(squares / (n - 1) / n)
}
