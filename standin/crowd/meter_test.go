package crowd

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// holderVariable makes this test binary hold memory, and bytes of connections that it doesn't read, instead of running
// tests.
const holderVariable = "DUNLINMILL_TEST_HOLDER"

// What the holder holds.
const (
	heldBytes     = 64 << 20
	unreadClients = 10
	unreadBytes   = 8 << 10 // of each client
)

func TestMain(m *testing.M) {
	if os.Getenv(holderVariable) == "" {
		os.Exit(m.Run())
	}
	if err := hold(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// hold prints the address where it listens, and holds on until its standard input ends.
func hold() error {
	held := make([]byte, heldBytes)
	for i := range held {
		held[i] = byte(i)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	for range unreadClients / 2 { // the others are never accepted
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
	}
	_, err = os.Stdin.Read(held[:1]) // ends with the test
	return err
}

// residentMemory reads the resident memory of a process, its highest ever, from the system.
func residentMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); f[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatal("the system does not state the resident memory")
	return 0
}

// Guards against a meter that misses resident memory, bytes that are not read, connections that are not accepted, or
// descriptors, so that no crowd exceeds its bounds.
func TestMeterSeesWhatProcessHolds(t *testing.T) {
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), holderVariable+"=1")
	in, err := holder.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := holder.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = holder.Wait() }()
	defer func() { _ = in.Close() }()
	var address string
	if _, err := fmt.Fscanln(out, &address); err != nil {
		t.Fatal(err)
	}
	m := NewMeter(holder.Process.Pid, netip.MustParseAddrPort(address).Port())
	for range unreadClients {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Write(make([]byte, unreadBytes)); err != nil {
			t.Fatal(err)
		}
	}
	for { // until the kernel has delivered all
		m.Sample()
		if m.Peak().Unread >= unreadClients*unreadBytes {
			break
		}
		time.Sleep(time.Millisecond)
	}
	resident := residentMemory(t, holder.Process.Pid)
	peak := m.Stop()
	if resident < heldBytes || peak.Resident < resident {
		t.Errorf("%d bytes are resident, %d are held, the meter has %d", resident, heldBytes, peak.Resident)
	}
	if want := int64(heldBytes + unreadClients*unreadBytes); peak.Bytes < want {
		t.Errorf("%v: at least %d bytes are held", peak, want)
	}
	if peak.Descriptors < unreadClients/2 {
		t.Errorf("%v: %d connections are accepted", peak, unreadClients/2)
	}
	exceeded := []Bounds{{Bytes: heldBytes}, {Bytes: 1 << 40, Descriptors: 2}}
	for _, b := range exceeded {
		if peak.Check(b) == nil {
			t.Errorf("%v passes for within %+v", peak, b)
		}
	}
	if err := peak.Check(Bounds{Bytes: 1 << 40}); err != nil {
		t.Error(err)
	}
}
