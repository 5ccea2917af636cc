// Package refusal converts errors to the error answers that the listeners share. It
// maps errors of the HTTP library to typed failures and sets Retry-After.
package refusal

import (
	"errors"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// FromError returns the failure in err. The HTTP library reports its own errors before
// a handler runs, so that nothing was sent to an upstream.
func FromError(err error) *failure.Error {
	var fe *fiber.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.ErrBodyTooLarge
	case !errors.As(err, &fe):
		return failure.FromError(err)
	case fe.Code == fiber.StatusRequestEntityTooLarge:
		return failure.ErrBodyTooLarge
	case fe.Code == fiber.StatusRequestHeaderFieldsTooLarge:
		return failure.ErrHeaderTooLarge
	case fe.Code == fiber.StatusNotFound || fe.Code == fiber.StatusMethodNotAllowed:
		return failure.ErrNotFound
	}
	return failure.ErrMalformedRequest.WithCause(err)
}

// DrainOversized reads and discards the rest of a header that is refused as too large.
// If the connection were closed with unread data, it would be reset and the caller
// would not receive the answer.
func DrainOversized(c *fiber.Ctx, e *failure.Error, d *transport.Drainer) {
	if e.Code == failure.HeaderTooLarge {
		d.Header(c.Context().Conn())
	}
}

// Write answers with body and the status of the failure. If the caller should retry, it
// sets Retry-After in whole seconds, rounded up, because a retry before that time is
// refused again.
func Write(c *fiber.Ctx, e *failure.Error, body any) error {
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return c.Status(e.Status).JSON(body)
}
