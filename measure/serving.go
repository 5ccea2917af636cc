package measure

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/settings"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/shedding"
)

// servingPath holds what surrounds the placement policy of a node in production: the
// queue before placement, and the limits, ejection and retries around each send. The
// order of the calls is that of package completion, which itself needs goroutines and
// the wall clock.
type servingPath struct {
	guard   *guard.Guard
	queue   *limit.Queue
	shedder *shedding.Shedder
	waiting map[*limit.Entry]*call

	evidence *member.UpstreamEvidence // from its own and its peers' sends
}

// ServePolicy returns the serving path of the serve command with the given placement
// policy.
func ServePolicy(named placement.NamedPolicy) Policy {
	p := fromPlacement(named)
	p.Name = ServeName
	p.fullPath = true
	return p
}

// ServeName is the policy name of the rows of the serving path.
const ServeName = "Serve"

// Periods of the recurring work of a node; see process/node and package completion.
const (
	placementPollPeriod = 5 * time.Millisecond
	resizePeriod        = time.Second
	expirePeriod        = 100 * time.Millisecond
)

func newServingPath(seed uint64) *servingPath {
	guardCfg := guard.EngineDefaults
	guardCfg.Retry.Seed = seed
	queueCfg := limit.DefaultQueueConfig
	queueCfg.Seed = seed
	queueCfg.MaxWaiting = settings.DefaultQueueLength
	queueCfg.MaxWait = settings.DefaultQueueMaxWait
	sendGuard, err := guard.New(guardCfg)
	if err != nil {
		panic(fmt.Errorf("measure: %w", err))
	}
	shedCfg := shedding.DefaultConfig
	shedCfg.Seed = seed
	shedder, err := shedding.New(shedCfg)
	if err != nil {
		panic(fmt.Errorf("measure: %w", err))
	}
	return &servingPath{guard: sendGuard, shedder: shedder, queue: limit.NewQueue(queueCfg), waiting: make(map[*limit.Entry]*call)}
}

// startMaintenance starts the recurring work of a process, which goes on while the
// process drains.
func (f *fleet) startMaintenance(n *node, s *servingPath) {
	f.clock.Every(resizePeriod, func() { f.resizeQueue(n, s) })
	f.clock.Every(expirePeriod, func() { f.handleSettled(s, s.queue.Expire(f.clock.Now())) })
}

// resizeQueue sets the queue's capacity to the number of requests that the upstreams
// accept from this node.
func (f *fleet) resizeQueue(n *node, s *servingPath) {
	capacity := max(1, s.guard.Capacity(f.upstreamNames()))
	f.handleSettled(s, s.queue.SetCapacity(f.clock.Now(), capacity))
}

func (f *fleet) handleSettled(s *servingPath, entries []*limit.Entry) {
	for _, e := range entries {
		c := s.waiting[e]
		delete(s.waiting, e)
		if e.State == limit.Granted {
			c.placeBeforeDeadline()
			continue
		}
		c.refuse(e.Err)
	}
}

// Nominal rates from which the share of capacity that one request takes is estimated.
const (
	nominalPrefillRate = 8000.0 // prompt tokens a second
	nominalDecodeRate  = 60.0   // output tokens a second
)

// enqueue asks the queue to admit the request.
func (c *call) enqueue() {
	cost := float64(c.request.Chain.Tokens())/nominalPrefillRate + float64(c.request.OutputTokens)/nominalDecodeRate
	run := time.Duration(cost * float64(time.Second))
	e, settled := c.servingPath.queue.Offer(c.now(), limit.Ticket{
		ID:        c.id(),
		Workspace: c.request.Workspace,
		Priority:  c.request.Priority,
		Cost:      cost,
		StartBy:   c.deadline().Add(-min(run, c.request.Deadline/2)),
	})
	c.queueEntry = e
	c.servingPath.waiting[e] = c
	c.fleet.handleSettled(c.servingPath, settled)
}

func (c *call) id() string { return strconv.FormatUint(c.request.ID, 10) }

func (c *call) deadline() time.Time {
	return c.now().Add(c.request.Deadline - (c.fleet.clock.Elapsed() - c.arrivedAt))
}

// placeBeforeDeadline places an admitted request, unless its deadline has passed.
func (c *call) placeBeforeDeadline() {
	if !c.now().Before(c.deadline()) {
		c.releaseQueueSlot()
		c.refuse(failure.ErrDeadlineExceeded)
		return
	}
	c.place()
}

// awaitSlot tries to place the request again after placementPollPeriod, if only this
// node's limits keep upstreams from being chosen. It refuses the request otherwise,
// or when that has lasted for completion.DefaultSlotTimeout.
func (c *call) awaitSlot() {
	now := c.fleet.clock.Elapsed()
	if !c.servingPath.guard.AnyAtLimit(c.node.eligible) {
		c.releaseQueueSlot()
		c.refuse(failure.ErrNoUpstream)
		return
	}
	if c.noSlotSince == 0 {
		c.noSlotSince = now
	}
	if now-c.noSlotSince >= completion.DefaultSlotTimeout {
		c.releaseQueueSlot()
		c.refuse(failure.ErrOverloaded)
		return
	}
	c.excluded = slices.Clone(c.failedUpstreams)
	c.fleet.clock.After(placementPollPeriod, c.placeBeforeDeadline)
}

// shed refuses a request that would wait too long for its first token, and reports
// whether it did.
func (c *call) shed(r placement.Request, d placement.Decision) bool {
	verdict := c.servingPath.shedder.Decide(c.now(), shedding.Request{
		ID:                 c.id(),
		Workspace:          c.request.Workspace,
		Urgent:             c.request.Urgent,
		Priority:           c.request.Priority,
		PromptTokens:       r.Chain.Tokens(),
		Wait:               d.Wait,
		IdleWait:           d.IdleWait,
		FirstTokenDeadline: c.deadline(),
	})
	if verdict.Err == nil {
		c.servingPath.shedder.RecordSent(c.now(), c.request.Workspace, 0, r.Chain.Tokens()-d.CachedTokens)
		return false
	}
	c.releaseQueueSlot()
	c.refuse(verdict.Err)
	return true
}

// releaseQueueSlot returns the request's slot to the queue.
func (c *call) releaseQueueSlot() {
	if c.servingPath != nil {
		c.fleet.handleSettled(c.servingPath, c.servingPath.queue.Release(c.now(), c.queueEntry))
	}
}

// refuse records a refusal. If the scenario allows it, the caller sends the request
// again after the time that the refusal names.
func (c *call) refuse(err *failure.Error) {
	s := c.sample
	s.Refused = true
	s.RefusalDelay = c.fleet.clock.Elapsed() - c.arrivedAt
	if s.CallerRetries >= c.fleet.scenario.MaxCallerRetries || err.RetryAfter == 0 {
		return
	}
	c.fleet.clock.After(err.RetryAfter, func() {
		s.Refused = false
		s.CallerRetries++
		c.fleet.startCall(c.request, s)
	})
}

func (c *call) firstTokenTimeout() time.Duration {
	return min(completion.DefaultFirstTokenTimeout, c.deadline().Sub(c.now()))
}

// timeout abandons an upstream that has sent no token in time.
func (att *sendAttempt) timeout() {
	if att.ended || att.firstToken > 0 {
		return
	}
	if att.job != nil {
		att.engine.Cancel(att.job)
	}
	att.end(context.Canceled)
}

// endOnServingPath reports the end of the send to the guard, and sends a failed
// request again unless it has had its first token.
func (att *sendAttempt) endOnServingPath(err error) {
	c := att.call
	c.servingPath.guard.End(c.now(), att.decision.Upstream, guard.SendResult{
		Err:                err,
		FirstToken:         att.firstToken,
		ExpectedFirstToken: att.decision.IdleWait,
		FirstTokenReported: att.firstToken > 0,
		Incarnation:        att.incarnation,
	})
	switch {
	case err == nil:
		c.releaseQueueSlot()
	case att.firstToken > 0:
		c.releaseQueueSlot()
		c.sample.StreamCut = true
	default:
		c.retryOrFail(att, err)
	}
}

// retryOrFail sends a failed request again, or marks it as failed.
func (c *call) retryOrFail(att *sendAttempt, cause error) {
	verdict := c.servingPath.guard.Decide(c.now(), retry.Attempt{
		ID:               c.id(),
		Workspace:        c.request.Workspace,
		Upstream:         att.decision.Upstream,
		Tries:            c.sample.Sends,
		Repeatable:       true,
		Fault:            retry.Classify(cause, 0),
		UntriedUpstreams: c.countUntried(att.decision.Upstream),
		Deadline:         c.deadline(),
		Cause:            cause,
	})
	switch verdict.Action {
	case retry.RetryElsewhere:
		c.failedUpstreams = append(c.failedUpstreams, att.decision.Upstream)
		c.excluded = slices.Clone(c.failedUpstreams)
		c.placeBeforeDeadline()
	case retry.RetrySame:
		c.fleet.clock.After(verdict.Wait, c.placeBeforeDeadline)
	default:
		c.releaseQueueSlot()
		c.sample.Failed = true
	}
}

// countUntried returns the number of eligible upstreams, other than name, that have
// not been excluded for this request.
func (c *call) countUntried(name string) int {
	return lo.CountBy(c.node.eligible, func(n string) bool {
		return n != name && !lo.Contains(c.excluded, n)
	})
}
