// Package retry decides what to do with a request after a failed try at an
// upstream: whether it may be tried again, where and when, or what its final
// error is. What was sent determines whether a try may be repeated. A budget
// bounds the number of retries, so that they never multiply the load that made
// the tries fail.
package retry

import (
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
)

//go:generate go tool stringer -type=Fault,Action -output=retry_string.go

// Fault is the kind of a failed try, as far as it matters for a retry.
type Fault uint8

const (
	// NotSent means that no byte was sent to the upstream.
	NotSent Fault = iota
	// Refused means that the upstream said that it did not run the request.
	Refused
	// Busy is a refusal for lack of capacity.
	Busy
	// WrongVersion is a refusal because the upstream has other weights.
	WrongVersion
	// BrokenBefore means that the try broke before a token was returned to the caller.
	BrokenBefore
	// BrokenAfter means that the try broke after tokens were returned to the caller.
	BrokenAfter
)

// Classify returns the Fault of an error of package upstream. After an unknown
// error the request may have been sent.
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
	// GiveUp means to return Verdict.Err to the caller at once.
	GiveUp Action = iota
	// RetryElsewhere means to place the request again without the upstreams tried.
	RetryElsewhere
	// RetrySame means to send the request to the same upstream again.
	RetrySame
	// Resume means to resume the stream that the same engine still holds.
	Resume
	// ContinueElsewhere means to have another engine with the same weights
	// continue after the text already returned.
	ContinueElsewhere
)

// Attempt is a failed try with all inputs of the decision what to do next.
type Attempt struct {
	ID        string // of the request; seeds the jitter
	Workspace string
	Upstream  string // upstream that failed
	Tries     int    // tries made, including this one
	// Runs is how many upstreams may have run the request, including this one
	// if it may have. MaxRuns bounds it; 0: only MaxTries bounds it. A try that
	// certainly did not run does not count.
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
	// UntriedUpstreams is how many eligible upstreams were not tried yet; for
	// BrokenAfter only those with the same weights version.
	UntriedUpstreams int
	// CrashesUpstreams says that the process of the upstream ended under the
	// request, like others before it: sent on, the request may crash the next one.
	CrashesUpstreams bool
	// ExpectedTime is the least time that another try needs to be useful: up to
	// the first token, or to the whole reply of a plain service.
	ExpectedTime time.Duration
	// Deadline of the request; zero: none.
	Deadline time.Time
	// RetryAfter is the hold-off that the upstream asked for; 0: none.
	RetryAfter time.Duration
	Cause      error
}

// mayHaveRun reports whether the request may have run. If refusals are trusted, an
// explicit refusal means that it has not; otherwise any byte sent counts.
func (a Attempt) mayHaveRun(trustRefusals bool) bool {
	if trustRefusals {
		return a.SentBefore || a.Fault > WrongVersion
	}
	return a.SentBefore || a.Fault != NotSent
}

// Verdict is what to do after a failed try.
type Verdict struct {
	Action Action
	Wait   time.Duration  // time to wait before the action
	Err    *failure.Error // final error, if the Action is GiveUp
	Reason string         // for the log
}

// Config sets a Retrier.
type Config struct {
	Seed     uint64
	MaxTries int // tries of one request, including the first
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// Reserve is how many retries the whole node may make beyond Ratio, so
	// that the first failures after a start are retried.
	Reserve float64
	// Burst bounds the unused retries that a workspace or an upstream keeps.
	Burst float64
	// MaxKeys bounds the number of workspaces and of upstreams with a budget.
	MaxKeys int
	Backoff Backoff
	// TrustRefusals says that the protocol of the upstreams guarantees that a
	// refused request never runs, so that a refusal counts as not sent.
	TrustRefusals bool
	// ChargeContinuations takes the continuation of a broken stream from the
	// budget like any other retry. It is for fleets whose bound on resends
	// has no exception.
	ChargeContinuations bool
}

// Default lets retries add 10% of load.
var Default = Config{
	MaxTries: 4, Ratio: 0.1, Reserve: 4, Burst: 8, MaxKeys: 8192,
	Backoff: Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second},
}

// Backoff is the wait before a retry at the same upstream.
type Backoff struct {
	Base time.Duration // before the first retry
	Max  time.Duration
}

// Wait returns the wait after the given number of tries. It doubles with each try up
// to Max; half of it is jitter derived from the seed and the ID.
func (b Backoff) Wait(seed uint64, id string, tries int) time.Duration {
	d := b.Base << min(max(tries-1, 0), 16)
	return limit.AddJitter(seed, id, min(d, b.Max)/2)
}
