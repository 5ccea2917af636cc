// Command harness plays the cases of the review: it starts the system's processes with the command of
// the deploy file, and the store, the runners, the balancer and the clients as stand-ins.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// verdict is what a case has shown.
type verdict int

// The exit codes of a case.
const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

// cases by the name of their folder.
var cases = map[string]func(*world) (verdict, error){"kill": runKill, "wall": runWall}

// world is a small deployment: the store, the runners and the nodes.
type world struct {
	dir     string // temporary
	trouble bool
	began   time.Time
	store   *store
	nodes   []*node
	runners []*runner

	mu     sync.Mutex // guards all below
	record *bufio.Writer
	runs   map[string][]*run // by attempt
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(int(cannotRun))
	}
	v, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		v = cannotRun
	}
	fmt.Println(map[verdict]string{held: "held", broken: "broken", cannotRun: "not run"}[v])
	os.Exit(int(v))
}

func play(name, folder string) (v verdict, err error) {
	playCase, ok := cases[name]
	if !ok {
		return cannotRun, fmt.Errorf("no case %q", name)
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannotRun, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(f), runs: map[string][]*run{}}
	defer func() {
		w.close()
		err = errors.Join(err, w.record.Flush(), f.Close())
	}()
	return playCase(w)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		_ = n.log.Close()
	}
	for _, r := range w.runners {
		r.close()
	}
	if w.store != nil {
		w.store.close()
	}
}

// note writes a line to the record, with the time since the begin.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// addRun records that a runner began to work on a request.
func (w *world) addRun(x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[x.id] = append(w.runs[x.id], x)
	_, _ = fmt.Fprintf(w.record, "%8.3f run %s at %s for %q\n", x.at.Sub(w.began).Seconds(), x.id, x.runner, x.tenant)
}

func (w *world) runsOf(id string) []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
