package intake

import (
	"bytes"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/memory"
	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// receivedKey marks requests whose body was received whole.
const receivedKey = "intake.received"

// Reception says how Receive reads a body.
type Reception struct {
	Workspace string // of the request's key
	Limit     int    // bytes
	Copies    int    // how many times the body is held once it is decoded
}

// StreamBodies makes an app read bodies only where its handlers call Receive, and track the stages of its connections.
// No other middleware may be in use before.
func (i *Intake) StreamBodies(app *fiber.App) {
	s := app.Server()
	s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		switch state {
		case fasthttp.StateActive:
			transport.SetStage(c, time.Now(), transport.Receiving)
		case fasthttp.StateIdle:
			transport.SetStage(c, time.Now(), transport.Idle)
		}
	}
	app.Use(i.discardUnread)
}

// Receive reads the body of a request whose key is known, and accounts for it until release is called. The body isn't
// reused after the request. An error is a *failure.Error.
func (i *Intake) Receive(c *fiber.Ctx, now time.Time, r Reception) (body []byte, release func(), err error) {
	conn := c.Context().Conn()
	claim := i.Budget.NewClaim(func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	claim.SetOwner(r.Workspace)
	err = i.Read(claim, now, conn.RemoteAddr(), func() (err error) {
		body, err = receive(c, claim, r)
		return err
	})
	if err == nil && !transport.SetStage(conn, now, transport.Serving) {
		err = failure.ErrCancelled
	}
	if err != nil {
		claim.Release()
		return nil, nil, err
	}
	c.Context().SetUserValue(receivedKey, true)
	return body, claim.Release, nil
}

func receive(c *fiber.Ctx, claim *memory.Claim, r Reception) ([]byte, error) {
	stream, declared := c.Context().RequestBodyStream(), c.Request().Header.ContentLength()
	switch {
	case declared > r.Limit:
		return nil, failure.ErrBodyTooLarge
	case stream == nil:
		return nil, nil
	}
	return ReadBody(stream, memory.Body{
		Declared: max(declared, 0), Limit: r.Limit,
		Hold: func(bytes int64) error { return claim.Resize(int64(r.Copies) * bytes) },
	})
}

// discardUnread reads away the body of a request that was answered without it, before the answer is sent: its rest would
// be taken for the next request. The connection closes if that takes too long.
func (i *Intake) discardUnread(c *fiber.Ctx) error {
	err := c.Next()
	stream := c.Context().RequestBodyStream()
	if stream == nil || c.Context().UserValue(receivedKey) != nil {
		return err
	}
	if !i.Drainer.Stream(c.Context().Conn(), stream) {
		c.Context().SetConnectionClose()
	}
	return err
}

// maxUncountedAnswerBytes is the size of the largest answer that isn't accounted for while it is sent.
const maxUncountedAnswerBytes = 64 << 10

// Send sends an answer that is ready. It is accounted for until the caller has taken it, and cut if others need its
// memory.
func (i *Intake) Send(c *fiber.Ctx, now time.Time, workspace string, body []byte) error {
	if len(body) <= maxUncountedAnswerBytes {
		return c.Send(body)
	}
	conn := c.Context().Conn()
	claim := i.Budget.NewClaim(func() { _ = conn.Close() })
	claim.SetOwner(workspace)
	claim.HoldReady(now, int64(len(body)))
	c.Context().Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), claim: claim}, len(body))
	return nil
}

// heldBody is an answer that is being sent. The library closes it at its end, or once the connection has failed.
type heldBody struct {
	*bytes.Reader
	claim *memory.Claim
}

// Close gives the answer's memory back.
func (b *heldBody) Close() error {
	b.claim.Release()
	return nil
}
