package event

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	root = "../.."
	page = root + "/docs/EVENTS.md"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

// entry is one line of the catalogue.
type entry struct {
	number  Event
	name    string
	meaning string
	toDo    string
	levels  map[string]bool
}

// logFunctions are the functions of this package that log, by their levels.
var logFunctions = map[string]string{"Info": "info", "Warn": "warn", "Error": "error"}

// The page is made from the doc comments of the constants and from the calls
// that log them. An event without a comment, a warning that does not say what
// to do, or a page that says something else than the code leaves an operator
// alone with a number at night.
func TestCatalogue(t *testing.T) {
	entries := readConstants(t)
	readLevels(t, entries)
	sorted := slices.SortedFunc(maps.Values(entries), func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	want := render(sorted)
	if *update {
		if err := os.WriteFile(page, want, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	for _, e := range sorted {
		switch {
		case e.meaning == "":
			t.Errorf("%d %s has no doc comment", e.number, e.name)
		case len(e.levels) == 0:
			t.Errorf("%d %s is logged nowhere", e.number, e.name)
		case (e.levels["warn"] || e.levels["error"]) && e.toDo == "":
			t.Errorf(`%d %s is logged as %s; its comment needs "To do: ..."`, e.number, e.name, levelNames(e))
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is not what the code says; run: go generate ./process/event", page)
	}
}

// readConstants reads the constants of type Event with their comments.
func readConstants(t *testing.T) map[string]*entry {
	t.Helper()
	numbers := map[string]Event{}
	for n := Event(100); n < 1000; n++ {
		if name := n.String(); !strings.HasPrefix(name, "Event(") {
			numbers[name] = n
		}
	}
	entries := map[string]*entry{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		for _, d := range parse(t, file).Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.CONST {
				continue
			}
			for _, s := range g.Specs {
				v := s.(*ast.ValueSpec)
				name := v.Names[0].Name
				if n, known := numbers[name]; known {
					entries[name] = newEntry(n, name, v.Doc.Text())
				}
			}
		}
	}
	if len(entries) != len(numbers) {
		t.Errorf("%d constants, %d names in event_string.go", len(entries), len(numbers))
	}
	return entries
}

// newEntry takes a comment of the form "Name: meaning. To do: what."
func newEntry(n Event, name, doc string) *entry {
	text := strings.Join(strings.Fields(doc), " ")
	text = strings.TrimPrefix(text, name)
	text = strings.TrimPrefix(text, ":")
	text = strings.TrimPrefix(text, " says that")
	meaning, toDo, _ := strings.Cut(text, "To do:")
	return &entry{number: n, name: name, meaning: sentence(meaning), toDo: sentence(toDo), levels: map[string]bool{}}
}

func sentence(s string) string {
	s = strings.TrimSpace(s)
	if s == "" {
		return ""
	}
	return strings.ToUpper(s[:1]) + s[1:]
}

// readLevels finds the calls that log each event, in all code but tests.
func readLevels(t *testing.T, entries map[string]*entry) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
			return fs.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			levelsOfFile(parse(t, path), entries)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// levelsOfFile notes the level of each event that a file logs by a call, of
// this package's functions or of a helper named for the level. An event that
// the file names elsewhere, in a table for instance, has all levels whose
// functions the file names without calling them.
func levelsOfFile(f *ast.File, entries map[string]*entry) {
	direct := map[*ast.SelectorExpr]bool{}
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		level := levelOfCall(call)
		if level == "" {
			return true
		}
		if function := ofEvent(call.Fun); function != nil {
			direct[function] = true
		}
		for _, a := range call.Args {
			if s := ofEvent(a); s != nil && entries[s.Sel.Name] != nil {
				direct[s] = true
				entries[s.Sel.Name].levels[level] = true
			}
		}
		return true
	})
	var named []*entry
	var levels []string
	ast.Inspect(f, func(n ast.Node) bool {
		e, ok := n.(ast.Expr)
		if s := ofEvent(e); ok && s != nil && !direct[s] {
			if found := entries[s.Sel.Name]; found != nil {
				named = append(named, found)
			}
			if level := logFunctions[s.Sel.Name]; level != "" {
				levels = append(levels, level)
			}
		}
		return true
	})
	for _, e := range named {
		for _, level := range levels {
			e.levels[level] = true
		}
	}
}

// levelOfCall gives the level that a call's function is named for, or "".
func levelOfCall(call *ast.CallExpr) string {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	for name, level := range logFunctions {
		if strings.EqualFold(function.Sel.Name, name) {
			return level
		}
	}
	return ""
}

// ofEvent gives the selector event.X, or nil.
func ofEvent(e ast.Expr) *ast.SelectorExpr {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != "event" {
		return nil
	}
	return s
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func levelNames(e *entry) string {
	return strings.Join(slices.Sorted(maps.Keys(e.levels)), " or ")
}

// areas are the hundreds of the numbers.
var areas = map[Event]string{
	1: "Requests",
	2: "Peers and membership",
	3: "Configuration and plans",
	4: "Journal",
	5: "Process",
	6: "Operator interface",
	7: "Stand-ins",
	8: "Upstreams and placement",
}

func render(entries []*entry) []byte {
	var b bytes.Buffer
	b.WriteString(`# Log events

Each line of the log is one JSON object. "Event" is the number below, "Name"
its name; "Time", "Level", "Node" and "DataCentre" are on every line, and the
other fields belong to the event. A number, once given, keeps its meaning.

This page is made from the code by "go generate ./process/event".
`)
	area := Event(0)
	for _, e := range entries {
		if e.number/100 != area {
			area = e.number / 100
			fmt.Fprintf(&b, "\n## %d: %s\n\n| Number | Name | Level | Meaning | What to do |\n|---|---|---|---|---|\n", area*100, areas[area])
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.number, e.name, levelNames(e), e.meaning, cmp.Or(e.toDo, "Nothing."))
	}
	return b.Bytes()
}
