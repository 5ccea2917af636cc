package completion

import (
	"context"
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// engineSend is one send to one engine, from the placement decision to its end.
// It reports the end to the policy and the guard exactly once.
type engineSend struct {
	rt          *Router
	policy      placement.Policy
	request     placement.Request
	decision    placement.Decision
	startedAt   time.Time
	firstToken  time.Duration
	incarnation uint64
	ended       bool
	// partsSurvived says that the parts of the prompt were reported as survived.
	partsSurvived bool
	peerChain     prefix.Chain // prefix levels that are reported to peers
	pool, kind    string       // of the request
	// events is how many events the engine has given, and abandoned says that the caller went away
	// before the last one; both are set before the end.
	events    int
	abandoned bool
}

// Send is how one send to an engine has ended.
type Send struct {
	Pool, Kind string // of the request
	Upstream   string
	FirstToken time.Duration // 0: none has arrived
	// Pause is the mean time between two events; 0: too few have arrived.
	Pause time.Duration
	Err   error
	// CallerGone says that the caller went away before the end.
	CallerGone bool
}

// SendObserver is told how each send has ended.
type SendObserver interface {
	SendEnded(now time.Time, s Send)
}

// minPausedEvents is the least number of events to determine the mean pause between them.
const minPausedEvents = 8

// pause returns the mean time between two events.
func (e *engineSend) pause(now time.Time) time.Duration {
	if e.events < minPausedEvents {
		return 0
	}
	return e.answeringFor(now) / time.Duration(e.events-1)
}

// beginSend takes a slot on the decided engine. It returns false if another request
// took the last slot after the decision.
func (s *requestState) beginSend(now time.Time, p placement.Policy, r placement.Request, d placement.Decision) (*engineSend, bool) {
	if !s.rt.Guard.Begin(now, d.Upstream) {
		return nil, false
	}
	if s.attempts == 0 {
		s.rt.Guard.RecordRequest(s.r.Workspace, d.Upstream)
	}
	p.RecordSent(now, r, d)
	return &engineSend{rt: s.rt, policy: p, request: r, decision: d, startedAt: now, peerChain: s.peerChain(), pool: s.target.group.Pool, kind: s.r.Kind}, true
}

// peerChain returns the prefix levels that are reported to peers. The last level of
// a declared prompt belongs to its own question and is of no use to other requests.
func (s *requestState) peerChain() prefix.Chain {
	if s.r.Passage != nil {
		return s.chain.SharedLevels()
	}
	return s.chain
}

func (e *engineSend) recordFirstToken(now time.Time, h upstream.Head, firstToken time.Duration) {
	e.firstToken = firstToken
	e.incarnation = h.Incarnation
	e.rt.Guard.Answered(now, e.decision.Upstream, firstToken, e.decision.IdleWait)
	a := placement.Answer{
		Incarnation:  h.Incarnation,
		Version:      h.Version,
		PromptTokens: h.PromptTokens,
		CachedTokens: h.CachedTokens,
		CacheUnknown: h.CacheUnknown,
		FirstToken:   firstToken,
	}
	e.policy.RecordAnswer(now, e.request, e.decision, a)
	e.rt.CacheNews.AddAnswer(now, e.decision.Upstream, e.peerChain, a)
}

// answeringFor returns how long the engine has been answering; 0 before its first token.
func (e *engineSend) answeringFor(now time.Time) time.Duration {
	if e.firstToken == 0 {
		return 0
	}
	return now.Sub(e.startedAt.Add(e.firstToken))
}

func (e *engineSend) end(now time.Time, err error) {
	if e.ended {
		return
	}
	e.ended = true
	// A caller that went away is no failure of the upstream. A first token that
	// did not arrive in time is one, whatever ended the send afterwards.
	callerGone := errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	ok := err == nil || callerGone
	if e.rt.Sends != nil {
		e.rt.Sends.SendEnded(now, Send{
			Pool: e.pool, Kind: e.kind, Upstream: e.decision.Upstream, FirstToken: e.firstToken, Pause: e.pause(now),
			Err: err, CallerGone: callerGone || e.abandoned,
		})
	}
	e.policy.RecordFinish(now, e.request, e.decision, ok)
	e.rt.Guard.End(now, e.decision.Upstream, guard.SendResult{
		Err:                err,
		FirstToken:         e.firstToken,
		ExpectedFirstToken: e.decision.IdleWait,
		FirstTokenReported: e.firstToken > 0,
		Incarnation:        e.incarnation,
	})
}
