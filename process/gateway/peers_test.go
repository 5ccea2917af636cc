package gateway

import (
	"testing"
	"time"

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
		news EngineNews
		sign bool
	}{
		{"a load ends", EngineNews{Engine: "a", Model: "m", Held: 2}, false},
		{"the holder's sign", EngineNews{}, true},
	}
	for _, c := range cases {
		h := handler()
		if err := h.Tell(c.news, &Heard{}); err != nil {
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
	if err := h.Tell(EngineNews{Resigned: &duty.Resignation{Generation: 4}}, &Heard{}); err != nil {
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
