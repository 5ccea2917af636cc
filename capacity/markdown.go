package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"
)

// Headings of the page's tables; docs/CAPACITY.md has the same.
const (
	headBudget  = "## The budget of a node"
	headFigures = "## The figures of the size to design for"
	headRoles   = "## The roles"
	headSlopes  = "## The slopes"
)

// Write prints the page's tables.
func Write(w io.Writer, all []Slope) error {
	slopes := ByName(all)
	lines := Items(slopes)
	var b strings.Builder
	for _, part := range []struct{ head, table string }{
		{headBudget, budgetTable(lines)},
		{headFigures, figureTable(Figures(slopes))},
		{headRoles, roleTable(lines)},
		{headSlopes, slopeTable(all)},
	} {
		fmt.Fprintf(&b, "%s\n\n%s\n", part.head, part.table)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// budgetTable sets the sums of control against the budget.
func budgetTable(lines []Item) string {
	t := table{head: []string{"", "Memory", "Bytes/s", "Core", "Log appends/s, all nodes"}}
	row := func(name string, c Cost) {
		t.add(name, bytesOf(c.Memory), bytesOf(c.Bytes), percent2(c.Core), number(c.Appends))
	}
	row("Budget", Cost{Memory: BudgetMemory, Bytes: BudgetBytes, Core: BudgetCore, Appends: budgetAppends})
	for _, role := range Roles {
		row(role, Sum(lo.Filter(lines, func(l Item, _ int) bool { return l.Role == role }), Control))
	}
	row("Control, a node in the mean", Sum(lines, Control))
	for _, l := range lines {
		if f, _ := l.Cost.Over(); l.Kind == Busiest && f > 1 {
			row("The same, and "+l.What, Sum(lines, Control).plus(l.Cost))
		}
	}
	row("Serving, not budgeted", Sum(lines, Serving))
	return t.String()
}

// budgetAppends is what the log takes at least, of the several hundred.
const budgetAppends = 300

func figureTable(figures []Figure) string {
	t := table{head: []string{"Figure", "What carries it", "Verdict"}}
	for _, f := range figures {
		t.add(f.Name, f.Line, f.Verdict)
	}
	return t.String()
}

func roleTable(lines []Item) string {
	t := table{head: []string{"Role", "What", "Kind", "Memory", "Messages/s", "Bytes/s", "Core", "Log appends/s", "Mechanism", "Verdict", "From"}}
	for _, l := range lines {
		t.add(l.Role, l.What, string(l.Kind), blank(l.Cost.Memory, bytesOf), blank(l.Cost.Messages, number), blank(l.Cost.Bytes, bytesOf),
			blank(l.Cost.Core, percent2), blank(l.Cost.Appends, number), l.Mechanism, verdict(l), strings.Join(l.From, "; "))
	}
	return t.String()
}

// blank leaves out what costs nothing.
func blank(v float64, f func(float64) string) string {
	if v == 0 {
		return ""
	}
	return f(v)
}

// verdict says whether a line alone is within the whole budget. A line that
// takes more than the budget alone is over, and says what has to change; so is
// one that takes more than a fifth of it, if it has something to change.
func verdict(l Item) string {
	f, resource := l.Cost.Over()
	change := ""
	if l.Change != "" {
		change = ": " + l.Change
	}
	switch {
	case l.Kind == Serving || l.Kind == Part:
		return "not budgeted"
	case f > 1:
		return fmt.Sprintf("over, %s (%s)%s", factor(f), resource, change)
	case l.Change != "":
		return fmt.Sprintf("%s of the budget (%s)%s", percent(f), resource, change)
	}
	return fmt.Sprintf("%s of the budget (%s)", percent(f), resource)
}

func percent2(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

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
