package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The crowd of callers before engines that crash for a reason of their own.
const (
	crowdNodes   = 8
	crowdEngines = 12
	popular      = 5 // prompts that half of the requests are of
	crowdStep    = 20 * time.Millisecond
	perStep      = 4 // requests: 200 a second
	crowdTelling = 200 * time.Millisecond
	runTime      = 500 * time.Millisecond // of a request
	crashes      = 0.4                    // a second, over all engines
	massCrash    = 10 * time.Second       // between two at which every third engine crashes
	backAfter    = 3 * time.Second
)

// crowd plays requests in virtual time.
type crowd struct {
	rand    *rand.Rand
	now     time.Time
	books   []*Book
	engines []crowdEngine
	singles int // requests that came once, so far

	sent, refused, crashed int
}

type crowdEngine struct {
	name string
	back time.Time // from a crash
	runs []crowdRun
}

// crowdRun is one request at an engine.
type crowdRun struct {
	content Content
	book    *Book // of the node that sent it
	ends    time.Time
}

func newCrowd(seed uint64) *crowd {
	c := &crowd{rand: rand.New(rand.NewPCG(seed, 7)), now: start}
	for i := range crowdNodes {
		c.books = append(c.books, newBook(fmt.Sprintf("n%d", i)))
	}
	for i := range crowdEngines {
		c.engines = append(c.engines, crowdEngine{name: fmt.Sprintf("u%d", i)})
	}
	return c
}

func (c *crowd) step() {
	for i := range c.engines {
		e := &c.engines[i]
		e.finish(c.now)
		if c.crashes(i) {
			e.crash(c.now)
			c.crashed++
		}
	}
	for range perStep {
		c.send()
	}
	if c.now.Sub(start)%crowdTelling == 0 {
		tellAll(c.now, c.books)
	}
	c.now = c.now.Add(crowdStep)
}

func (c *crowd) crashes(i int) bool {
	if c.now.Before(c.engines[i].back) {
		return false
	}
	if i%3 == 0 && c.now.Sub(start)%massCrash == massCrash/2 {
		return true
	}
	return c.rand.Float64() < crashes*crowdStep.Seconds()/crowdEngines
}

// finish gives the whole answers that are due.
func (e *crowdEngine) finish(now time.Time) {
	var rest []crowdRun
	for _, r := range e.runs {
		if r.ends.After(now) {
			rest = append(rest, r)
			continue
		}
		r.book.Survived(now, r.content)
	}
	e.runs = rest
}

// crash ends all that runs at the engine.
func (e *crowdEngine) crash(now time.Time) {
	for _, r := range e.runs {
		r.book.Ended(now, r.content, e.name)
	}
	e.runs, e.back = nil, now.Add(backAfter)
}

// send has one caller ask: every second one a popular prompt, the others one of their own.
func (c *crowd) send() {
	text := fmt.Sprint("popular", c.rand.IntN(popular))
	if c.rand.Float64() < 0.5 {
		c.singles++
		text = fmt.Sprint("single", c.singles)
	}
	asked, b := content(text), c.books[c.rand.IntN(crowdNodes)]
	c.sent++
	if b.Admit(c.now, asked) != nil {
		c.refused++
		return
	}
	e := &c.engines[c.rand.IntN(crowdEngines)]
	if !c.now.Before(e.back) {
		e.runs = append(e.runs, crowdRun{content: asked, book: b, ends: c.now.Add(runTime)})
	}
}

// Callers ask a few prompts over and over, from all nodes, while engines crash for a reason
// of their own, one after the other and every ten seconds a third of them together. The
// popular prompts are on the spot at nearly every crash; they have to be served all the
// same, and so have nearly all that came once.
func TestPopularRequestsAreNotHeldWhenEnginesCrash(t *testing.T) {
	const seeds, length = 20, 40 * time.Second
	sent, refused, crashed := 0, 0, 0
	for seed := range uint64(seeds) {
		c := newCrowd(seed)
		for c.now.Before(at(length)) {
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
