package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Limit is the present limit of an upstream.
func (c *Concurrency[K]) Limit(upstream K) int { return c.Capacity([]K{upstream}) }

// An upstream's room changes while it serves: it comes back with fewer slots,
// or a neighbour leaves it. Above its room an engine either refuses or lets
// its time to first token grow. The limit has to come down within seconds
// and up again, or callers wait in the engine's queue, where no priority of
// ours counts, or engines stand idle.
func TestConcurrencyFollowsTheRoom(t *testing.T) {
	tests := []struct {
		nodes   int
		refuses bool
		room    []int // one after the other
	}{
		{1, true, []int{32, 8, 32}},
		{1, false, []int{32, 8, 32}},
		{8, true, []int{64, 16, 64}},
		{8, false, []int{64, 16, 64}},
	}
	for _, tt := range tests {
		e := &engine{refuses: tt.refuses, rnd: rand.New(rand.NewPCG(3, 4)), now: start}
		for range tt.nodes {
			e.limits = append(e.limits, NewConcurrency[string](DefaultConcurrency))
		}
		for _, room := range tt.room {
			e.run(room, 60*time.Second)
			sum, least, most := 0, DefaultConcurrency.Ceiling, 0
			for _, c := range e.limits {
				sum += c.Limit("e")
				least, most = min(least, c.Limit("e")), max(most, c.Limit("e"))
			}
			t.Logf("%d nodes, refuses %v, room %d: sum of the limits %d, %d to %d each", tt.nodes, tt.refuses, room, sum, least, most)
			if sum < room*3/4 || sum > room*3/2 || least*8 < most {
				t.Errorf("%d nodes, refuses %v, room %d: sum of the limits %d, %d to %d each", tt.nodes, tt.refuses, room, sum, least, most)
			}
		}
	}
}

// engine serves room requests at once, each for about a second, first token
// after 100 ms; beyond that it refuses, or the first token waits for a slot.
type engine struct {
	limits  []*Concurrency[string] // of the nodes
	refuses bool
	rnd     *rand.Rand
	now     time.Time
	firsts  []happening
	ends    []happening
}

type happening struct {
	node  int
	at    time.Time
	after time.Duration
}

// run keeps more work at hand than fits, in steps of 10 ms.
func (e *engine) run(room int, d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(10 * time.Millisecond) {
		e.finish()
		for _, i := range e.rnd.Perm(len(e.limits)) {
			for e.limits[i].Acquire(e.now, "e") && e.accept(i, room) {
			}
		}
	}
}

func (e *engine) accept(node, room int) bool {
	busy := len(e.ends)
	if e.refuses && busy >= room {
		e.limits[node].Release(e.now, "e", Result{Outcome: Refused})
		return false
	}
	wait := time.Duration(max(0, busy-room+1)) * time.Second / time.Duration(room)
	hold := time.Duration((0.5 + e.rnd.Float64()) * float64(time.Second))
	after := wait + 100*time.Millisecond
	e.firsts = append(e.firsts, happening{node, e.now.Add(after), after})
	e.ends = append(e.ends, happening{node, e.now.Add(after + hold), 0})
	return true
}

func (e *engine) finish() {
	e.firsts = slices.DeleteFunc(e.firsts, func(f happening) bool {
		if f.at.After(e.now) {
			return false
		}
		e.limits[f.node].Answered(e.now, "e", f.after, 100*time.Millisecond)
		return true
	})
	e.ends = slices.DeleteFunc(e.ends, func(f happening) bool {
		if f.at.After(e.now) {
			return false
		}
		e.limits[f.node].Release(e.now, "e", Result{})
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

// A node refuses most of its callers although the upstream is hardly used.
// The first answers, to cached prompts on an idle machine, came in a third of
// the expected time; later ones take what was expected, which is three times
// the least that was seen, and each of them lowered the limit, down to one.
func TestConcurrencyKeepsAnUpstreamThatIsAsFastAsExpected(t *testing.T) {
	const expected = 15 * time.Millisecond
	c := NewConcurrency[string](DefaultConcurrency)
	now := start
	answer := func(took time.Duration) {
		c.Acquire(now, "e")
		now = now.Add(took)
		c.Release(now, "e", Result{FirstToken: took, Expected: expected})
	}
	for range 20 {
		answer(expected / 3)
	}
	for range 1000 {
		answer(expected)
	}
	if got := c.Limit("e"); got < DefaultConcurrency.Initial {
		t.Errorf("limit is %d, began with %d", got, DefaultConcurrency.Initial)
	}
}
