package intake

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/refusal"
	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// testLimit is the limit of a body in these tests.
const testLimit = 256 << 10

// serveApp serves an app that echoes how many bytes it has received at /echo, and answers at /refuse without reading.
func serveApp(t *testing.T, in *Intake) string {
	t.Helper()
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: testLimit, ErrorHandler: func(c *fiber.Ctx, err error) error {
		return c.Status(refusal.FromError(err).Status).SendString("refused")
	}})
	in.StreamBodies(app)
	app.Post("/echo", func(c *fiber.Ctx) error {
		body, release, err := in.Receive(c, time.Now(), Reception{Workspace: "a", Limit: testLimit, Copies: 1})
		if err != nil {
			return err
		}
		defer release()
		return c.SendString(fmt.Sprint(len(body)))
	})
	app.Post("/refuse", func(c *fiber.Ctx) error { return failure.ErrUnauthenticated })
	ln, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(in.Listener(ln)) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return ln.Addr().String()
}

// exchange sends a request with the given framing and body, and returns the answer.
func exchange(t *testing.T, c net.Conn, br *bufio.Reader, path, fields, body string) (status int, text string, closes bool) {
	t.Helper()
	if _, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\n"+fields+"\r\n"+body); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Close
}

func chunked(body string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// Guards against the rest of a body that wasn't read and is taken for the next request of the connection.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	const next = "POST /echo HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
	long := strings.Repeat(next, 2000)
	at := serveApp(t, New(Unlimited(), zap.NewNop()))
	cases := []struct {
		name, path, fields, body string
		status                   int
	}{
		{"short, refused", "/refuse", fmt.Sprintf("Content-Length: %d\r\n", len(next)), next, 401},
		{"long, refused", "/refuse", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, 401},
		{"in chunks, refused", "/refuse", "Transfer-Encoding: chunked\r\n", chunked(long), 401},
		{"no such path", "/nowhere", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, 404},
		{"too long", "/echo", fmt.Sprintf("Content-Length: %d\r\n", 4*len(long)), strings.Repeat(long, 4), 413},
		{"too long, in chunks", "/echo", "Transfer-Encoding: chunked\r\n", chunked(strings.Repeat(long, 4)), 413},
		{"received", "/echo", "Transfer-Encoding: chunked\r\n", chunked(long), 200},
	}
	for _, tt := range cases {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(c)
		status, _, closes := exchange(t, c, br, tt.path, tt.fields, tt.body)
		if status != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, status, tt.status)
		}
		if !closes {
			if status, text, _ := exchange(t, c, br, "/echo", "Content-Length: 5\r\n", "12345"); status != 200 || text != "5" {
				t.Errorf("%s: the next request got %d %q", tt.name, status, text)
			}
		}
		_ = c.Close()
	}
}

// Guards against a compressed body that takes far more memory than was received.
func TestCompressedBodyIsNotExpanded(t *testing.T) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write(make([]byte, 64<<20))
	_ = z.Close()
	at := serveApp(t, New(Unlimited(), zap.NewNop()))
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fields := fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n", b.Len())
	if status, text, _ := exchange(t, c, bufio.NewReader(c), "/echo", fields, b.String()); status != 200 || text != fmt.Sprint(b.Len()) {
		t.Errorf("%d %s, sent %d", status, text, b.Len())
	}
}

// Guards against memory that a request of the product's own listeners keeps after its end.
func TestReceivedMemoryIsReleased(t *testing.T) {
	in := New(Limits{Budget: 1 << 20, Callers: 10, Probes: 1, Operators: 1, Handshakes: 1}, zap.NewNop())
	at := serveApp(t, in)
	for range 20 {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		if status, text, _ := exchange(t, c, bufio.NewReader(c), "/echo", fmt.Sprintf("Content-Length: %d\r\n", testLimit), strings.Repeat("x", testLimit)); status != 200 {
			t.Fatalf("%d %s", status, text)
		}
		_ = c.Close()
	}
	if s := in.Budget.Stats(); s.Held != 0 || s.Refused+s.Revoked != 0 {
		t.Errorf("%+v", s)
	}
}
