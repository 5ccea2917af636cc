package docs_test

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

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
	go func() {
		metric.New().Registry().Describe(descriptions)
		close(descriptions)
	}()
	described := map[string]bool{}
	for d := range descriptions {
		described[metricName.FindString(d.String())] = true
	}
	for _, name := range metricName.FindAllString(read(t, "OPERATING.md"), -1) {
		if !described[strings.TrimSuffix(name, "_bucket")] {
			t.Errorf("OPERATING.md names %s, which no node gives", name)
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
