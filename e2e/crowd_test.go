package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/standin/crowd"
)

// The node of these tests.
const (
	crowdMemoryMiB   = 134
	crowdBodyBytes   = 4 << 20 // the default limit
	crowdDescriptors = 300
	// crowdSpareDescriptors have to stay free for upstreams, other nodes and the platform.
	crowdSpareDescriptors = 30
)

// crowdSite is a site with one node, and a meter of what the node holds.
type crowdSite struct {
	*site
	meter       *crowd.Meter
	descriptors int // that the node may open; 0: the test's own limit
}

// newCrowdSite starts a site whose node may use little memory, and so many descriptors if it is above 0.
func newCrowdSite(t *testing.T, descriptors int) crowdSite {
	t.Helper()
	t.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", crowdMemoryMiB))
	l := smallLayout
	l.settings, l.descriptors = "", descriptors
	s := newSite(t, l)
	n := s.nodes[0]
	meter := crowd.NewMeter(n.cmd.Process.Pid, portOf(t, n.callers), portOf(t, n.operators), portOf(t, n.peers))
	return crowdSite{site: s, meter: meter, descriptors: descriptors}
}

func portOf(t *testing.T, address string) uint16 {
	t.Helper()
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return a.Port()
}

// crowdHead returns the heads of a crowd's requests, without their ends.
func crowdHead(path, token string) func(client int) string {
	return func(int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\n", path, token)
	}
}

// serves waits until an ordinary call to the plain service is answered, on a connection of its own.
func (s crowdSite) serves(body string) {
	s.t.Helper()
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	await(s.t, "an ordinary call", func() error {
		s.checkAlive()
		req, err := http.NewRequest(http.MethodPost, s.url(s.nodes[0].callers)+"/services/records/ordinary", strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+keyOf(beta))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
}

func (s crowdSite) checkAlive() {
	s.t.Helper()
	select {
	case <-s.nodes[0].ended:
		s.t.Fatalf("the node has ended: %v", s.nodes[0].err)
	default:
	}
}

// withstands checks that the node serves ordinary requests beside a crowd and after it, and stays within its limits.
func (s crowdSite) withstands(crowds ...*crowd.Crowd) {
	s.t.Helper()
	for _, c := range crowds {
		defer c.Close()
		c.AwaitSent()
	}
	s.meter.Sample()
	s.serves("ordinary")
	s.meter.Sample()
	for _, c := range crowds {
		c.Close()
	}
	s.serves("ordinary")
	s.serves(strings.Repeat("x", crowdBodyBytes))
	s.checkAlive()
	peak := s.meter.Stop()
	s.t.Logf("peak: %v", peak)
	bounds := crowd.Bounds{Bytes: crowdMemoryMiB << 20}
	if s.descriptors > 0 {
		bounds.Descriptors = s.descriptors - crowdSpareDescriptors
	}
	if err := peak.Check(bounds); err != nil {
		s.t.Error(err)
	}
}

// crowdCallPath and crowdChatPath are the paths of a crowd's requests.
const (
	crowdCallPath = "/services/records/crowd"
	crowdChatPath = chatPath
)

// Guards against memory that the callers' port takes as announced and not as received.
func TestCrowdAnnouncingBodiesAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(crowd.Open(s.nodes[0].callers, 120, crowd.Announced(crowdHead(crowdCallPath, keyOf(alpha)), crowdBodyBytes, 1)))
}

// Guards against unfinished bodies that the callers' port holds without a bound.
func TestCrowdOfUnfinishedBodiesAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(crowd.Open(s.nodes[0].callers, 120, crowd.Announced(crowdHead(crowdCallPath, keyOf(alpha)), crowdBodyBytes, crowdBodyBytes-1)))
}

// Guards against bodies that the callers' port reads before it knows the key.
func TestCrowdWithUnknownKeyAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(crowd.Open(s.nodes[0].callers, 120, crowd.Announced(crowdHead(crowdChatPath, "no-such-key"), crowdBodyBytes, crowdBodyBytes-1)))
}

// Guards against chunks that the callers' port holds without a bound.
func TestCrowdOfChunksAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(crowd.Open(s.nodes[0].callers, 120, crowd.Chunked(crowdHead(crowdChatPath, keyOf(alpha)), 60<<10, crowdBodyBytes-(120<<10))))
}

// Guards against bodies over the limit that the callers' port reads before it refuses them.
func TestCrowdOfOversizedBodiesAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(
		crowd.Open(s.nodes[0].callers, 60, crowd.Announced(crowdHead(crowdCallPath, keyOf(alpha)), 64<<20, 16<<20)),
		crowd.Open(s.nodes[0].callers, 60, crowd.Chunked(crowdHead(crowdCallPath, keyOf(alpha)), 60<<10, 16<<20)))
}

// Guards against whole bodies that the callers' port holds without a bound while a service is slow.
func TestCrowdOfWholeBodiesAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	postJSON(t, s.service.address, "/fault", map[string]any{"SlowMillis": 4000, "Times": 120})
	s.withstands(crowd.Open(s.nodes[0].callers, 120, crowd.Announced(crowdHead(crowdCallPath, keyOf(alpha)), crowdBodyBytes, crowdBodyBytes)))
}

// Guards against bodies without an operator's token that the operators' port holds without a bound.
func TestCrowdAtOperatorsPort(t *testing.T) {
	s := newCrowdSite(t, 0)
	s.withstands(crowd.Open(s.nodes[0].operators, 120, crowd.Announced(crowdHead("/intents", "no-such-token"), crowdBodyBytes, crowdBodyBytes-1)))
	if _, err := s.status(0); err != nil {
		t.Errorf("operators get no answer: %v", err)
	}
}

// Guards against a crowd at the callers' port that takes all descriptors, and against a process that ends for want of
// them.
func TestCrowdTakingDescriptorsAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, crowdDescriptors)
	s.withstands(crowd.Open(s.nodes[0].callers, 500, crowd.Announced(crowdHead(crowdCallPath, keyOf(alpha)), 100, 1)))
}

// Guards against idle connections to the operators' port that take all descriptors.
func TestCrowdTakingDescriptorsAtOperatorsPort(t *testing.T) {
	s := newCrowdSite(t, crowdDescriptors)
	s.withstands(crowd.Open(s.nodes[0].operators, 500, func(int, io.Writer) error { return nil }))
}

// Guards against connections to the peers' port that take all descriptors or memory.
func TestCrowdAtPeersPort(t *testing.T) {
	s := newCrowdSite(t, crowdDescriptors)
	s.withstands(crowd.Open(s.nodes[0].peers, 500, crowd.Announced(crowdHead("/", ""), crowdBodyBytes, crowdBodyBytes-1)))
	if err := s.checkPath(s.nodes[0], "/ready"); err != nil {
		t.Error(err)
	}
}

// Guards against connections to the peers' port that take all descriptors without a handshake.
func TestCrowdOfIdleConnectionsAtPeersPort(t *testing.T) {
	s := newCrowdSite(t, crowdDescriptors)
	s.withstands(crowd.Open(s.nodes[0].peers, 500, func(int, io.Writer) error { return nil }))
}

// Guards against connections without a request to the callers' port that take all descriptors.
func TestCrowdOfIdleConnectionsAtCallersPort(t *testing.T) {
	s := newCrowdSite(t, crowdDescriptors)
	s.withstands(crowd.Open(s.nodes[0].callers, 500, func(int, io.Writer) error { return nil }))
}
