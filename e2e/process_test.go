package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hangLimit bounds each wait. It is far longer than any of them takes, so that it is
// reached only when something hangs.
const hangLimit = 40 * time.Second

const pollInterval = 20 * time.Millisecond

const sigterm = syscall.SIGTERM

// await polls until f returns nil. At hangLimit it fails the test with f's last
// error.
func await(t *testing.T, what string, f func() error) {
	t.Helper()
	if err := pollUntil(f); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func pollUntil(f func() error) error {
	deadline := time.Now().Add(hangLimit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// process is a running program that can be restarted.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	log     string // path
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error // result of Wait; valid once ended is closed
}

// launch starts a program. It is killed at the end of the test, even if the test
// panics or is killed itself, and the end of its log is printed if the test failed.
func launch(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, program: program, args: args, log: filepath.Join(dir, name+".log")}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if fault := runtimeFaults.FindString(p.output()); fault != "" {
			t.Errorf("%s reported %q", name, fault)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// runtimeFaults matches what the Go runtime and the race detector report.
var runtimeFaults = regexp.MustCompile(`(?m)^(WARNING: DATA RACE|panic: .*|fatal error: .*)$`)

// start starts the program, or restarts it after it has ended.
func (p *process) start() {
	p.t.Helper()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		p.err = cmd.Wait()
		close(ended)
	}()
}

// signal sends a signal to the process, which has to be running.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s to %s: %v", s, p.name, err)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("kill %s: %v", p.name, err)
	}
	<-p.ended
}

// awaitEnd waits until the process has ended by itself, and returns its error.
func (p *process) awaitEnd() error {
	p.t.Helper()
	select {
	case <-p.ended:
		return p.err
	case <-time.After(hangLimit):
		p.t.Fatalf("%s does not end", p.name)
		return nil
	}
}

func (p *process) output() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// tailLines is how many lines of a log are printed at most.
const tailLines = 40

// requestLines matches log lines that each request writes and that would crowd out
// the others.
var requestLines = regexp.MustCompile(`"Name":"(RequestPlaced|RequestAnswered)"`)

func (p *process) tail() string {
	lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(p.output()), "\n"), requestLines.MatchString)
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// result is the result of one command line.
type result struct {
	code     int
	out, err string
}

// runCommand runs the operators' program and waits for its end.
func runCommand(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	cmd := exec.Command(dunlinmill, args...)
	var out, errOut bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errOut
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Errorf("dunlinmill %v: %v", args, err)
	}
	return result{code: cmd.ProcessState.ExitCode(), out: out.String(), err: errOut.String()}
}

// Bounds of the ports in use. They are below the range from which the kernel chooses
// ports of outgoing connections, so that nothing takes the port of a process while it
// restarts.
const (
	firstPort = 20000
	lastPort  = 26000 // above are those of package platform
)

// ports hands out each port once per run: a process that was just started may not
// listen yet, and the next one would otherwise get the same port. A run reserves a
// range of ports by listening on the first port of the range, so that concurrent runs
// use different ports.
var ports struct {
	mu            sync.Mutex
	rangeListener net.Listener
	next          int
}

// portsPerRun is more than the number of ports that one run uses.
const portsPerRun = 1000

// reservePortRange reserves a range that no other run holds. The caller must hold
// ports.mu.
func reservePortRange(t *testing.T) {
	t.Helper()
	for first := firstPort; first < lastPort; first += portsPerRun {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.rangeListener, ports.next = ln, first+1
			return
		}
	}
	t.Fatal("all ranges of ports are reserved by other runs")
}

// freeAddresses returns addresses on which nothing listens and that no other call has
// returned.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.rangeListener == nil {
		reservePortRange(t)
	}
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isFree reports whether nothing listens at an address. Nothing is forked meanwhile: a child would have a
// copy of the listener until it executes its program, and the port would be in use for as long.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}
