package overhttp

import (
	"context"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp/exchange"
)

// Service is the adapter of a plain service.
type Service struct {
	client *exchange.Client
}

var _ upstream.Service = (*Service)(nil)

// NewService makes the adapter of the plain service at address, an IP:port.
func NewService(address string, cfg Config) *Service {
	return &Service{client: newClient(address, cfg)}
}

// Close closes the connections at rest; calls under way run to their end.
func (s *Service) Close() { s.client.Close() }

// Do sends c once. Every whole answer of the service is a Reply, also one
// with an error status; a marked refusal is an error.
func (s *Service) Do(ctx context.Context, c upstream.Call) (upstream.Reply, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	prepareCall(&req, s.client.Address(), c)
	if err := s.client.Whole(ctx, &req, &resp); err != nil {
		return upstream.Reply{}, mapped(err)
	}
	if len(resp.Header.Peek(HeaderRefusal)) > 0 && resp.StatusCode() != fasthttp.StatusOK {
		return upstream.Reply{}, fmt.Errorf("service %s: %w", s.client.Address(), refusal(&resp, resp.Body()))
	}
	return reply(&resp), nil
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
		req.Header.Set(HeaderKey, c.Key)
	}
	req.SetBodyRaw(c.Body)
}

// reply copies what it gives, for the response's memory is reused.
func reply(resp *fasthttp.Response) upstream.Reply {
	r := upstream.Reply{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for name, value := range resp.Header.All() {
		if n := string(name); !hopByHop(n) {
			r.Header = append(r.Header, upstream.Field{Name: n, Value: string(value)})
		}
	}
	return r
}

// hopByHop says whether a header field belongs to one connection, or is set
// by the one who writes the message.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	default:
		return false
	}
}
