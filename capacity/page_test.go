package capacity

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
)

// letter is each figure of the size to design for, as it is written there.
var letter = []string{
	"360 nodes", "1,700 runners", "14,000 accelerators",
	"7,600 requests/s", "3.4 M tokens/s",
	"first token within 1 s, 34 ms between tokens",
	"170 M blocks", "240,000 cache events/s",
	"1,500 workspaces", "5 models", "3 regions", "7 data centres",
	"7,800 changes a day", "in force everywhere within 8 s",
	"2.4% of a core", "256 MB", "14 KB/s", "log: several hundred appends a second",
	"11 failures a day", "450 restarts or replacements a day",
	"loss of a rack", "loss of a data centre", "loss of a region link",
}

// anySlopes has each slope that the page's lines ask for, as lines of one
// unit each.
func anySlopes() Slopes {
	all := Slopes{}
	for _, name := range asked() {
		all[name] = Slope{Name: name, Line: Line{Base: 1, Slope: 1}}
	}
	return all
}

// asked finds the names of the slopes by asking until none is missing.
func asked() []string {
	known := Slopes{}
	for {
		missing := firstMissing(known)
		if missing == "" {
			return lo.Keys(known)
		}
		known[missing] = Slope{Line: Line{Base: 1, Slope: 1}}
	}
}

func firstMissing(known Slopes) (name string) {
	defer func() {
		if v := recover(); v != nil {
			_, name, _ = strings.Cut(v.(string), `"`)
			name = strings.TrimSuffix(name, `"`)
		}
	}()
	Figures(known)
	return ""
}

func TestFiguresAreComplete(t *testing.T) {
	names := lo.Map(Figures(anySlopes()), func(f Figure, _ int) string { return f.Name })
	missing, extra := lo.Difference(letter, names)
	if len(missing) > 0 || len(extra) > 0 {
		t.Errorf("without a line: %q; not in the letter: %q", missing, extra)
	}
	for _, f := range Figures(anySlopes()) {
		if f.Line == "" || f.Verdict == "" {
			t.Errorf("%s: line %q, verdict %q", f.Name, f.Line, f.Verdict)
		}
	}
}

func TestRolesAreComplete(t *testing.T) {
	items := Items(anySlopes())
	for _, role := range Roles {
		if !lo.SomeBy(items, func(i Item) bool { return i.Role == role }) {
			t.Errorf("%s has no line", role)
		}
	}
	for _, i := range items {
		if !slices.Contains(Roles, i.Role) || len(i.From) == 0 || i.Mechanism == "" || i.Cost == (Cost{}) {
			t.Errorf("%s, %s: role, slopes, mechanism or cost is missing", i.Role, i.What)
		}
	}
}

// TestPage holds the page against the code: each figure, each line of a role
// and each slope that a line is worked out from stands there.
func TestPage(t *testing.T) {
	body, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(body)
	want := []string{headBudget, headFigures, headRoles, headSlopes}
	for _, f := range letter {
		want = append(want, "| "+f+" |")
	}
	for _, i := range Items(anySlopes()) {
		want = append(want, "| "+i.Role+" | "+i.What+" |")
	}
	for _, name := range asked() {
		want = append(want, "| "+name+" |")
	}
	for _, w := range want {
		if !strings.Contains(page, w) {
			t.Errorf("docs/CAPACITY.md lacks %q", w)
		}
	}
}

func TestOver(t *testing.T) {
	tests := []struct {
		cost     Cost
		factor   float64
		resource string
	}{
		{Cost{}, 0, ""},
		{Cost{Bytes: 7000, Core: 0.006}, 0.5, "bytes/s"},
		{Cost{Bytes: 7000, Core: 0.048}, 2, "core"},
		{Cost{Memory: 3 * BudgetMemory, Appends: 1e9}, 3, "memory"},
	}
	for _, tt := range tests {
		f, resource := tt.cost.Over()
		near(t, "factor", f, tt.factor)
		if resource != tt.resource {
			t.Errorf("%+v is over in %q, want %q", tt.cost, resource, tt.resource)
		}
	}
}

func TestSumIsOfOneKind(t *testing.T) {
	items := []Item{
		{Kind: Control, Cost: Cost{Memory: 1, Messages: 2, Bytes: 3, Core: 4, Appends: 5}},
		{Kind: Busiest, Cost: Cost{Memory: 100}},
		{Kind: Control, Cost: Cost{Memory: 10, Messages: 20, Bytes: 30, Core: 40, Appends: 50}},
	}
	want := Cost{Memory: 11, Messages: 22, Bytes: 33, Core: 44, Appends: 55}
	if got := Sum(items, Control); got != want {
		t.Errorf("sum is %+v, want %+v", got, want)
	}
}

// TestFleetFindsALostNode has all nodes know each other, and a lost node
// found, in the small network of this package.
func TestFleetFindsALostNode(t *testing.T) {
	f, err := newMemberFleet(8, 2)
	if err != nil {
		t.Fatal(err)
	}
	f.tellNews()
	f.run(10)
	for _, n := range f.nodes {
		if live := len(n.table.Live(f.now)); live != 8 {
			t.Fatalf("%s counts %d of 8 live", n.name, live)
		}
	}
	if _, err := f.lose(f.nodes[:1]); err != nil {
		t.Error(err)
	}
}
