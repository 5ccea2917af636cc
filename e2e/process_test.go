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

// hangLimit bounds everything that is awaited. It is far above what any of it
// takes, so that it decides only whether something hangs.
const hangLimit = 40 * time.Second

const pollInterval = 20 * time.Millisecond

const sigterm = syscall.SIGTERM

// await polls until f gives nil, and fails the test with its last error.
func await(t *testing.T, what string, f func() error) {
	t.Helper()
	if err := awaitError(f); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func awaitError(f func() error) error {
	deadline := time.Now().Add(hangLimit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// process is one program that runs, and can be started again.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	log     string // file
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error // of Wait, to be read once ended is closed
}

// launch starts a program. It is killed at the test's end, also if the test
// panics or is killed itself, and its log is shown if the test failed.
func launch(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, program: program, args: args, log: filepath.Join(dir, name+".log")}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if fault := faults.FindString(p.output()); fault != "" {
			t.Errorf("%s reported %q", name, fault)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// faults are what the language's runtime reports of a program.
var faults = regexp.MustCompile(`(?m)^(WARNING: DATA RACE|panic: .*|fatal error: .*)$`)

// start starts the program, again after its end.
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

// signal sends a signal to the process, which has to be there.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s to %s: %v", s, p.name, err)
	}
}

// kill ends the process at once, and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("kill %s: %v", p.name, err)
	}
	<-p.ended
}

// awaitEnd waits until the process has ended by itself, and gives its error.
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

// tailLines is how much of a log is shown.
const tailLines = 40

// usual are the lines of each request, which would crowd out the rest.
var usual = regexp.MustCompile(`"Name":"(RequestPlaced|RequestAnswered)"`)

func (p *process) tail() string {
	lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(p.output()), "\n"), usual.MatchString)
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// result is what one command line did.
type result struct {
	code     int
	out, err string
}

// command runs the operators' program to its end.
func command(t *testing.T, stdin string, args ...string) result {
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

// Ports below the range that the kernel gives to outgoing connections, so
// that nobody takes a process's port while it is being restarted.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports gives each port once in a run: a process that was just started may not
// have taken its port yet, and the next one would be given the same. A run has
// a range for itself, which it holds by listening on the range's first port, so
// that runs side by side don't meet.
var ports struct {
	mu    sync.Mutex
	guard net.Listener
	next  int
}

// portRange is more than one run takes.
const portRange = 1000

// takeRange finds a range that no other run holds. Its caller holds ports.mu.
func takeRange(t *testing.T) {
	t.Helper()
	for first := firstPort; first < lastPort; first += portRange {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.guard, ports.next = ln, first+1
			return
		}
	}
	t.Fatal("every range of ports is held by another run")
}

// freeAddresses gives addresses that nothing listens on and that no other call
// was given.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.guard == nil {
		takeRange(t)
	}
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		addresses = append(addresses, address)
	}
	return addresses
}
