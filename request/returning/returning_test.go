package returning

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"
)

func newTestSchedule(t testing.TB, cfg Config) *Schedule {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a setting out of range being taken, which would promise no retries, or
// retries that callers don't honour or nodes don't recognise.
func TestConfigErrors(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Config)
		errs   int
	}{
		{"defaults", func(*Config) {}, 0},
		{"no slot length", func(c *Config) { c.SlotLength = 0 }, 1},
		{"grant fraction not a number", func(c *Config) { c.MaxGrantFraction = math.NaN() }, 2},
		{"grant fraction beyond what callers honour", func(c *Config) { c.MaxGrantFraction = 0.34 }, 1},
		{"retries not recognised within the grant fraction", func(c *Config) { c.RetryGrantFraction = 0.75 }, 1},
		{"all requests count as retries", func(c *Config) { c.RetryGrantFraction = 1 }, 1},
		{"no least time", func(c *Config) { c.MinRetryAfter = 0 }, 1},
		{"longest time below twice the least", func(c *Config) { c.MaxRetryAfter = 399 * time.Millisecond }, 1},
		{"no grant memory", func(c *Config) { c.GrantMemory = 0 }, 1},
		{"no decay", func(c *Config) { c.ServedDecay = -1 }, 1},
		{"retry share of zero", func(c *Config) { c.RetryShare = 0 }, 1},
		{"retry share above one", func(c *Config) { c.RetryShare = 1.1 }, 1},
		{"no retries while idle", func(c *Config) { c.IdleSlotShare = 0 }, 1},
		{"no kinds", func(c *Config) { c.MaxKinds = 0 }, 1},
		{"several", func(c *Config) { c.SlotLength, c.MaxKinds = 0, 0 }, 2},
	}
	for _, c := range cases {
		cfg := DefaultConfig
		c.change(&cfg)
		_, err := New(cfg)
		n := 0
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			n = len(joined.Unwrap())
		}
		if n != c.errs || errors.Is(err, ErrConfig) != (c.errs > 0) {
			t.Errorf("%s: %v, want %d errors", c.name, err, c.errs)
		}
	}
}

// Guards against a promise beyond the caller's time, before the queue is expected to have
// room, or too early to be recognised as a retry, and against none where there is time.
func TestPromiseLiesWithinCallersTime(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name             string
		request          Request
		ok               bool
		earliest, latest time.Duration
	}{
		{"short wait", Request{Grant: 3 * time.Second, Wait: 600 * ms, AllowedWait: 500 * ms}, true, 200 * ms, 750 * ms},
		{"longer wait", Request{Grant: 3 * time.Second, Wait: time.Second, AllowedWait: 500 * ms}, true, 500 * ms, 750 * ms},
		{"wait beyond a quarter of the grant", Request{Grant: 3 * time.Second, Wait: 2 * time.Second, AllowedWait: 500 * ms}, true, 200 * ms, 750 * ms},
		{"first token just within the grant", Request{Grant: 3 * time.Second, Wait: 3 * time.Second, AllowedWait: 500 * ms}, true, 200 * ms, 750 * ms},
		{"first token beyond the grant", Request{Grant: 3 * time.Second, Wait: 3001 * ms, AllowedWait: 500 * ms}, false, 0, 0},
		{"a quarter of the grant below the least time", Request{Grant: 799 * ms, Wait: 100 * ms, AllowedWait: 50 * ms}, false, 0, 0},
		{"time over", Request{Grant: -ms, Wait: 100 * ms}, false, 0, 0},
		{"grant beyond the longest time", Request{Grant: time.Hour, Wait: 600 * ms, AllowedWait: 500 * ms}, true, 200 * ms, 15 * time.Second},
		{"a retry", Request{Grant: 2 * time.Second, Wait: time.Second, AllowedWait: 900 * ms, Returning: true}, true, 200 * ms, 500 * ms},
		{"other callers of the kind grant as much", Request{Kind: "known", Grant: 12 * time.Second, Wait: 600 * ms, AllowedWait: 500 * ms}, true, 600 * ms, 3 * time.Second},
		{"other callers of the kind grant more", Request{Kind: "known", Grant: 6 * time.Second, Wait: 600 * ms, AllowedWait: 500 * ms}, true, 200 * ms, 1500 * ms},
		{"grant not stated", Request{Wait: 900 * ms, AllowedWait: 500 * ms}, true, 400 * ms, 800 * ms},
		{"grant not stated, short wait", Request{Wait: 600 * ms, AllowedWait: 500 * ms}, true, 200 * ms, 400 * ms},
		{"grant not stated, very long wait", Request{Wait: time.Hour, AllowedWait: 500 * ms}, true, 7500 * ms, 15 * time.Second},
	}
	for _, c := range cases {
		s := newTestSchedule(t, DefaultConfig)
		s.RecordGrant(start, "known", 12*time.Second)
		for i := range 100 {
			c.request.ID = fmt.Sprint(i)
			after, ok := s.Promise(start, c.request)
			if ok != c.ok || after < c.earliest || after > c.latest {
				t.Errorf("%s: request %d is told %s, %t, want %t and a time between %s and %s", c.name, i, after, ok, c.ok, c.earliest, c.latest)
				break
			}
		}
	}
}

// Guards against promising more retries than the node's share of what it sends, and
// against leaving slots empty while callers are told later ones.
func TestSlotsHoldShareOfSentRate(t *testing.T) {
	cases := []struct {
		name      string
		perSecond int // requests sent
		want      float64
	}{
		{"nothing sent", 0, 5}, // one every four slots
		{"less than one per slot", 10, 5},
		{"several per slot", 200, 100},
	}
	cfg := DefaultConfig
	cfg.FinalWhenFull = true
	const interval = 2800 * time.Millisecond // of a 12 s grant, after MinRetryAfter
	for _, c := range cases {
		s := newTestSchedule(t, cfg)
		now := start
		for range 10 * c.perSecond {
			now = now.Add(time.Second / time.Duration(c.perSecond))
			s.RecordServed(now, "a")
		}
		slots := map[time.Duration]int{}
		told := 0
		for i := range 2000 {
			after, ok := s.Promise(now, Request{ID: fmt.Sprint(i), Kind: "a", Grant: 12 * time.Second})
			if !ok {
				continue
			}
			told++
			slots[after/cfg.SlotLength]++
		}
		want := c.want * interval.Seconds()
		if got := float64(told); math.Abs(got-want) > 0.1*want+2 {
			t.Errorf("%s: %d retries in %s, want %.0f", c.name, told, interval, want)
		}
		most := int(c.want*cfg.SlotLength.Seconds()) + 2 // whole, the fraction and what is carried over
		for slot, n := range slots {
			if n > most {
				t.Errorf("%s: %d retries in the slot at %s, at most %d", c.name, n, slot*cfg.SlotLength, most)
			}
		}
	}
}

// Guards against slots filling up for ever: those in the past must be used again, after
// any pause.
func TestPastSlotsAreReused(t *testing.T) {
	cfg := DefaultConfig
	cfg.FinalWhenFull = true
	s := newTestSchedule(t, cfg)
	fill := func(now time.Time) (told int) {
		for i := range 100 {
			if _, ok := s.Promise(now, Request{ID: fmt.Sprint(i), Kind: "a", Grant: 3 * time.Second}); ok {
				told++
			}
		}
		return told
	}
	first := fill(start)
	if again := fill(start); first < 2 || again != 0 {
		t.Errorf("%d retries promised, then %d at the same time", first, again)
	}
	for _, pause := range []time.Duration{time.Second, 10 * time.Second, 10000 * time.Hour} {
		if n := fill(start.Add(pause)); n < 2 || n > first+1 {
			t.Errorf("%d retries promised after %s, at first %d", n, pause, first)
		}
	}
}

// Guards against callers without a slot being told the same time, or a time in the first
// half of the interval, where the promised retries are.
func TestOthersAreSpreadOverSecondHalf(t *testing.T) {
	s := newTestSchedule(t, DefaultConfig)
	const n, earliest, latest = 10_000, 200 * time.Millisecond, 750 * time.Millisecond
	const tenths = 10
	var counts [tenths]int
	half := (latest - earliest) / 2
	outside := 0
	for i := range n {
		after, ok := s.Promise(start, Request{ID: fmt.Sprint(i), Kind: "a", Grant: 3 * time.Second})
		if !ok || after < latest-half {
			outside++
			continue
		}
		counts[min(tenths-1, tenths*(after-latest+half)/half)]++
	}
	if outside > 10 {
		t.Errorf("%d callers are told a time before the second half or none", outside)
	}
	if least, most := slices.Min(counts[:]), slices.Max(counts[:]); least < n/tenths*9/10 || most > n/tenths*11/10 {
		t.Errorf("callers by tenth of the second half: %v", counts)
	}
}

// Guards against a retry that no caller makes taking the slot of another.
func TestRetryTakesNoSlot(t *testing.T) {
	s, unused := newTestSchedule(t, DefaultConfig), newTestSchedule(t, DefaultConfig)
	for i := range 100 {
		s.Promise(start, Request{ID: fmt.Sprint(i), Kind: "a", Grant: 2 * time.Second, Returning: true})
	}
	r := Request{ID: "x", Kind: "a", Grant: 3 * time.Second}
	got, _ := s.Promise(start, r)
	if want, _ := unused.Promise(start, r); got != want {
		t.Errorf("told %s after 100 retries, %s without", got, want)
	}
}

// Guards against new requests being taken for retries, and retries for new requests.
func TestIsReturn(t *testing.T) {
	type grant struct {
		at    time.Duration
		grant time.Duration
	}
	cases := []struct {
		name   string
		grants []grant
		kind   string
		at     time.Duration
		grant  time.Duration
		want   bool
	}{
		{"nothing known", nil, "a", 0, time.Second, false},
		{"not stated", []grant{{0, 3 * time.Second}}, "a", 0, 0, false},
		{"only grants of 0 known", []grant{{0, 0}}, "a", 0, time.Second, false},
		{"negative", []grant{{0, 3 * time.Second}}, "a", 0, -time.Second, false},
		{"as granted", []grant{{0, 3 * time.Second}}, "a", 0, 3 * time.Second, false},
		{"a little less", []grant{{0, 3 * time.Second}}, "a", 0, 2850 * time.Millisecond, false},
		{"less", []grant{{0, 3 * time.Second}}, "a", 0, 2849 * time.Millisecond, true},
		{"another kind", []grant{{0, 3 * time.Second}}, "b", 0, time.Second, false},
		{"largest counts", []grant{{0, 3 * time.Second}, {time.Second, 2 * time.Second}}, "a", time.Second, 2 * time.Second, true},
		{"at the end of the memory", []grant{{0, 3 * time.Second}}, "a", 10 * time.Second, 2 * time.Second, true},
		{"after twice the memory", []grant{{0, 3 * time.Second}, {9 * time.Second, 2 * time.Second}}, "a", 20 * time.Second, 2 * time.Second, false},
		{"after a long pause", []grant{{0, 3 * time.Second}}, "a", time.Hour, 2 * time.Second, false},
	}
	for _, c := range cases {
		s := newTestSchedule(t, DefaultConfig)
		for _, g := range c.grants {
			s.RecordGrant(start.Add(g.at), "a", g.grant)
		}
		if got := s.IsReturn(start.Add(c.at), c.kind, c.grant); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against callers that send many kinds, or state very long grants, taking memory
// without bound, and against kinds that share a schedule being compared with each other.
func TestMemoryIsBounded(t *testing.T) {
	s := newTestSchedule(t, DefaultConfig)
	const many = 10_000
	use := func(now time.Time, kind string) {
		s.RecordGrant(now, kind, 1000*time.Hour)
		s.RecordServed(now, kind)
		for i := range 5 {
			s.Promise(now, Request{ID: fmt.Sprint(i), Kind: kind, Grant: 1000 * time.Hour, Wait: time.Hour})
		}
	}
	for i := range many {
		use(start, fmt.Sprint(i))
	}
	slots := len(s.shared.promised)
	for _, state := range s.kinds {
		slots = max(slots, len(state.promised))
	}
	if maxSlots := int(DefaultConfig.MaxRetryAfter / DefaultConfig.SlotLength); len(s.kinds) > DefaultConfig.MaxKinds || slots > maxSlots {
		t.Errorf("%d kinds with up to %d slots, at most %d with %d", len(s.kinds), slots, DefaultConfig.MaxKinds, maxSlots)
	}
	if s.IsReturn(start, fmt.Sprint(many-1), time.Second) {
		t.Error("a request of a kind that shares a schedule counts as a retry")
	}
	later := start.Add(time.Hour)
	use(later, "new")
	if !s.IsReturn(later, "new", time.Second) || len(s.kinds) > 1 {
		t.Errorf("an hour later %d kinds are kept, and the new one may not be among them", len(s.kinds))
	}
}

// Guards against decisions that depend on the order of a map: the same calls must have the
// same results.
func TestSameCallsHaveSameResults(t *testing.T) {
	run := func() (results []string) {
		cfg := DefaultConfig
		cfg.MaxKinds = 8
		s := newTestSchedule(t, cfg)
		for i := range 2000 {
			now := start.Add(time.Duration(i) * 37 * time.Millisecond)
			kind := fmt.Sprint(i * i % (11 + i/100))
			s.RecordGrant(now, kind, time.Duration(1+i%12)*time.Second)
			s.RecordServed(now, kind)
			after, ok := s.Promise(now, Request{ID: fmt.Sprint(i), Kind: kind, Grant: 4 * time.Second, Wait: time.Second})
			results = append(results, fmt.Sprint(after, ok, s.IsReturn(now, kind, 4*time.Second)))
		}
		return results
	}
	first := run()
	for range 10 {
		if !slices.Equal(first, run()) {
			t.Fatal("the same calls have other results")
		}
	}
}

// Guards against unguarded state, together with the race detector.
func TestConcurrentUse(t *testing.T) {
	s := newTestSchedule(t, DefaultConfig)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 500 {
				now, kind := start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint((g+i)%100)
				s.RecordGrant(now, kind, time.Second)
				s.RecordServed(now, kind)
				s.IsReturn(now, kind, time.Second)
				s.Promise(now, Request{ID: kind, Kind: kind, Grant: 3 * time.Second})
			}
		})
	}
	wg.Wait()
}

func BenchmarkPromise(b *testing.B) {
	s := newTestSchedule(b, DefaultConfig)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Microsecond)
		s.Promise(now, Request{ID: "x", Kind: "a", Grant: 12 * time.Second, Wait: time.Second})
	}
}
