package caller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/call"
)

// unforwardedHeaders lists the header fields that belong to one connection or to the
// router itself. All other fields are forwarded to the service and back.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Authorization",
	HeaderIdempotencyKey, HeaderRepeatable, HeaderKeyTime,
}

func isForwarded(name string) bool {
	return !slices.ContainsFunc(unforwardedHeaders, func(n string) bool { return strings.EqualFold(n, name) })
}

// service forwards a call to a plain service.
func (l *Listener) service(c *fiber.Ctx) error {
	now := time.Now()
	t, err := l.readOptions(c, now)
	if err != nil {
		return err
	}
	body, release, err := l.receive(c, now, t.workspace, 1)
	if err != nil {
		return err
	}
	defer release()
	r := callRequest(c, t, body)
	if err := l.beginRequest(now, r.ID, r.Workspace); err != nil {
		return err
	}
	ctx, unbind := l.stop.BoundContext(context.Background())
	defer unbind()
	reply, err := l.calls.Do(ctx, r)
	if err != nil {
		l.recordRefusal(r.ID, r.Workspace, err, zap.String("Service", r.Service))
		return err
	}
	l.recordEnd(r.Workspace, nil)
	for _, f := range reply.Header {
		if isForwarded(f.Name) {
			c.Set(f.Name, f.Value)
		}
	}
	return l.intake.Send(c.Status(reply.Status), time.Now(), r.Workspace, reply.Body)
}

// callRequest copies every string and slice that it keeps, because fiber reuses their
// memory.
func callRequest(c *fiber.Ctx, t requestOptions, body []byte) call.Request {
	var header []upstream.Field
	for name, value := range c.Request().Header.All() {
		if isForwarded(string(name)) {
			header = append(header, upstream.Field{Name: string(name), Value: string(value)})
		}
	}
	return call.Request{
		ID:         t.id,
		Workspace:  t.workspace,
		Service:    strings.Clone(c.Params("name")),
		Method:     strings.Clone(c.Method()),
		Path:       "/" + strings.Clone(c.Params("*")),
		Query:      string(c.Request().URI().QueryString()),
		Header:     header,
		Body:       body,
		Priority:   t.priority,
		Deadline:   t.deadline,
		Repeatable: t.repeat == repeatable,
		Key:        t.key,
	}
}
