package gateway

import (
	"bytes"
	"context"
	"net"
	"runtime/pprof"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/roster"
)

func newTestHandler() *enginesHandler {
	return &enginesHandler{peers: &peers{roster: roster.New(), keeper: duty.NewKeeper(duty.Config{MemberTimeout: joinLife}, "a"), lastHolderSign: clock.BoottimeNow().Add(-time.Hour)}}
}

// The holder is cut off from the platform while an engine loads weights, and reports the end of the
// load seconds after its duty has lapsed. If peers took that report for a sign of the holder, none
// would take the duty, and engines would stay on replaced weights.
func TestEngineNewsIsNoSignOfTheHolder(t *testing.T) {
	cases := []struct {
		name string
		tell func(h *enginesHandler) error
		sign bool
	}{
		{"a load ends", func(h *enginesHandler) error {
			return h.Engine(EngineNews{Engine: "a", Model: "m", Held: 2}, &Heard{})
		}, false},
		{"the holder's sign", func(h *enginesHandler) error { return h.Holder(Heard{}, &Heard{}) }, true},
	}
	for _, c := range cases {
		h := newTestHandler()
		if err := c.tell(h); err != nil {
			t.Fatal(err)
		}
		if quiet := h.peers.sinceHolderSign(clock.BoottimeNow()); (quiet < holderSilence) != c.sign {
			t.Errorf("%s: last sign %v ago", c.name, quiet)
		}
	}
}

// When a holder resigns, the next node must ask for the duty at once.
func TestResignationMakesTakeoverDue(t *testing.T) {
	h := newTestHandler()
	h.peers.noteHolderSign(clock.BoottimeNow())
	if err := h.Resigned(duty.Resignation{Generation: 4}, &Heard{}); err != nil {
		t.Fatal(err)
	}
	if h.peers.sinceHolderSign(clock.BoottimeNow()) < holderSilence {
		t.Error("the takeover is not due")
	}
}

// With a fixed interval, each node of a large fleet would report to each other five times a second,
// which takes more CPU time than the requests.
func TestExchangeIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		peers int
		want  time.Duration
	}{{0, exchangePause}, {7, exchangePause}, {8, exchangePause}, {80, 2 * time.Second}} {
		if got := exchangeInterval(c.peers); got != c.want {
			t.Errorf("%d peers: %v, want %v", c.peers, got, c.want)
		}
	}
}

// The port for peers is in use when a node starts, and the node retries every 0.4 s. Each failed
// attempt used to leave a membership running, which went on to query the other nodes under the same
// name.
func TestFailedJoinLeavesNothingRunning(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	running := func() int {
		var b bytes.Buffer
		if err := pprof.Lookup("goroutine").WriteTo(&b, 2); err != nil {
			t.Fatal(err)
		}
		return strings.Count(b.String(), "member.(*Runner)")
	}
	before := running()
	p := &peers{log: zap.NewNop(), located: make(chan struct{})}
	p.roles = newRoles(platform.VM{Name: "n1"}, p.known)
	self := platform.VM{Name: "n1", Address: ln.Addr().String(), DataCentre: "dc"}
	if err := p.join(emptyDirectory{}, self, bytes.Repeat([]byte("s"), 32)); err == nil {
		t.Fatal("joined on a port that is taken")
	}
	if after := running(); after != before || p.members != nil {
		t.Errorf("%d goroutines of a membership, %d before", after, before)
	}
}

// Guards against a process that does not end: as it closes, the membership waits for a lookup in the
// directory, which asks how many nodes live.
func TestPartsMayAskForLiveNodesAsTheyClose(t *testing.T) {
	p := &peers{log: zap.NewNop(), cancel: func() {}, relays: relay.NewServer(nil)}
	p.closers.Add("membership", func() error {
		p.live(time.Now())
		return nil
	})
	done := make(chan struct{})
	go func() {
		p.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the parts are not closed")
	}
}

// emptyDirectory is a directory without nodes.
type emptyDirectory struct{}

func (emptyDirectory) Enter(context.Context, platform.VM, []byte, func([]platform.VM)) (EnterResult, error) {
	return EnterResult{}, nil
}
func (emptyDirectory) VMs(context.Context) ([]platform.VM, error) { return nil, nil }
