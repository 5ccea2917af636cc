// Package failure defines the typed errors that callers of the router receive.
// Each error states in a stable code what went wrong, whether the request ran,
// and when to retry, so that a caller can decide about a retry without parsing
// the message.
package failure

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool stringer -type=Code,Ran -output=failure_string.go

// Ran says whether a failed request ran on an upstream.
type Ran uint8

const (
	// NotRun means that no byte of the request has reached an upstream and
	// that none will later, from this node or any other.
	NotRun Ran = iota
	// Completed means that the request ran to its end on an upstream.
	Completed
	// Unknown means that the request may have run.
	Unknown
)

// Text returns the value of Ran that callers see: "NotRun", "Ran" or "Unknown".
func (r Ran) Text() string {
	if r == Completed {
		return "Ran"
	}
	return r.String()
}

// Code is the stable name of a failure. New codes are only appended.
type Code uint8

// The Err value of each code holds its HTTP status and the message for the caller;
// docs/CALLERS.md says what a caller should do about it.
const (
	Internal Code = iota
	MalformedRequest
	BodyTooLarge
	HeaderTooLarge
	Unauthenticated
	UnknownModel
	UnknownService
	UnknownWorkspace
	NotFound
	RateLimited
	Overloaded
	DeadlineExceeded
	NoUpstream
	UpstreamFailed
	StreamCut
	WeightsChanged
	KeyRequired
	KeyInvalid
	KeyExpired
	KeyReused
	KeyInProgress
	AlreadyRan
	JournalUnavailable
	ShuttingDown
	UnknownPlan
	PlanOvertaken
	PlanRefused
	MalformedIntent
	PlatformUnavailable
	Cancelled
	OutcomeUnknown
	Quarantined
	NotResumable
)

// Error is an immutable failure value. The With methods return changed
// copies; errors.Is compares errors by Code.
type Error struct {
	Code       Code
	Ran        Ran
	Status     int           // HTTP status code
	Message    string        // one sentence for the caller
	RetryAfter time.Duration // 0: a retry does not help
	Cause      error         // for the log, never sent to the caller
}

// Sentinel errors, one for each code.
var (
	ErrInternal            = newError(Internal, http.StatusInternalServerError, "the router failed; the log has the cause")
	ErrMalformedRequest    = newError(MalformedRequest, http.StatusBadRequest, "the request could not be read")
	ErrBodyTooLarge        = newError(BodyTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than this router accepts")
	ErrHeaderTooLarge      = newError(HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the headers are larger than this router accepts")
	ErrUnauthenticated     = newError(Unauthenticated, http.StatusUnauthorized, "the key is missing or not known")
	ErrUnknownModel        = newError(UnknownModel, http.StatusNotFound, "no such model")
	ErrUnknownService      = newError(UnknownService, http.StatusNotFound, "no such service")
	ErrUnknownWorkspace    = newError(UnknownWorkspace, http.StatusNotFound, "no such workspace")
	ErrNotFound            = newError(NotFound, http.StatusNotFound, "no such path")
	ErrRateLimited         = newError(RateLimited, http.StatusTooManyRequests, "the workspace is over its rate")
	ErrOverloaded          = newError(Overloaded, http.StatusServiceUnavailable, "no capacity is free for this request")
	ErrDeadlineExceeded    = newError(DeadlineExceeded, http.StatusGatewayTimeout, "the deadline can't be met")
	ErrNoUpstream          = newError(NoUpstream, http.StatusServiceUnavailable, "no upstream can serve this request now")
	ErrUpstreamFailed      = newError(UpstreamFailed, http.StatusBadGateway, "the upstream failed")
	ErrStreamCut           = newError(StreamCut, http.StatusBadGateway, "the answer was cut and could not be continued")
	ErrWeightsChanged      = newError(WeightsChanged, http.StatusServiceUnavailable, "the upstream serves other weights")
	ErrKeyRequired         = newError(KeyRequired, http.StatusBadRequest, "a not-repeatable request needs an Idempotency-Key")
	ErrKeyInvalid          = newError(KeyInvalid, http.StatusBadRequest, "the Idempotency-Key is not valid")
	ErrKeyExpired          = newError(KeyExpired, http.StatusConflict, "the Idempotency-Key is older than the journal keeps").WithRan(Unknown)
	ErrKeyReused           = newError(KeyReused, http.StatusUnprocessableEntity, "the Idempotency-Key was used with another request")
	ErrKeyInProgress       = newError(KeyInProgress, http.StatusConflict, "a request with this Idempotency-Key is in progress").WithRan(Unknown)
	ErrAlreadyRan          = newError(AlreadyRan, http.StatusConflict, "a request with this Idempotency-Key has run; its answer is no longer held").WithRan(Completed)
	ErrJournalUnavailable  = newError(JournalUnavailable, http.StatusServiceUnavailable, "not-repeatable requests can't be recorded now")
	ErrShuttingDown        = newError(ShuttingDown, http.StatusServiceUnavailable, "this node is leaving")
	ErrUnknownPlan         = newError(UnknownPlan, http.StatusNotFound, "no such plan")
	ErrPlanOvertaken       = newError(PlanOvertaken, http.StatusConflict, "the plan was overtaken by another change")
	ErrPlanRefused         = newError(PlanRefused, http.StatusConflict, "the plan can't be carried out")
	ErrMalformedIntent     = newError(MalformedIntent, http.StatusBadRequest, "the intent could not be read")
	ErrPlatformUnavailable = newError(PlatformUnavailable, http.StatusServiceUnavailable, "the platform's log can't be reached")
	ErrCancelled           = newError(Cancelled, 499, "the caller went away")
	ErrQuarantined         = newError(Quarantined, http.StatusServiceUnavailable, "upstreams have ended under this request; it is not sent any more")
	ErrNotResumable        = newError(NotResumable, http.StatusServiceUnavailable, "the stream can't be resumed; begin the request anew")
	ErrOutcomeUnknown      = newError(OutcomeUnknown, http.StatusConflict, "a request with this Idempotency-Key was begun; whether it ran is not known").WithRan(Unknown)
)

func newError(c Code, status int, message string) *Error {
	return &Error{Code: c, Status: status, Message: message}
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is compares errors by Code, so that errors.Is(err, ErrOverloaded) holds for every
// copy made by the With methods.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// WithRan returns a copy that says whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy that says when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithMessage returns a copy with another message for the caller.
func (e *Error) WithMessage(format string, args ...any) *Error {
	c := *e
	c.Message = fmt.Sprintf(format, args...)
	return &c
}

// WithCause returns a copy that wraps err for the log.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// FromContext returns the failure of a request whose ctx has ended: the Error that
// is the context's cause, ErrDeadlineExceeded if its deadline passed, or
// ErrCancelled if its caller went away.
func FromContext(ctx context.Context) *Error {
	var e *Error
	switch {
	case errors.As(context.Cause(ctx), &e):
		return e
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrDeadlineExceeded
	}
	return ErrCancelled
}

// FromError returns the Error that err wraps, or ErrInternal with err as its cause,
// for which it is not known whether the request ran.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return ErrInternal.WithRan(Unknown).WithCause(err)
}
