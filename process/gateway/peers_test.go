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
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/roster"
)

func handler() *enginesHandler {
	return &enginesHandler{peers: &peers{roster: roster.New(), keeper: duty.NewKeeper(duty.Config{Life: joinLife}), holder: clock.Boot().Add(-time.Hour)}}
}

// The holder is cut from the platform while an engine loads. The end of that
// load is told seconds after the duty has lapsed; taken for a sign of the
// holder, it keeps the others from taking the duty, and engines stay on weights
// that were replaced.
func TestNewsOfAnEngineAreNoSignOfTheDuty(t *testing.T) {
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
		h := handler()
		if err := c.tell(h); err != nil {
			t.Fatal(err)
		}
		if quiet := h.peers.holderQuiet(clock.Boot()); (quiet < holderQuiet) != c.sign {
			t.Errorf("%s: quiet for %v", c.name, quiet)
		}
	}
}

// A holder that resigns has the next one ask for the duty at once.
func TestResignationMakesTheDutyDue(t *testing.T) {
	h := handler()
	h.peers.heardHolder(clock.Boot())
	if err := h.Resigned(duty.Resignation{Generation: 4}, &Heard{}); err != nil {
		t.Fatal(err)
	}
	if h.peers.holderQuiet(clock.Boot()) < holderQuiet {
		t.Error("the duty is not due")
	}
}

// In a large fleet each node would tell each other five times a second, which
// takes more of its processor than the requests.
func TestTellingsGrowRarerWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		peers int
		want  time.Duration
	}{{0, exchangePause}, {7, exchangePause}, {8, exchangePause}, {80, 2 * time.Second}} {
		if got := exchangeAfter(c.peers); got != c.want {
			t.Errorf("%d peers: %v, want %v", c.peers, got, c.want)
		}
	}
}

// The port for other nodes is taken as a node starts, and it tries again every
// 0.4 s. Each failed try used to leave a membership running, which asked the
// others for ever under the same name.
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
	p := &peers{log: zap.NewNop()}
	self := platform.VM{Name: "n1", Address: ln.Addr().String(), DataCentre: "dc"}
	if err := p.join(nobody{}, self, bytes.Repeat([]byte("s"), 32)); err == nil {
		t.Fatal("joined on a port that is taken")
	}
	if after := running(); after != before || p.members != nil {
		t.Errorf("%d goroutines of a membership, %d before", after, before)
	}
}

// nobody is a directory without nodes.
type nobody struct{}

func (nobody) Enter(context.Context, platform.VM) (Entered, error) { return Entered{}, nil }
func (nobody) VMs(context.Context) ([]platform.VM, error)          { return nil, nil }
