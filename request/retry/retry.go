// Package retry decides what becomes of a request whose try at an upstream
// failed: whether it may be tried again, where, when, or what its final
// answer is. What may be repeated follows from what was sent; how much is
// repeated is bounded by a budget, so that retries never multiply the load
// that made the tries fail.
package retry

import (
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
)

//go:generate go tool stringer -type=Fault,Action -output=retry_string.go

// Fault says how a try failed, as far as a retry cares.
type Fault uint8

const (
	// NotSent means that no byte left for the upstream.
	NotSent Fault = iota
	// Refused means that the upstream said that it did not run it.
	Refused
	// Busy is a Refused for want of room.
	Busy
	// WrongVersion is a Refused for other weights.
	WrongVersion
	// BrokenBefore means that it broke before a token was passed on.
	BrokenBefore
	// BrokenAfter means that it broke after tokens were passed on.
	BrokenAfter
)

// Classify gives the Fault of an error of package upstream. An error it does
// not know may have sent something.
func Classify(err error, tokensPassedOn int) Fault {
	switch {
	case tokensPassedOn > 0:
		return BrokenAfter
	case errors.Is(err, upstream.ErrNotSent):
		return NotSent
	case errors.Is(err, upstream.ErrBusy):
		return Busy
	case errors.Is(err, upstream.ErrWrongVersion):
		return WrongVersion
	case errors.Is(err, upstream.ErrRefused):
		return Refused
	}
	return BrokenBefore
}

// Action is what to do next.
type Action uint8

const (
	// GiveUp means to answer the caller at once with Verdict.Err.
	GiveUp Action = iota
	// RetryElsewhere means to place it again without the upstreams tried.
	RetryElsewhere
	// RetrySame means to send it to the same upstream again.
	RetrySame
	// Resume means to go on with the stream that the same engine holds.
	Resume
	// ContinueElsewhere means to let another engine with the same weights go
	// on after the text that was passed on.
	ContinueElsewhere
)

// Attempt is a failed try with all that decides what comes next.
type Attempt struct {
	ID        string // the request's, for the jitter
	Workspace string
	Upstream  string // that failed
	Tries     int    // made so far, this one included
	// Runs is how many upstreams may have run it, this one included if so, and
	// MaxRuns how many may; 0: as many as there are tries. A try that surely was
	// not run uses up none.
	Runs       int
	MaxRuns    int
	Repeatable bool
	Fault      Fault
	// SentBefore says that an earlier try of the same request may have
	// reached an upstream.
	SentBefore bool
	// CanResume says that the engine may still hold the stream: it was not
	// reported dead or restarted, and this is not the second resume without
	// a token in between.
	CanResume bool
	// Others is how many eligible upstreams were not tried yet; for a
	// BrokenAfter, those with the same weights version alone.
	Others int
	// Doubted says that the upstream has ended under the request, and others before
	// it: sent on, it may end the next one.
	Doubted bool
	// Expected is the time that another try needs to be of use: up to the
	// first token, or to the whole answer of a plain service.
	Expected time.Duration
	// Deadline of the request. Zero: none.
	Deadline time.Time
	// Return is when the upstream asked to come back; 0: it did not say.
	Return time.Duration
	Cause  error
}

// sent says whether the request may have run. An explicit refusal tells that
// it has not, if the upstreams' refusals are trusted; else any byte counts.
func (a Attempt) sent(trust bool) bool {
	if trust {
		return a.SentBefore || a.Fault > WrongVersion
	}
	return a.SentBefore || a.Fault != NotSent
}

// Verdict is what to do after a failed try.
type Verdict struct {
	Action Action
	Wait   time.Duration  // before it
	Err    *failure.Error // the final answer, if the Action is GiveUp
	Reason string         // for the decision log
}

// Config sets a Retrier.
type Config struct {
	Seed     uint64
	MaxTries int // of one request, the first included
	// Ratio is how many retries each request pays for.
	Ratio float64
	// Reserve is how many retries the whole node may make beyond Ratio, so
	// that the first failures after a start are retried.
	Reserve float64
	// Burst is how many unused retries a workspace or an upstream keeps.
	Burst float64
	// MaxKeys bounds the workspaces and the upstreams with a budget.
	MaxKeys int
	Backoff Backoff
	// TrustRefusals says that the upstreams promise, by their protocol, never
	// to run what they refused, so that a refusal is as good as not sent.
	TrustRefusals bool
	// PayContinuations has the rest of a broken stream paid for like any other
	// resend. It is for fleets whose bound on resends has no exception.
	PayContinuations bool
}

// Default lets retries add 10% of load.
var Default = Config{
	MaxTries: 4, Ratio: 0.1, Reserve: 4, Burst: 8, MaxKeys: 8192,
	Backoff: Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second},
}

// Backoff is the wait before a retry at the same upstream.
type Backoff struct {
	Base time.Duration // before the first one
	Max  time.Duration
}

// Wait doubles with each try, half of it jitter by seed and id.
func (b Backoff) Wait(seed uint64, id string, tries int) time.Duration {
	d := b.Base << min(max(tries-1, 0), 16)
	return limit.Spread(seed, id, min(d, b.Max)/2)
}
