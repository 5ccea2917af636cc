package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Format is an output format of a table.
type Format string

// The formats that Write supports.
const (
	Text     Format = "text"
	Markdown Format = "markdown"
	// YAML is the format of bounds.yaml.
	YAML Format = "bounds"
)

// column is one column of a table. The oracle is the row of the oracle for the same
// user and scenario. Its fields are zero if it was not measured.
type column struct {
	header string
	cell   func(r, oracle Row) string
}

// placementColumns show how well a policy uses caches and queues.
var placementColumns = []column{
	{"User", func(r, _ Row) string { return r.User }},
	{"Scenario", func(r, _ Row) string { return r.Scenario }},
	{"Policy", func(r, _ Row) string { return r.Policy }},
	{"Requests", func(r, _ Row) string { return fmt.Sprint(r.Requests) }},
	{"HitRate", func(r, _ Row) string { return fmt.Sprintf("%.4f", r.HitRate) }},
	{"/Oracle", func(r, o Row) string { return formatRatio(r.HitRate, o.HitRate) }},
	{"Imported", func(r, _ Row) string { return fmt.Sprintf("%.3f", r.Imported) }},
	{"TTFT50", func(r, _ Row) string { return formatMilliseconds(r.First50) }},
	{"TTFT99", func(r, _ Row) string { return formatMilliseconds(r.First99) }},
	{"/Oracle", func(r, o Row) string { return formatRatio(r.First99, o.First99) }},
	{"/Calm", func(r, _ Row) string { return formatRatio(r.First99, r.Calm.First99) }},
	{"After5s/Calm", func(r, _ Row) string { return dashIfCalm(r, formatRatio(r.Settled99, r.Calm.First99)) }},
	{"Urgent99", func(r, _ Row) string { return formatMilliseconds(r.Urgent99) }},
	{"/Oracle", func(r, o Row) string { return formatRatio(r.Urgent99, o.Urgent99) }},
	{"Wasted", func(r, _ Row) string { return formatWasted(r) }},
	{"/Oracle", func(r, o Row) string { return formatRatio(r.Wasted, o.Wasted) }},
	{"Hit1000/Before", func(r, _ Row) string { return dashIfCalm(r, formatRatio3(r.HitRateAfter, r.HitRateBefore)) }},
	{"Refused", func(r, _ Row) string { return fmt.Sprint(r.Refused) }},
	{"Failed", func(r, _ Row) string { return fmt.Sprint(r.Failed) }},
	{"Unanswered", func(r, _ Row) string { return fmt.Sprint(r.Unanswered) }},
	{"Cut", func(r, _ Row) string { return fmt.Sprint(r.StreamsCut) }},
	{"Resent", func(r, _ Row) string { return fmt.Sprint(r.Retried) }},
	{"Busy", func(r, _ Row) string { return fmt.Sprintf("%.2f", r.Busy) }},
	{"SummaryBytes/s", func(r, _ Row) string { return fmt.Sprintf("%.0f", r.SummaryBytes) }},
}

// admissionColumns show how limits and retries handle overload and faults.
var admissionColumns = []column{
	{"User", func(r, _ Row) string { return r.User }},
	{"Scenario", func(r, _ Row) string { return r.Scenario }},
	{"Policy", func(r, _ Row) string { return r.Policy }},
	{"Requests", func(r, _ Row) string { return fmt.Sprint(r.Requests) }},
	{"Goodput", func(r, _ Row) string { return fmt.Sprintf("%.3f", r.Goodput) }},
	{"InTime", func(r, _ Row) string { return fmt.Sprintf("%.3f", r.InTime) }},
	{"SmallInTime", func(r, _ Row) string { return fmt.Sprintf("%.3f", r.SmallInTime) }},
	{"Urgent99", func(r, _ Row) string { return formatMilliseconds(r.Urgent99) }},
	{"/Calm", func(r, _ Row) string { return formatRatio(r.Urgent99, r.Calm.Urgent99) }},
	{"HitRate", func(r, _ Row) string { return fmt.Sprintf("%.4f", r.HitRate) }},
	{"Refused", func(r, _ Row) string { return fmt.Sprint(r.Refused) }},
	{"NotAtOnce", func(r, _ Row) string { return fmt.Sprint(r.LateRefusals) }},
	{"Refused99", func(r, _ Row) string { return formatMilliseconds(r.Refused99) }},
	{"ResentShare", func(r, _ Row) string { return fmt.Sprintf("%.3f", fraction(r.Retried, r.Requests)) }},
	{"Failed", func(r, _ Row) string { return fmt.Sprint(r.Failed) }},
	{"Unanswered", func(r, _ Row) string { return fmt.Sprint(r.Unanswered) }},
	{"Cut", func(r, _ Row) string { return fmt.Sprint(r.StreamsCut) }},
}

// Write prints the rows. Rows about placement and rows about limits and retries each
// get their own table.
func Write(w io.Writer, rows []Row, format Format) error {
	switch format {
	case Text, Markdown:
	case YAML:
		return WriteBounds(w, SetBounds(rows))
	default:
		return fmt.Errorf("measure: unknown format %q; supported are %s, %s, %s", format, Text, Markdown, YAML)
	}
	admission, placed := lo.FilterReject(rows, func(r Row, _ int) bool { return r.Admission })
	var b strings.Builder
	for _, t := range []struct {
		rows    []Row
		columns []column
	}{{placed, placementColumns}, {admission, admissionColumns}} {
		if len(t.rows) == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("\n")
		}
		if format == Markdown {
			writeMarkdown(&b, t.rows, t.columns)
			continue
		}
		writeText(&b, t.rows, t.columns)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("measure: write table: %w", err)
	}
	return nil
}

// writeText writes columns padded with spaces. Writes to a strings.Builder never
// fail.
func writeText(b *strings.Builder, rows []Row, columns []column) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, line := range tableLines(rows, columns) {
		fmt.Fprintln(t, strings.Join(line, "\t")+"\t")
	}
	_ = t.Flush()
}

func writeMarkdown(b *strings.Builder, rows []Row, columns []column) {
	for i, line := range tableLines(rows, columns) {
		b.WriteString("| " + strings.Join(line, " | ") + " |\n")
		if i == 0 {
			b.WriteString(strings.Repeat("|---", len(columns)) + "|\n")
		}
	}
}

// tableLines returns the header line and one line of cells for each row.
func tableLines(rows []Row, columns []column) [][]string {
	all := [][]string{lo.Map(columns, func(c column, _ int) string { return c.header })}
	for _, r := range rows {
		oracle := findOracleRow(rows, r)
		all = append(all, lo.Map(columns, func(c column, _ int) string { return c.cell(r, oracle) }))
	}
	return all
}

func findOracleRow(rows []Row, r Row) Row {
	o, _ := lo.Find(rows, func(o Row) bool {
		return o.Policy == OracleName && o.User == r.User && o.Scenario == r.Scenario
	})
	return o
}

// dashIfCalm replaces a cell by a dash in the calm scenario, which has no fault that
// the cell could refer to.
func dashIfCalm(r Row, cell string) string {
	if r.Scenario == CalmName {
		return "-"
	}
	return cell
}

type numeric interface{ ~int | ~int64 | ~float64 }

func formatRatio[T numeric](x, of T) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(x)/float64(of))
}

// formatRatio3 is formatRatio with three decimals.
func formatRatio3(x, of float64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", x/of)
}

// formatWasted prints the wasted tokens and their share of the tokens computed.
func formatWasted(r Row) string {
	return fmt.Sprintf("%dk (%.1f%%)", r.Wasted/1000, 100*fraction(r.Wasted, r.Computed))
}

func formatMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.0fms", float64(d)/float64(time.Millisecond))
}
