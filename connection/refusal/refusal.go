// Package refusal turns errors into the answers that the listeners share: the
// HTTP library's own errors get the typed form, and each answer says when to
// come back.
package refusal

import (
	"errors"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Of gives the failure inside err. The library's own errors all come before a
// handler ran, so nothing was sent.
func Of(err error) *failure.Error {
	var fe *fiber.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.ErrBodyTooLarge
	case !errors.As(err, &fe):
		return failure.From(err)
	case fe.Code == fiber.StatusRequestEntityTooLarge:
		return failure.ErrBodyTooLarge
	case fe.Code == fiber.StatusRequestHeaderFieldsTooLarge:
		return failure.ErrHeaderTooLarge
	case fe.Code == fiber.StatusNotFound || fe.Code == fiber.StatusMethodNotAllowed:
		return failure.ErrNotFound
	}
	return failure.ErrMalformedRequest.WithCause(err)
}

// Write answers with body, the failure's status and, where coming back helps,
// a Retry-After in whole seconds, rounded up: who comes back early is refused
// again.
func Write(c *fiber.Ctx, e *failure.Error, body any) error {
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return c.Status(e.Status).JSON(body)
}
