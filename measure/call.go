package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Sample is what came of one request.
type Sample struct {
	Request  workload.Request
	Attempts int
	Refused  bool // no upstream was eligible
	Failed   bool // given up after maxAttempts
	Cut      bool // the engine crashed after the first token
	Started  bool // an engine took it into a slot
	Answered bool
	First    time.Duration // from the arrival at the node to the first token there
	Cached   int           // prompt tokens found in the engine's cache
	Wasted   int           // prompt tokens computed though another eligible engine had them
}

// call is a request on its way.
type call struct {
	f        *fleet
	n        *node
	policy   placement.Policy // of the process that took the call; a restarted node has another
	request  workload.Request
	excluded []string
	sent     time.Duration // the latest attempt
	sample   *Sample
}

// arrive takes in a request at its node.
func (f *fleet) arrive(r workload.Request) {
	n := f.nodes[r.Node]
	c := &call{f: f, n: n, policy: n.policy, request: r, sample: &Sample{Request: r}}
	f.samples = append(f.samples, c.sample)
	c.place()
}

func (c *call) now() time.Time { return c.f.clock.Now() }

// place decides on an upstream and sends the request there.
func (c *call) place() {
	r := placement.Request{
		Workspace:  c.request.Workspace,
		DataCentre: c.n.centre,
		Chain:      c.request.Chain,
		Output:     c.request.Output,
		Urgent:     c.request.Urgent,
		Excluded:   c.excluded,
	}
	d, err := c.policy.Place(c.now(), r)
	if err != nil {
		c.sample.Refused = true
		return
	}
	c.sample.Attempts++
	c.sent = c.f.clock.Elapsed()
	c.policy.Sent(c.now(), r, d)
	e := c.f.engines[c.f.byName[d.Upstream]]
	c.f.clock.After(latency(c.n.centre, e.Config().DataCentre), func() { c.submit(e, r, d) })
}

// submit is the request's arrival at the engine.
func (c *call) submit(e *engine.Engine, r placement.Request, d placement.Decision) {
	centre := e.Config().DataCentre
	back := latency(c.n.centre, centre)
	if !c.f.reaches(c.n.centre, centre) {
		c.f.clock.After(connectTimeout, func() { c.failed(r, d) })
		return
	}
	accepted := e.Submit(&engine.Job{
		Chain:  c.request.Chain,
		Output: c.request.Output,
		Urgent: c.request.Urgent,
		Started: func(cached int) {
			c.sample.Started = true
			c.sample.Cached = cached
			c.sample.Wasted = max(c.f.bestCached(c.n, r.Chain)-cached, 0)
		},
		First: func(a placement.Answer) {
			c.f.clock.After(back, func() { c.first(r, d, a) })
		},
		Ended: func(ok bool) {
			c.f.clock.After(back, func() { c.ended(r, d, ok) })
		},
	})
	if !accepted {
		c.f.clock.After(back+errorDelay, func() { c.failed(r, d) })
	}
}

// bestCached is the most tokens of the chain that any engine has which the
// node could use.
func (f *fleet) bestCached(n *node, chain prefix.Chain) int {
	best := 0
	for _, e := range f.engines {
		if e.Serving() && f.reaches(n.centre, e.Config().DataCentre) {
			best = max(best, e.Cached(chain))
		}
	}
	return min(best, chain.Tokens()-1)
}

func (c *call) first(r placement.Request, d placement.Decision, a placement.Answer) {
	c.sample.Answered = true
	c.sample.First = c.f.clock.Elapsed() - c.request.At
	a.FirstToken = c.f.clock.Elapsed() - c.sent
	c.policy.Answered(c.now(), r, d, a)
}

func (c *call) ended(r placement.Request, d placement.Decision, ok bool) {
	if !ok && !c.sample.Answered {
		c.failed(r, d)
		return
	}
	c.sample.Cut = !ok
	c.policy.Finished(c.now(), r, d, ok)
}

// failed places the request again, on another upstream.
func (c *call) failed(r placement.Request, d placement.Decision) {
	c.policy.Finished(c.now(), r, d, false)
	c.excluded = append(append([]string(nil), c.excluded...), d.Upstream)
	if c.sample.Attempts == maxAttempts {
		c.sample.Failed = true
		return
	}
	c.place()
}
