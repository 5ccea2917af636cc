package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/dunlinmill/dunlinmill/load"
)

// line is what the tests read of a line of a node's log.
type line struct {
	Level     string
	Name      string
	Listener  string
	Address   string
	Offset    *uint64
	Lacks     []string
	Callers   string
	Operators string
	Peers     string
}

// lines reads a node's log, as far as whole lines are there.
func (p *process) lines() []line {
	p.t.Helper()
	var all []line
	for text := range strings.Lines(p.output()) {
		if !strings.HasSuffix(text, "\n") {
			break
		}
		var l line
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			p.t.Fatalf("%s logged %q: %v", p.name, text, err)
		}
		all = append(all, l)
	}
	return all
}

// awaitLine waits for a line of the log, the last of that name.
func (p *process) awaitLine(name string) line {
	p.t.Helper()
	var found line
	await(p.t, name+" in the log of "+p.name, func() error {
		all := p.lines()
		slices.Reverse(all)
		i := slices.IndexFunc(all, func(l line) bool { return l.Name == name })
		if i < 0 {
			return errors.New("no such line")
		}
		found = all[i]
		return nil
	})
	return found
}

// An operator starts a node by its settings alone, before anything else is
// there, and has to learn from its log what it listens on, at which offset
// its configuration is, and what it lacks.
func TestBareServeSaysWhatItLacks(t *testing.T) {
	t.Parallel()
	a := freeAddresses(t, 3)
	p := launch(t, t.TempDir(), "bare", dunlinmill, "serve", "--settings", "../examples/hidrantis/settings.yaml",
		"--listen-callers-address", a[0], "--listen-operators-address", a[1], "--listen-peers-address", a[2],
		"--platform-log", "127.0.0.1:1", "--platform-vm-list", "127.0.0.1:1")
	ready := p.awaitLine("ProcessReady")
	if ready.Offset == nil || *ready.Offset != 0 {
		t.Errorf("offset: %v", ready.Offset)
	}
	if want := []string{"log", "configuration", "peers"}; !slices.Equal(ready.Lacks, want) {
		t.Errorf("lacks %v, want %v", ready.Lacks, want)
	}
	if got := []string{ready.Callers, ready.Operators, ready.Peers}; !slices.Equal(got, a) {
		t.Errorf("listens on %v, want %v", got, a)
	}
	for i, name := range []string{"Callers", "Operators", "Peers"} {
		if !slices.ContainsFunc(p.lines(), func(l line) bool {
			return l.Name == "ListenerOpen" && l.Listener == name && l.Address == a[i]
		}) {
			t.Errorf("no line about the listener %s", name)
		}
	}
	// It has no configuration and so knows no key. A caller who was told that
	// its key is wrong would not come back, and the balancer must not choose
	// this node.
	if err := get(a[0], "/health", nil); err != nil {
		t.Errorf("health: %v", err)
	}
	if err := get(a[0], "/ready", nil); err == nil || err.Error() != "503 Service Unavailable" {
		t.Errorf("ready: %v", err)
	}
	_, err := load.NewClient(a[:1]).Stream(t.Context(), chatOf(alpha, 1))
	var r *load.Refusal
	if !errors.As(err, &r) || r.Code != "PlatformUnavailable" || r.Ran != "NotRun" || r.RetryAfter == 0 {
		t.Errorf("a caller got %v", err)
	}
}

// A node that starts while all is there says at which offset it is.
func TestServeSaysItsOffset(t *testing.T) {
	t.Parallel()
	l := small
	l.nodes = 2
	s := newSite(t, l)
	want, err := s.status(0)
	if err != nil {
		t.Fatal(err)
	}
	n := s.nodes[1]
	n.signal(sigterm)
	if err := n.awaitEnd(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	n.awaitLine("ProcessStopped")
	n.start()
	await(t, "second start", func() error {
		ready := 0
		for _, l := range n.lines() {
			if l.Name == "ProcessReady" {
				ready++
			}
		}
		if ready < 2 {
			return fmt.Errorf("%d starts", ready)
		}
		return nil
	})
	got := n.awaitLine("ProcessReady")
	if got.Offset == nil || *got.Offset < uint64(want.Offset) {
		t.Errorf("offset is %v, want %d at least", got.Offset, want.Offset)
	}
	// It need not have heard of its peers yet.
	if slices.Contains(got.Lacks, "log") || slices.Contains(got.Lacks, "configuration") {
		t.Errorf("lacks %v", got.Lacks)
	}
}
