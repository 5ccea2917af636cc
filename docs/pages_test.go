package docs_test

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/intake"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

func read(t *testing.T, page string) string {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestCallersPageHasEveryFailureCode(t *testing.T) {
	page := read(t, "CALLERS.md")
	for c := failure.Code(0); !strings.HasPrefix(c.String(), "Code("); c++ {
		if !strings.Contains(page, "`"+c.String()+"`") {
			t.Errorf("CALLERS.md does not have %s", c)
		}
	}
}

var metricName = regexp.MustCompile(`dunlinmill_[a-z_]+`)

func TestAlarmsNameMetricsThatThereAre(t *testing.T) {
	descriptions := make(chan *prometheus.Desc)
	clients := prometheus.NewRegistry()
	if err := intake.New(intake.Unlimited(), zap.NewNop()).Register(clients); err != nil {
		t.Fatal(err)
	}
	go func() {
		clients.Describe(descriptions)
		metric.New().Registry().Describe(descriptions)
		metric.NewDroppedLines(nil).Describe(descriptions)
		close(descriptions)
	}()
	described := map[string]bool{}
	for d := range descriptions {
		described[metricName.FindString(d.String())] = true
	}
	for _, page := range []string{"OPERATING.md", "OPERATIONS.md"} {
		for _, name := range metricName.FindAllString(read(t, page), -1) {
			if !described[strings.TrimSuffix(name, "_bucket")] {
				t.Errorf("%s names %s, which no node gives", page, name)
			}
		}
	}
}

var (
	command = regexp.MustCompile(`(?m)^dunlinmill ([a-z]+)(.*)$`)
	flags   = regexp.MustCompile(` --([a-z-]+)`)
)

func TestOperatingPageUsesFlagsThatThereAre(t *testing.T) {
	matches := command.FindAllStringSubmatch(read(t, "OPERATING.md"), -1)
	if len(matches) == 0 {
		t.Fatal("no command found")
	}
	help := map[string]string{}
	for _, m := range matches {
		name := m[1]
		if _, known := help[name]; !known {
			out, err := exec.Command("go", "run", "../cmd/dunlinmill", name, "--help").Output()
			if err != nil {
				t.Fatalf("%s --help: %v", name, err)
			}
			help[name] = string(out)
		}
		line, _, _ := strings.Cut(m[2], "#")
		for _, f := range flags.FindAllStringSubmatch(line, -1) {
			if !strings.Contains(help[name], "-"+f[1]+" ") {
				t.Errorf("dunlinmill %s has no flag --%s", name, f[1])
			}
		}
	}
}

var eventNamed = regexp.MustCompile("\\b([1-8][0-9][0-9]) `([A-Z][A-Za-z]+)`")

// An engineer who looks a number up must find the event that the page means.
func TestOperationsPageNamesEventsThatThereAre(t *testing.T) {
	catalogue := read(t, "EVENTS.md")
	matches := eventNamed.FindAllStringSubmatch(read(t, "OPERATIONS.md"), -1)
	if len(matches) == 0 {
		t.Fatal("no event found")
	}
	for _, m := range matches {
		if !strings.Contains(catalogue, "| "+m[1]+" | "+m[2]+" |") {
			t.Errorf("OPERATIONS.md names %s %s, which is no event", m[1], m[2])
		}
	}
}

// Operators and tests are found by name; a proof whose test was renamed proves
// nothing any more.
func TestProofsNameTestsThatThereAre(t *testing.T) {
	tests := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, m := range declared.FindAllStringSubmatch(read(t, path), -1) {
			tests[m[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z][A-Za-z0-9_]+`).FindAllString(read(t, "PROOFS.md"), -1) {
		if !tests[name] {
			t.Errorf("PROOFS.md names %s, which there is not", name)
		}
	}
}
