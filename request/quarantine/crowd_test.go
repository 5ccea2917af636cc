package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of a simulation in which many callers use engines that crash for reasons
// unrelated to the requests.
const (
	crowdNodes        = 8
	crowdEngines      = 12
	popularPrompts    = 5 // prompts that half of the requests use
	crowdTimeStep     = 20 * time.Millisecond
	requestsPerStep   = 4 // 200 a second
	crowdExchange     = 200 * time.Millisecond
	answerTime        = 500 * time.Millisecond // duration of a request
	crashRate         = 0.4                    // a second, over all engines
	massCrashInterval = 10 * time.Second       // between crashes of every third engine together
	restartTime       = 3 * time.Second
)

// crowdSim simulates the callers, nodes and engines in virtual time.
type crowdSim struct {
	rand           *rand.Rand
	now            time.Time
	trackers       []*Tracker
	engines        []crowdEngine
	uniqueRequests int // requests of which each was sent once, so far

	sent, refused, crashed int
}

type crowdEngine struct {
	name    string
	backAt  time.Time // end of its restart after a crash
	running []crowdRun
}

// crowdRun is one request that runs on an engine.
type crowdRun struct {
	digest  Content
	tracker *Tracker // of the node that sent the request
	endsAt  time.Time
}

func newCrowdSim(seed uint64) *crowdSim {
	c := &crowdSim{rand: rand.New(rand.NewPCG(seed, 7)), now: start}
	for i := range crowdNodes {
		c.trackers = append(c.trackers, newTestTracker(fmt.Sprintf("n%d", i)))
	}
	for i := range crowdEngines {
		c.engines = append(c.engines, crowdEngine{name: fmt.Sprintf("u%d", i)})
	}
	return c
}

func (c *crowdSim) step() {
	for i := range c.engines {
		e := &c.engines[i]
		e.completeDue(c.now)
		if c.shouldCrash(i) {
			e.crash(c.now)
			c.crashed++
		}
	}
	for range requestsPerStep {
		c.sendFromCaller()
	}
	if c.now.Sub(start)%crowdExchange == 0 {
		exchangeAll(c.now, c.trackers)
	}
	c.now = c.now.Add(crowdTimeStep)
}

func (c *crowdSim) shouldCrash(i int) bool {
	if c.now.Before(c.engines[i].backAt) {
		return false
	}
	if i%3 == 0 && c.now.Sub(start)%massCrashInterval == massCrashInterval/2 {
		return true
	}
	return c.rand.Float64() < crashRate*crowdTimeStep.Seconds()/crowdEngines
}

// completeDue reports the complete answers that are due.
func (e *crowdEngine) completeDue(now time.Time) {
	var rest []crowdRun
	for _, r := range e.running {
		if r.endsAt.After(now) {
			rest = append(rest, r)
			continue
		}
		r.tracker.ReportSurvival(now, r.digest)
	}
	e.running = rest
}

// crash ends all requests that run on the engine.
func (e *crowdEngine) crash(now time.Time) {
	for _, r := range e.running {
		r.tracker.ReportEnd(now, r.digest, e.name)
	}
	e.running, e.backAt = nil, now.Add(restartTime)
}

// sendFromCaller sends one request: a popular prompt or a unique one, with equal
// probability.
func (c *crowdSim) sendFromCaller() {
	text := fmt.Sprint("popular", c.rand.IntN(popularPrompts))
	if c.rand.Float64() < 0.5 {
		c.uniqueRequests++
		text = fmt.Sprint("single", c.uniqueRequests)
	}
	requested, b := digest(text), c.trackers[c.rand.IntN(crowdNodes)]
	c.sent++
	if b.Admit(c.now, requested) != nil {
		c.refused++
		return
	}
	e := &c.engines[c.rand.IntN(crowdEngines)]
	if !c.now.Before(e.backAt) {
		e.running = append(e.running, crowdRun{digest: requested, tracker: b, endsAt: c.now.Add(answerTime)})
	}
}

// Callers send a few prompts repeatedly through all nodes, while engines crash for
// unrelated reasons, one by one and every ten seconds a third of them together. The
// popular prompts are running at nearly every crash. Guards against holding them, or more
// than a few of the requests that were sent once.
func TestPopularRequestsAreNotHeldWhenEnginesCrash(t *testing.T) {
	const seeds, length = 20, 40 * time.Second
	sent, refused, crashed := 0, 0, 0
	for seed := range uint64(seeds) {
		c := newCrowdSim(seed)
		for c.now.Before(after(length)) {
			c.step()
		}
		sent, refused, crashed = sent+c.sent, refused+c.refused, crashed+c.crashed
	}
	t.Logf("%d crashes, %d sent, %d refused", crashed, sent, refused)
	if crashed < 20*seeds {
		t.Fatalf("only %d crashes", crashed)
	}
	if refused > sent/1000 {
		t.Errorf("%d of %d refused", refused, sent)
	}
}
