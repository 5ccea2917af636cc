package measure

import (
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Sample is the outcome of one request.
type Sample struct {
	Request       workload.Request
	Sends         int
	Refused       bool          // by the queue or by shedding, or because no upstream was eligible
	RefusalDelay  time.Duration // time from the last arrival at a node to the refusal
	CallerRetries int           // times that the caller sent the request again after a refusal
	Failed        bool          // no further send after a failed one
	StreamCut     bool          // the engine crashed after the first token
	Started       bool          // an engine started to compute the prompt
	Answered      bool
	FirstToken    time.Duration // time from the last arrival at a node to the first token at that node
	Cached        int           // prompt tokens found in the engine's cache
	Imported      int           // prompt tokens imported from another engine
	Wasted        int           // prompt tokens computed although another eligible engine had them cached
}

// InTime reports whether the first token arrived before the deadline of the caller.
func (s *Sample) InTime() bool { return s.Answered && s.FirstToken <= s.Request.Deadline }

// call is a request in progress. It keeps the policy and the serving path of the
// process that accepted it, because a restarted node has new ones.
type call struct {
	fleet           *fleet
	node            *node
	policy          placement.Policy
	servingPath     *servingPath // nil if the policy runs without the serving path
	queueEntry      *limit.Entry
	request         workload.Request
	arrivedAt       time.Duration
	excluded        []string // upstreams excluded from the next placement decision
	failedUpstreams []string // upstreams on which a send failed
	// noSlotSince is when placement first found no upstream with a free slot; 0 if
	// it has not.
	noSlotSince time.Duration
	sample      *Sample
}

// arrive records a new request and starts it at its node.
func (f *fleet) arrive(r workload.Request) {
	s := &Sample{Request: r}
	f.samples = append(f.samples, s)
	f.startCall(r, s)
}

// startCall starts a request on the node that it was sent to. Callers that return
// after a refusal start here again.
func (f *fleet) startCall(r workload.Request, s *Sample) {
	n := f.nodes[r.Node]
	c := &call{
		fleet: f, node: n, policy: n.policy, servingPath: n.servingPath,
		request: r, arrivedAt: f.clock.Elapsed(), sample: s,
	}
	if c.servingPath != nil {
		c.enqueue()
		return
	}
	c.place()
}

func (c *call) now() time.Time { return c.fleet.clock.Now() }

// place chooses an upstream and sends the request there.
func (c *call) place() {
	for {
		r := c.placementRequest()
		d, err := c.policy.Place(c.now(), r)
		if err != nil && c.servingPath != nil {
			c.awaitSlot()
			return
		}
		if err != nil {
			c.sample.Refused = true
			return
		}
		if c.servingPath != nil && c.shed(r, d) {
			return
		}
		if c.servingPath == nil || c.servingPath.guard.Begin(c.now(), d.Upstream) {
			c.send(r, d)
			return
		}
		// Another request took the last slot after the decision.
		c.excluded = append(c.excluded, d.Upstream)
	}
}

func (c *call) placementRequest() placement.Request {
	excluded := append([]string(nil), c.excluded...)
	var readable []string
	if c.servingPath != nil {
		atLimit := c.servingPath.guard.Excluded(c.now(), c.node.eligible)
		readable = lo.Without(c.servingPath.guard.WithReadableCache(c.now(), atLimit), excluded...)
		excluded = append(excluded, atLimit...)
	}
	return placement.Request{
		Workspace:     c.request.Workspace,
		DataCentre:    c.node.dataCentre,
		Chain:         c.request.Chain,
		OutputTokens:  c.request.OutputTokens,
		Urgent:        c.request.Urgent,
		Excluded:      excluded,
		CacheReadable: readable,
	}
}

// sendAttempt is one send of a request to one upstream. It ends exactly once.
type sendAttempt struct {
	call           *call
	request        placement.Request
	decision       placement.Decision
	engine         *engine.Engine
	job            *engine.Job
	sentAt         time.Duration
	firstToken     time.Duration // time from the send to the first token; 0 if there was none
	incarnation    uint64
	importedTokens int
	ended          bool
}

func (c *call) send(r placement.Request, d placement.Decision) {
	att := &sendAttempt{
		call: c, request: r, decision: d,
		engine: c.fleet.engines[c.fleet.engineIndexes[d.Upstream]],
		sentAt: c.fleet.clock.Elapsed(),
	}
	if c.servingPath != nil && c.sample.Sends == 0 {
		c.servingPath.guard.RecordRequest(c.request.Workspace, d.Upstream)
	}
	c.sample.Sends++
	c.policy.RecordSent(c.now(), r, d)
	c.fleet.clock.After(att.latency(), att.importCache)
	if c.servingPath != nil {
		c.fleet.clock.After(c.firstTokenTimeout(), att.timeout)
	}
}

func (att *sendAttempt) latency() time.Duration {
	return latency(att.call.node.dataCentre, att.engine.Config().DataCentre)
}

// importCache first imports the KV cache that the decision asks for, if any, and then
// submits the request.
func (att *sendAttempt) importCache() {
	f := att.call.fleet
	from, ok := f.engineIndexes[att.decision.Source]
	if !ok || att.ended || att.engine.Down() || !f.reaches(att.call.node.dataCentre, f.engines[from].Config().DataCentre) {
		att.submit()
		return
	}
	att.engine.Import(f.engines[from], att.call.request.Chain, func(tokens int) {
		att.importedTokens = tokens
		att.submit()
	})
}

// submit hands the request to the engine.
func (att *sendAttempt) submit() {
	c := att.call
	if att.ended {
		return
	}
	if !c.fleet.reaches(c.node.dataCentre, att.engine.Config().DataCentre) {
		c.fleet.clock.After(connectTimeout, func() { att.end(upstream.ErrNotSent) })
		return
	}
	att.job = &engine.Job{
		Chain:        c.request.Chain,
		OutputTokens: c.request.OutputTokens,
		Urgent:       c.request.Urgent,
		Started: func(cached int) {
			c.sample.Started = true
			c.sample.Imported = min(att.importedTokens, cached)
			c.sample.Cached = cached - c.sample.Imported
			c.sample.Wasted = max(c.fleet.mostCachedTokens(c.node, c.request.Chain)-cached, 0)
		},
		FirstToken: func(a placement.Answer) {
			c.fleet.clock.After(att.latency(), func() { att.handleFirstToken(a) })
		},
		Ended: func(ok bool) {
			c.fleet.clock.After(att.latency(), func() { att.end(engineEndError(ok)) })
		},
	}
	if att.engine.Submit(att.job) {
		return
	}
	err := upstream.ErrFailedAfterSend
	if att.engine.Down() {
		err = upstream.ErrNotSent
	}
	c.fleet.clock.After(att.latency()+errorDelay, func() { att.end(err) })
}

func engineEndError(ok bool) error {
	if ok {
		return nil
	}
	return upstream.ErrFailedAfterSend
}

// mostCachedTokens returns the largest number of tokens of the chain that any engine
// the node can use has cached.
func (f *fleet) mostCachedTokens(n *node, chain prefix.Chain) int {
	best := 0
	for _, e := range f.engines {
		if e.Serving() && f.reaches(n.dataCentre, e.Config().DataCentre) {
			best = max(best, e.CachedTokens(chain))
		}
	}
	return min(best, chain.Tokens()-1)
}

func (att *sendAttempt) handleFirstToken(a placement.Answer) {
	if att.ended {
		return
	}
	c := att.call
	att.firstToken = c.fleet.clock.Elapsed() - att.sentAt
	att.incarnation = a.Incarnation
	a.FirstToken = att.firstToken
	c.sample.Answered = true
	c.sample.FirstToken = c.fleet.clock.Elapsed() - c.arrivedAt
	if c.servingPath != nil {
		c.servingPath.guard.Answered(c.now(), att.decision.Upstream, att.firstToken, att.decision.IdleWait)
	}
	c.policy.RecordAnswer(c.now(), att.request, att.decision, a)
	c.node.recordCacheNews(c.now(), att.decision.Upstream, att.request.Chain, a)
}

// end ends the send once. A nil err means that the answer is complete.
func (att *sendAttempt) end(err error) {
	if att.ended {
		return
	}
	att.ended = true
	c := att.call
	c.policy.RecordFinish(c.now(), att.request, att.decision, err == nil)
	if c.servingPath != nil {
		att.endOnServingPath(err)
		return
	}
	switch {
	case err == nil:
	case c.sample.Answered:
		c.sample.StreamCut = true
	case c.sample.Sends == maxSends:
		c.sample.Failed = true
	default:
		c.excluded = append(c.excluded, att.decision.Upstream)
		c.place()
	}
}
