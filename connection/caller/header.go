package caller

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
)

// Header fields of the callers' API.
const (
	// HeaderIdempotencyKey follows draft-ietf-httpapi-idempotency-key-header.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKeyTime is the time at which the idempotency key was created, in RFC 3339
	// format. It is needed only for keys that are not UUIDs of version 7.
	HeaderKeyTime = "Dunlinmill-Key-Time"
	// HeaderRepeatable is a structured boolean. "?0" marks a request that must run at
	// most once.
	HeaderRepeatable = "Dunlinmill-Repeatable"
	// HeaderPriority is the field of RFC 9218, of which only the urgency is read.
	HeaderPriority = "Priority"
	// HeaderTimeout is the time limit for the complete answer, in seconds, following
	// draft-thomson-hybi-http-timeout.
	HeaderTimeout = "Request-Timeout"
	// HeaderRequestID identifies a request in the answer and in the log.
	HeaderRequestID = "X-Request-Id"
	// HeaderRan states in an error answer whether the request ran.
	HeaderRan = "Dunlinmill-Ran"
	// HeaderUpstream is the name of the upstream that answered.
	HeaderUpstream = "Dunlinmill-Upstream"
	// HeaderCachedTokens is the number of prompt tokens that were in the upstream's
	// cache.
	HeaderCachedTokens = "Dunlinmill-Cached-Tokens"
)

// defaultUrgency is the default of RFC 9218.
const defaultUrgency = 3

// maxRequestTimeout limits the deadline of a request. Longer ones are reduced to it.
const maxRequestTimeout = 24 * time.Hour

// repeatability states whether a caller allows its request to run more than once.
type repeatability uint8

const (
	repeatUnspecified repeatability = iota
	repeatable
	atMostOnce
)

// requestOptions holds the options from the header that apply to every kind of request.
type requestOptions struct {
	id        string
	workspace string
	priority  int
	deadline  time.Time
	repeat    repeatability
	key       idempotency.Key
}

// readOptions reads the options from the header. It copies every string, because fiber
// reuses the memory for the next request on the connection.
func (l *Listener) readOptions(c *fiber.Ctx, now time.Time) (requestOptions, error) {
	t := requestOptions{id: uuid.NewString()}
	c.Set(HeaderRequestID, t.id)
	var err error
	if t.workspace, err = l.workspace(c); err != nil {
		return t, err
	}
	if t.priority, err = parseUrgency(c.Get(HeaderPriority)); err != nil {
		return t, err
	}
	if t.deadline, err = parseDeadline(c.Get(HeaderTimeout), now); err != nil {
		return t, err
	}
	return t.withIdempotencyKey(c)
}

// unconfiguredRetryAfter is the Retry-After of a node that has just started and has no
// configuration yet.
const unconfiguredRetryAfter = time.Second

// workspace returns the workspace of the request's API key. A node without a
// configuration knows no keys. It must not answer that the key is wrong, because the
// caller would not retry.
func (l *Listener) workspace(c *fiber.Ctx) (string, error) {
	w, ok := l.directory.Workspace(bearerToken(c))
	switch {
	case ok:
		return w, nil
	case !l.directory.Configured():
		return "", failure.ErrPlatformUnavailable.WithMessage("this node has no configuration yet").
			WithRetryAfter(unconfiguredRetryAfter)
	}
	return "", failure.ErrUnauthenticated
}

func bearerToken(c *fiber.Ctx) string {
	scheme, secret, ok := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.Clone(strings.TrimSpace(secret))
}

func parseUrgency(value string) (int, error) {
	for _, part := range strings.Split(value, ",") {
		name, v, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name != "u" {
			continue
		}
		u, err := strconv.Atoi(v)
		if err != nil || u < 0 || u > 7 {
			return 0, failure.ErrMalformedRequest.WithMessage("%s: u has to be from 0 to 7", HeaderPriority)
		}
		return u, nil
	}
	return defaultUrgency, nil
}

func parseDeadline(value string, now time.Time) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || s <= 0 || math.IsNaN(s) {
		return time.Time{}, failure.ErrMalformedRequest.WithMessage("%s: has to be a positive number of seconds", HeaderTimeout)
	}
	s = min(s, maxRequestTimeout.Seconds())
	return now.Add(time.Duration(s * float64(time.Second))), nil
}

func (t requestOptions) withIdempotencyKey(c *fiber.Ctx) (requestOptions, error) {
	t.key.Value = strings.Clone(strings.Trim(c.Get(HeaderIdempotencyKey), `"`))
	switch c.Get(HeaderRepeatable) {
	case "":
		if t.key.IsSet() {
			t.repeat = atMostOnce
		}
	case "?0":
		t.repeat = atMostOnce
	case "?1":
		t.repeat = repeatable
		t.key = idempotency.Key{}
	default:
		return t, failure.ErrMalformedRequest.WithMessage("%s: has to be ?0 or ?1", HeaderRepeatable)
	}
	if t.repeat == atMostOnce && !t.key.IsSet() {
		return t, failure.ErrKeyRequired
	}
	return t.withKeyTime(c.Get(HeaderKeyTime))
}

func (t requestOptions) withKeyTime(value string) (requestOptions, error) {
	if value == "" || !t.key.IsSet() {
		return t, nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return t, failure.ErrKeyInvalid.WithMessage("%s: has to be a time after RFC 3339", HeaderKeyTime)
	}
	t.key.CreatedAt = at
	return t, nil
}
