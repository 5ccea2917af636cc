package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

var testQuota = config.Quota{Unit: config.Tokens, PerSecond: 1000, Burst: 1000}

func alwaysTest(string) (config.Quota, uint64) { return testQuota, 1 }

// letIn asks for requests of 10 units until one is refused, and gives what was let in.
func letIn(now time.Time, a *Allocator, q Ask) float64 {
	got := 0.0
	for range 1000 {
		q.Wants = []Want{{Workspace: workspace, Quota: testQuota, Costs: []float64{10}}}
		q.From, q.To = q.Sent, q.Sent
		if a.Answer(now, q).Grants[0].Waits[0] != admitted {
			return got
		}
		got += 10
	}
	return got
}

// hand has a node hand over its time up to now.
func hand(now time.Time, a *Allocator, node string, over time.Duration) {
	for at := now.Add(-over); at.Before(now); at = at.Add(AskPause) {
		a.Answer(at, Ask{Node: node, Sent: at, From: at, To: at.Add(AskPause)})
	}
}

// Guards against a burst that grows with the time in which a workspace asks for nothing.
func TestUnusedNodeTimeLapses(t *testing.T) {
	a := NewAllocator("n", alwaysTest)
	now := start.Add(time.Minute)
	hand(now, a, "n", time.Minute)
	if got := letIn(now, a, Ask{Node: "n", Sent: now}); got > testQuota.Burst {
		t.Errorf("%v let in at once, after a minute of calm", got)
	}
	now = now.Add(time.Minute)
	hand(now, a, "n", time.Minute)
	if got := letIn(now, a, Ask{Node: "n", Sent: now}); got > testQuota.Burst {
		t.Errorf("%v let in at once, after another minute of calm", got)
	}
}

// Guards against an allocator that stood still, and takes node time of long ago for
// fresh as it reads what has come meanwhile.
func TestNodeTimeThatWaitedIsNotFresh(t *testing.T) {
	const still = 4 * time.Second
	a := NewAllocator("n", alwaysTest)
	a.SetNodes(2)
	ahead := time.Hour // of the other node's clock
	ask := func(at, sent time.Time) Ask {
		return Ask{Node: "m", Sent: sent.Add(ahead), From: sent.Add(ahead), To: sent.Add(ahead + AskPause)}
	}
	now := start
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(AskPause) {
		a.Tick(now)
		a.Answer(now, ask(now, now))
	}
	letIn(now, a, Ask{Node: "n", Sent: now})
	sent := now
	now = now.Add(still)
	for range 20 {
		a.Answer(now, ask(now, sent))
		sent = sent.Add(AskPause / 2)
	}
	now = now.Add(AskPause)
	if got := letIn(now, a, Ask{Node: "n", Sent: now}); got > testQuota.Burst/2 {
		t.Errorf("%v let in, half of the quota is the other node's", got)
	}
}

// Guards against node time that was on its way for long to an allocator that has spent
// all it got: it has lapsed meanwhile.
func TestNodeTimeThatComesLateHasLapsed(t *testing.T) {
	a := NewAllocator("n", alwaysTest)
	a.SetNodes(2)
	ask := func(at, sent time.Time) { a.Answer(at, Ask{Node: "m", Sent: sent, From: sent, To: sent.Add(AskPause)}) }
	now, got := start, 0.0
	for ; now.Before(start.Add(5 * time.Second)); now = now.Add(AskPause) {
		a.Tick(now)
		ask(now, now)
		a.Answer(now, Ask{Node: "n", Sent: now, From: now, To: now.Add(AskPause)})
		got = letIn(now, a, Ask{Node: "n", Sent: now})
	}
	for range 20 {
		ask(now, now.Add(-4*time.Second))
	}
	if more := letIn(now, a, Ask{Node: "n", Sent: now}); more > got {
		t.Errorf("%v let in, %v without what came late", more, got)
	}
}

// Guards against the same from a node that it has not heard of before.
func TestFirstQuestionThatWaitedIsNotFresh(t *testing.T) {
	a := NewAllocator("n", alwaysTest)
	now := start
	for range 10 {
		a.Tick(now)
		now = now.Add(AskPause)
	}
	sent := now
	now = now.Add(4 * time.Second)
	for _, ticks := range []bool{false, true} {
		if ticks {
			a.Tick(now)
		}
		node := fmt.Sprint("m", ticks)
		a.Answer(now, Ask{Node: node, Sent: sent, From: sent, To: sent.Add(AskPause)})
	}
	if got := letIn(now.Add(AskPause), a, Ask{Node: "n", Sent: now.Add(AskPause)}); got > 0 {
		t.Errorf("%v let in by time of long ago", got)
	}
	now = now.Add(settleTime + AskPause)
	a.Tick(now)
	a.Answer(now, Ask{Node: "m", Sent: now, From: now, To: now.Add(AskPause)})
	if got := letIn(now.Add(AskPause), a, Ask{Node: "n", Sent: now.Add(AskPause)}); got == 0 {
		t.Error("nothing let in by a node's first question")
	}
}

// Guards against a process that hands over the time that the one before it has handed
// over ahead of its end.
func TestRestartedNodeEarnsNothingAtFirst(t *testing.T) {
	for _, c := range []struct {
		name  string
		again bool
		wait  time.Duration
	}{{"known to the others", true, handAhead}, {"new to them", false, joinWait}} {
		client := NewClient(start, "n", 1, c.again, func() {})
		q := client.Question(start, 1)
		if q.From.Before(start.Add(c.wait)) {
			t.Errorf("%s: hands over time from %v after its start on", c.name, q.From.Sub(start))
		}
	}
}

// Guards against what was granted long ago and is used now: it would come on top of what
// is granted now.
func TestGrantsLapse(t *testing.T) {
	client := NewClient(start, "n", 1, true, func() {})
	load := func(now time.Time) *Ticket { return client.Take(now, workspace, testQuota, 10) }
	answered := func(now time.Time, g Grant) {
		q := client.Question(now, 1)
		g.Workspace = workspace
		client.Learn(now.Add(cell), q, Reply{Grants: []Grant{g}})
	}
	first := load(start)
	answered(start, Grant{Waits: []time.Duration{admitted}, Ahead: 100, Life: 200 * time.Millisecond})
	if len(first.Done) != 1 || !(<-first.Done).Admitted {
		t.Fatal("not let in")
	}
	if second := load(start.Add(100 * time.Millisecond)); len(second.Done) != 1 {
		t.Error("not let in by what was granted ahead")
	}
	third := load(start.Add(300 * time.Millisecond))
	if len(third.Done) != 0 {
		t.Error("let in by what has lapsed")
	}
	answered(start.Add(time.Second), Grant{Waits: []time.Duration{admitted}, Life: cell / 2})
	if len(third.Done) != 0 || !client.Waiting() {
		t.Error("let in by an answer that came after its time")
	}
	answered(start.Add(2*time.Second), Grant{Waits: []time.Duration{admitted}, Ahead: 100, Life: time.Second})
	low := testQuota
	low.PerSecond = 1
	if lowered := client.Take(start.Add(2200*time.Millisecond), workspace, low, 10); len(lowered.Done) != 0 {
		t.Error("let in by what was granted from another quota")
	}
}

// Guards against what was given back, or granted by another quota, and lives on with what
// is granted after it.
func TestGrantsDoNotRenewWhatIsThere(t *testing.T) {
	low := testQuota
	low.PerSecond = 1
	for _, c := range []struct {
		name  string
		quota config.Quota // when the answer comes
		most  float64      // units that the node may let in then
	}{{"given back", testQuota, 100}, {"another quota", low, 0}} {
		client := NewClient(start, "n", 1, true, func() {})
		first := client.Take(start, workspace, testQuota, 10)
		q := client.Question(start, 1)
		client.GiveBack(start, workspace, 500, Verdict{Admitted: true, Until: start.Add(100 * time.Millisecond)})
		client.Take(start, workspace, c.quota, 1e6)
		client.Learn(start, q, Reply{Grants: []Grant{{Workspace: workspace, Waits: []time.Duration{admitted}, Ahead: 100, Life: time.Second}}})
		if len(first.Done) != 1 {
			t.Errorf("%s: the first one is not let in", c.name)
		}
		if over := client.Take(start.Add(500*time.Millisecond), workspace, c.quota, c.most+1); len(over.Done) != 0 {
			t.Errorf("%s: lets in more than %v", c.name, c.most)
		}
	}
}

// Guards against a node that goes on asking for requests whose callers have left.
func TestNobodyWaitsWhoHasLeft(t *testing.T) {
	client := NewClient(start, "n", 1, true, func() {})
	client.Leave(start, workspace, client.Take(start, workspace, testQuota, 10))
	if client.Waiting() {
		t.Error("a request waits whose caller has left")
	}
}

// Guards against a request that is larger than what was there, and is paid off by nobody
// once another node allocates.
func TestWhatIsOwedGoesToTheNextAllocator(t *testing.T) {
	before, after := NewAllocator("n", alwaysTest), NewAllocator("n", alwaysTest)
	for _, a := range []*Allocator{before, after} {
		hand(start, a, "n", 2*time.Second)
	}
	client := NewClient(start, "n", 1, true, func() {})
	large := client.Take(start, workspace, testQuota, 5*testQuota.Burst)
	q := client.Question(start, 1)
	client.Learn(start, q, before.Answer(start, q.Ask))
	if len(large.Done) != 1 || !(<-large.Done).Admitted {
		t.Fatal("the large request was not let in")
	}
	client = NewClient(start, "n", 2, true, func() {}) // that knows nothing of the workspace
	client.Owe(before.Owed(start)...)
	q = client.Question(start, 1)
	client.Learn(start, q, after.Answer(start, q.Ask))
	for name, a := range map[string]*Allocator{"the next": after, "the former": before} {
		if got := letIn(start, a, Ask{Node: "n", Sent: start}); got != 0 {
			t.Errorf("%v let in by %s allocator before the large request is paid off", got, name)
		}
	}
	if owed := before.Owed(start); len(owed) != 0 {
		t.Errorf("%v is owed still", owed)
	}
}

// Guards against quotas that are opened by messages that no node sends.
func TestImpossibleWantsGetNothing(t *testing.T) {
	nan := func() float64 { z := 0.0; return z / z }()
	for _, w := range []Want{
		{Costs: []float64{-1e9}}, {Costs: []float64{nan}}, {Back: -5, Costs: []float64{1}}, {Back: nan, Costs: []float64{1}},
		{Owed: -1e9, Costs: []float64{1}}, {Ahead: nan, Costs: []float64{1}}, {Quota: config.Quota{PerSecond: -1}, Costs: []float64{1}},
		{Quota: config.Quota{PerSecond: nan}, Costs: []float64{1}},
	} {
		a := NewAllocator("n", alwaysTest)
		hand(start, a, "n", 2*time.Second)
		w.Workspace = workspace
		g := a.Answer(start, Ask{Node: "n", Sent: start, Version: 9, Wants: []Want{w}}).Grants[0]
		if g.Waits[0] == admitted || g.Ahead != 0 {
			t.Errorf("%+v got %+v", w, g)
		}
		if got := letIn(start, a, Ask{Node: "n", Sent: start}); got > testQuota.Burst || got < testQuota.Burst/2 {
			t.Errorf("after %+v: %v let in", w, got)
		}
	}
}

// Guards against an allocator that has not read the newest configuration and lets in what
// only the one before allows, or an asker that has not.
func TestQuotaOfTheNewerConfigurationHolds(t *testing.T) {
	low := testQuota
	low.PerSecond, low.Burst = 100, 100
	for _, c := range []struct {
		name    string
		own     config.Quota // of version 5
		asked   config.Quota
		version uint64
		most    float64
	}{{"the asker's", testQuota, low, 6, low.Burst}, {"the allocator's", low, testQuota, 4, low.Burst}, {"none any more", testQuota, config.Quota{}, 6, 1e9}} {
		a := NewAllocator("n", func(string) (config.Quota, uint64) { return c.own, 5 })
		hand(start, a, "n", 3*time.Second)
		got := 0.0
		for range 50 {
			w := Want{Workspace: workspace, Quota: c.asked, Costs: []float64{10}}
			if a.Answer(start, Ask{Node: "n", Sent: start, Version: c.version, Wants: []Want{w}}).Grants[0].Waits[0] == admitted {
				got += 10
			}
		}
		if got > c.most || got < c.most/2 && c.most < 500 {
			t.Errorf("%s: %v let in, %v at most", c.name, got, c.most)
		}
	}
}
