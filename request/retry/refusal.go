package retry

import (
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
)

// SurelyNotRun reports whether an error proves that no byte of a request was acted on.
func SurelyNotRun(err error) bool { return Classify(err, 0) <= WrongVersion }

// Pause waits before another send, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) error {
	if !clock.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// defaultRetryAfter is the RetryAfter of refusals without a better estimate.
const defaultRetryAfter = time.Second

// Refusal returns the final error of a request that is given up for another reason
// than a failed send. The error says NotRun only if no byte of the request can have
// reached an upstream.
func Refusal(id string, mayHaveRun bool, e *failure.Error, cause error) *failure.Error {
	ran := failure.NotRun
	if mayHaveRun {
		ran = failure.Unknown
	}
	return e.WithRan(ran).WithRetryAfter(limit.AddJitter(0, id, defaultRetryAfter)).WithCause(cause)
}

// QuarantineRefusal returns the final error of a request that crashes upstreams. It has
// no RetryAfter, as another try would crash more of them.
func QuarantineRefusal(id string, mayHaveRun bool, cause error) *failure.Error {
	return Refusal(id, mayHaveRun, failure.ErrQuarantined, cause).WithRetryAfter(0)
}

// NoUpstreamRefusal returns the final error of a request for which no upstream is left.
// holdOff is the time until the first upstream in a hold-off accepts requests again; 0 if
// none is in one. RetryAfter is then spread over as long again: if all callers came back at
// once, the upstreams would refuse them again.
func NoUpstreamRefusal(id string, mayHaveRun bool, holdOff time.Duration, cause error) *failure.Error {
	if holdOff == 0 {
		return Refusal(id, mayHaveRun, failure.ErrNoUpstream, cause)
	}
	return Refusal(id, mayHaveRun, failure.ErrOverloaded, cause).WithRetryAfter(limit.AddJitter(0, id, holdOff))
}
