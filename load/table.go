package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Row is one user's row in the table.
type Row struct {
	User   string
	Totals Totals
}

// timePrecision is the precision of the times in the table.
const timePrecision = 100 * time.Microsecond

// PrintTable writes a row for each user, and then the errors that were kept.
func PrintTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "user\tserved\trefused\tlost\twrong\thit rate\tTTFT median\tTTFT p99\twasted recomputation") // Flush returns the error
	for _, r := range rows {
		x := r.Totals
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%d\n", r.User, x.Served, x.Refused, x.Lost, x.Wrong,
			x.HitRate, x.Median.Round(timePrecision), x.P99.Round(timePrecision), x.Recomputed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		for _, err := range r.Totals.Failures {
			if _, err := fmt.Fprintf(w, "  %s: %v\n", r.User, err); err != nil {
				return err
			}
		}
	}
	return nil
}
