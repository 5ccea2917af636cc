package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// An upstream's room changes while it serves: it comes back with fewer slots,
// or a neighbour leaves it. Above its room an engine either refuses or lets
// its time to first token grow. The limit has to come down within seconds
// and up again, or callers wait in the engine's queue, where no priority of
// ours counts, or engines stand idle.
func TestConcurrencyFollowsTheRoom(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		c := NewConcurrency[string](DefaultConcurrency)
		e := &engine{c: c, refuses: refuses, rnd: rand.New(rand.NewPCG(3, 4)), now: start}
		for _, phase := range []struct{ room, least, most int }{{32, 24, 48}, {8, 5, 14}, {32, 24, 48}} {
			e.run(phase.room, 60*time.Second)
			got := c.Limit("e")
			t.Logf("refuses %v, room %d: limit %d", refuses, phase.room, got)
			if got < phase.least || got > phase.most {
				t.Errorf("refuses %v, room %d: limit %d, want %d to %d", refuses, phase.room, got, phase.least, phase.most)
			}
		}
	}
}

// engine serves room requests at once, each for about a second, first token
// after 100 ms; beyond that it refuses, or the first token waits for a slot.
type engine struct {
	c       *Concurrency[string]
	refuses bool
	rnd     *rand.Rand
	now     time.Time
	firsts  []first
	ends    []time.Time
}

type first struct {
	at    time.Time
	after time.Duration
}

// run keeps more work at hand than fits, in steps of 10 ms.
func (e *engine) run(room int, d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(10 * time.Millisecond) {
		e.finish()
		for e.c.Acquire(e.now, "e") {
			busy := len(e.ends)
			if e.refuses && busy >= room {
				e.c.Release(e.now, "e", Result{Outcome: Refused})
				break
			}
			wait := time.Duration(max(0, busy-room+1)) * time.Second / time.Duration(room)
			hold := time.Duration((0.5 + e.rnd.Float64()) * float64(time.Second))
			after := wait + 100*time.Millisecond
			e.firsts = append(e.firsts, first{e.now.Add(after), after})
			e.ends = append(e.ends, e.now.Add(after+hold))
		}
	}
}

func (e *engine) finish() {
	e.firsts = slices.DeleteFunc(e.firsts, func(f first) bool {
		if f.at.After(e.now) {
			return false
		}
		e.c.Answered(e.now, "e", f.after, 100*time.Millisecond)
		return true
	})
	e.ends = slices.DeleteFunc(e.ends, func(end time.Time) bool {
		if end.After(e.now) {
			return false
		}
		e.c.Release(e.now, "e", Result{})
		return true
	})
}

func TestConcurrencyBounds(t *testing.T) {
	cfg := DefaultConcurrency
	cfg.Floor, cfg.Ceiling, cfg.Initial = 2, 5, 4
	tests := []struct {
		name   string
		result Result
		want   int
	}{
		{"refusals stop at the floor", Result{Outcome: Refused}, 2},
		{"good answers stop at the ceiling", Result{Outcome: Served, FirstToken: time.Second}, 5},
		{"failures leave it alone", Result{Outcome: Failed}, 4},
		{"leaving callers leave it alone", Result{Outcome: Dropped}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConcurrency[int](cfg)
			for i := range 100 {
				now := start.Add(time.Duration(i) * time.Second)
				for c.Acquire(now, 1) {
				}
				for range c.Limit(1) {
					c.Release(now, 1, tt.result)
				}
			}
			if got := c.Limit(1); got != tt.want {
				t.Errorf("limit %d, want %d", got, tt.want)
			}
		})
	}
}
