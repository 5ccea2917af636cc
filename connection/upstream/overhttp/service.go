package overhttp

import (
	"context"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp/exchange"
)

// Service is an HTTP client of a plain service.
type Service struct {
	client *exchange.Client
}

var _ upstream.Service = (*Service)(nil)

// NewService returns a client of the plain service at address, an IP:port.
func NewService(address string, cfg Config) *Service {
	return &Service{client: newClient(address, cfg)}
}

// Close closes the idle connections. Calls in progress are not affected.
func (s *Service) Close() { s.client.Close() }

// Do sends c once. Every complete answer of the service is returned as a Reply,
// including one with an error status. Only a refusal, marked by HeaderRefusal, is an
// error.
func (s *Service) Do(ctx context.Context, c upstream.Call) (upstream.Reply, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	prepareCall(&req, s.client.Address(), c)
	if err := s.client.Do(ctx, &req, &resp); err != nil {
		return upstream.Reply{}, upstreamError(err)
	}
	if len(resp.Header.Peek(HeaderRefusal)) > 0 && resp.StatusCode() != fasthttp.StatusOK {
		return upstream.Reply{}, fmt.Errorf("service %s: %w", s.client.Address(), responseError(&resp, resp.Body()))
	}
	return copyReply(&resp), nil
}

func prepareCall(req *fasthttp.Request, address string, c upstream.Call) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(c.Method)
	uri := "http://" + address + c.Path
	if c.Query != "" {
		uri += "?" + c.Query
	}
	req.SetRequestURI(uri)
	req.URI().DisablePathNormalizing = true
	for _, f := range c.Header {
		if !hopByHop(f.Name) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	if c.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, c.Key)
	}
	req.SetBodyRaw(c.Body)
}

// copyReply returns a copy of a response, because the memory of the response is reused.
func copyReply(resp *fasthttp.Response) upstream.Reply {
	r := upstream.Reply{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for name, value := range resp.Header.All() {
		if n := string(name); !hopByHop(n) {
			r.Header = append(r.Header, upstream.Field{Name: n, Value: string(value)})
		}
	}
	return r
}

// hopByHop reports whether a header field belongs to one connection or is set by the
// sender of the message.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	default:
		return false
	}
}
