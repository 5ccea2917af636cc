package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process holds.
type Usage struct {
	Resident int64 // bytes of resident memory
	Unread   int64 // bytes that the kernel has received for the process and the process has not read
	// Bytes is the sum of both at a time, and Resident at least.
	Bytes       int64
	Descriptors int // open descriptors
}

// Bounds are what a process may hold.
type Bounds struct {
	Bytes       int64
	Descriptors int // 0: without a bound
}

// Check returns an error if the usage exceeds a bound.
func (u Usage) Check(b Bounds) error {
	var errs []error
	if u.Bytes > b.Bytes {
		errs = append(errs, fmt.Errorf("%v: %d MiB are allowed", u, b.Bytes>>20))
	}
	if b.Descriptors > 0 && u.Descriptors > b.Descriptors {
		errs = append(errs, fmt.Errorf("%v: %d descriptors are allowed", u, b.Descriptors))
	}
	return errors.Join(errs...)
}

func (u Usage) String() string {
	return fmt.Sprintf("%d MiB, %d KiB of them unread, %d descriptors", u.Bytes>>20, u.Unread>>10, u.Descriptors)
}

// sampleInterval is the time between two measurements.
const sampleInterval = 20 * time.Millisecond

// Meter measures a process until it is stopped.
type Meter struct {
	pid   int
	ports map[string]bool // listening ports, in the kernel's notation
	stop  chan struct{}
	done  sync.WaitGroup

	mu   sync.Mutex // guards peak
	peak Usage
}

// NewMeter measures a process that listens on the given ports. Connections that it has not accepted yet
// count as well.
func NewMeter(pid int, ports ...uint16) *Meter {
	m := &Meter{pid: pid, ports: map[string]bool{}, stop: make(chan struct{})}
	for _, p := range ports {
		m.ports[fmt.Sprintf("%04X", p)] = true
	}
	m.done.Go(func() {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-tick.C:
				m.Sample()
			}
		}
	})
	return m
}

// Stop ends the measurement and returns the peak of each figure. Resident memory counts at its highest ever,
// between two measurements as well.
func (m *Meter) Stop() Usage {
	close(m.stop)
	m.done.Wait()
	m.Sample()
	m.peak.Resident = max(m.peak.Resident, m.residentBytes("VmHWM:"))
	m.peak.Bytes = max(m.peak.Bytes, m.peak.Resident)
	return m.peak
}

// Peak returns the peak of each figure so far.
func (m *Meter) Peak() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// Sample measures now, beside the measurements at intervals.
func (m *Meter) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	inodes := m.sockets()
	unread := m.unreadBytes(inodes)
	resident := m.residentBytes("VmRSS:")
	m.peak = Usage{
		Resident:    max(m.peak.Resident, resident),
		Bytes:       max(m.peak.Bytes, resident+unread),
		Unread:      max(m.peak.Unread, unread),
		Descriptors: max(m.peak.Descriptors, m.descriptors()),
	}
}

// residentBytes returns a line of the process's status; 0 if the process has ended.
func (m *Meter) residentBytes(name string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid)) // fails once the process has ended
	_, rest, _ := strings.Cut(string(data), name)
	line, _, _ := strings.Cut(rest, "\n")
	kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(line), " kB"), 10, 64)
	return kib << 10
}

func (m *Meter) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)) // fails once the process has ended
	return len(entries)
}

// sockets returns the inodes of the process's sockets.
func (m *Meter) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", m.pid)
	entries, _ := os.ReadDir(dir) // fails once the process has ended
	inodes := map[string]bool{}
	for _, e := range entries {
		target, _ := os.Readlink(dir + "/" + e.Name()) // fails if it was closed meanwhile
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	columnInode  = 9

	stateListening = "0A"
)

// unreadBytes returns what the kernel holds for the process's sockets and for connections to its ports that
// were not accepted.
func (m *Meter) unreadBytes(inodes map[string]bool) int64 {
	data, _ := os.ReadFile("/proc/net/tcp")
	var sum int64
	for line := range bytes.Lines(data) {
		f := strings.Fields(string(line))
		if len(f) <= columnInode || f[columnState] == stateListening {
			continue
		}
		_, port, _ := strings.Cut(f[columnLocal], ":")
		if !m.ports[port] && !inodes[f[columnInode]] {
			continue
		}
		_, queue, _ := strings.Cut(f[columnQueues], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}
