package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Format is how a table is written.
type Format string

// The formats.
const (
	Text     Format = "text"
	Markdown Format = "markdown"
)

var columns = []string{
	"User", "Scenario", "Policy", "Requests", "HitRate", "/Oracle", "TTFT50", "TTFT99", "/Oracle", "/Calm", "After5s/Calm",
	"Urgent99", "/Oracle", "Wasted", "/Oracle", "Hit1000/Before", "Refused", "Failed", "Unanswered", "Cut", "Retried",
	"Busy", "SummaryBytes/s",
}

// Write prints the rows. Ratios are to the oracle's row of the same user and
// scenario, and "-" if there is none.
func Write(w io.Writer, rows []Row, format Format) error {
	switch format {
	case Markdown:
		return writeMarkdown(w, rows)
	case Text:
		return writeText(w, rows)
	}
	return fmt.Errorf("measure: no format %q; there are %s, %s", format, Text, Markdown)
}

func writeText(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(columns, "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(cells(r, oracleOf(rows, r)), "\t")+"\t")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("measure: table: %w", err)
	}
	return nil
}

func writeMarkdown(w io.Writer, rows []Row) error {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(columns)
	b.WriteString(strings.Repeat("|---", len(columns)) + "|\n")
	for _, r := range rows {
		line(cells(r, oracleOf(rows, r)))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("measure: table: %w", err)
	}
	return nil
}

func oracleOf(rows []Row, r Row) Row {
	for _, o := range rows {
		if o.Policy == OracleName && o.User == r.User && o.Scenario == r.Scenario {
			return o
		}
	}
	return Row{}
}

func cells(r, oracle Row) []string {
	settled, restarted := "-", "-"
	if r.Scenario != CalmName {
		settled = ratio(float64(r.Settled99), float64(r.Calm.First99))
		restarted = fmt.Sprintf("%.3f", r.HitRateAfter/r.HitRateBefore)
	}
	return []string{
		r.User, r.Scenario, r.Policy,
		fmt.Sprint(r.Requests),
		fmt.Sprintf("%.4f", r.HitRate), ratio(r.HitRate, oracle.HitRate),
		milliseconds(r.First50),
		milliseconds(r.First99), ratio(float64(r.First99), float64(oracle.First99)),
		ratio(float64(r.First99), float64(r.Calm.First99)), settled,
		milliseconds(r.Urgent99), ratio(float64(r.Urgent99), float64(oracle.Urgent99)),
		share(r.Wasted, r.Computed), ratio(float64(r.Wasted), float64(oracle.Wasted)),
		restarted,
		fmt.Sprint(r.Refused), fmt.Sprint(r.Failed), fmt.Sprint(r.Unanswered), fmt.Sprint(r.Cut), fmt.Sprint(r.Retried),
		fmt.Sprintf("%.2f", r.Busy),
		fmt.Sprintf("%.0f", r.SummaryBytes),
	}
}

// share is tokens with their share of a whole.
func share(part, whole int) string {
	if whole == 0 {
		return fmt.Sprint(part)
	}
	return fmt.Sprintf("%dk (%.1f%%)", part/1000, 100*float64(part)/float64(whole))
}

func ratio(x, of float64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", x/of)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.0fms", float64(d)/float64(time.Millisecond))
}
