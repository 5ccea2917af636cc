package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"
)

// Write prints the page's tables.
func Write(w io.Writer, slopes []Slope) error {
	_, err := io.WriteString(w, slopeTable(slopes))
	return err
}

// table is a table of markdown.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// String gives the lines of the table.
func (t *table) String() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.head)
	line(lo.Map(t.head, func(string, int) string { return "---" }))
	for _, r := range t.rows {
		line(r)
	}
	return b.String()
}

// slopeTable gives what was measured.
func slopeTable(slopes []Slope) string {
	t := table{head: []string{"Slope", "Code", "Grows per", "Sizes: values", "Unit", "Base", "One more", "Residual"}}
	for _, s := range slopes {
		points := lo.Map(s.Points, func(p Point, _ int) string { return number(p.Size) + ": " + number(p.Value) })
		t.add(s.Name, s.Code, string(s.Per), strings.Join(points, ", "), s.Unit,
			number(s.Line.Base), number(s.Line.Slope), percent(s.Line.Residual))
	}
	return t.String()
}

// number gives three digits that count, with thousands set apart.
func number(v float64) string {
	if v < 0 {
		return "-" + number(-v)
	}
	switch {
	case v == 0:
		return "0"
	case v < 0.001:
		return fmt.Sprintf("%.2g", v)
	case v < 1:
		return fmt.Sprintf("%.3g", v)
	case v < 10:
		return strings.TrimSuffix(fmt.Sprintf("%.2f", v), ".00")
	case v < 100:
		return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
	}
	return thousands(fmt.Sprintf("%.0f", v))
}

// thousands sets a comma before each three digits.
func thousands(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
