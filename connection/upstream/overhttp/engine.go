// Package overhttp implements the interfaces of package upstream over HTTP/1.1: engines
// with JSON and server-sent events, and plain services with unchanged requests. Each
// method sends exactly one request. The router decides whether to retry.
package overhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp/exchange"
)

// Config configures the calls to one upstream. Zero fields take the defaults.
type Config = exchange.Config

// Engine is an HTTP client of a model engine.
type Engine struct {
	client *exchange.Client
}

var _ upstream.Engine = (*Engine)(nil)

// NewEngine returns a client of the engine at address, an IP:port.
func NewEngine(address string, cfg Config) *Engine {
	return &Engine{client: newClient(address, cfg)}
}

// Close closes the idle connections. Calls in progress are not affected.
func (e *Engine) Close() { e.client.Close() }

// Generate sends g and returns the stream once the engine has sent its head.
func (e *Engine) Generate(ctx context.Context, g upstream.Generation) (upstream.Stream, error) {
	s, err := e.open(ctx, PathGenerate, g, g.StreamID, 0)
	if err != nil {
		return nil, err
	}
	// The weights may have changed since the request was placed. The head states the
	// version, so that no token of other weights is forwarded.
	if g.Version != "" && s.head.Version != g.Version {
		s.Close()
		return nil, fmt.Errorf("engine %s answers with weights %q instead of %q: %w",
			e.client.Address(), s.head.Version, g.Version, upstream.ErrWrongVersion)
	}
	return s, nil
}

// ConfirmStart returns nil: each answer states the engine's incarnation.
func (e *Engine) ConfirmStart(context.Context, time.Time) error { return nil }

// Resume continues a stream that the engine still has, after the event with index
// after.
func (e *Engine) Resume(ctx context.Context, streamID string, after int) (upstream.Stream, error) {
	return e.openStream(ctx, PathResume, ResumeRequest{StreamID: streamID, After: after}, streamID, after+1)
}

func (e *Engine) openStream(ctx context.Context, path string, body any, id string, first int) (upstream.Stream, error) {
	s, err := e.open(ctx, path, body, id, first)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Cancel stops a stream.
func (e *Engine) Cancel(ctx context.Context, streamID string) error {
	return e.call(ctx, fasthttp.MethodPost, PathCancel, CancelRequest{StreamID: streamID}, nil)
}

// Report returns the engine's state.
func (e *Engine) Report(ctx context.Context) (upstream.Report, error) {
	var r upstream.Report
	err := e.call(ctx, fasthttp.MethodGet, PathReport, nil, &r)
	return r, err
}

// Events returns the cache events starting at a sequence number.
func (e *Engine) Events(ctx context.Context, from uint64) (upstream.CacheEvents, error) {
	var events upstream.CacheEvents
	err := e.call(ctx, fasthttp.MethodGet, PathEvents+"?From="+strconv.FormatUint(from, 10), nil, &events)
	return events, err
}

// Order sends the engine an order.
func (e *Engine) Order(ctx context.Context, o upstream.Order) error {
	return e.call(ctx, fasthttp.MethodPost, PathOrder, o, nil)
}

// Export returns the KV cache of a prompt as opaque bytes.
func (e *Engine) Export(ctx context.Context, g upstream.Generation) ([]byte, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("export from %s: %w: %w", e.client.Address(), upstream.ErrNotSent, err)
	}
	return e.send(ctx, fasthttp.MethodPost, PathExport, body)
}

// Import sends the engine a KV cache that Export returned.
func (e *Engine) Import(ctx context.Context, kv []byte) error {
	_, err := e.send(ctx, fasthttp.MethodPost, PathImport, kv)
	return err
}

// call sends in as JSON and decodes the answer into out. If in is nil, it sends no
// body; if out is nil, it ignores the answer's body.
func (e *Engine) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("%s of %s: %w: %w", path, e.client.Address(), upstream.ErrNotSent, err)
		}
	}
	answer, err := e.send(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("answer to %s of %s: %w: %w", path, e.client.Address(), upstream.ErrFailedAfterSend, err)
	}
	return nil
}

func (e *Engine) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	prepareRequest(&req, method, e.client.Address(), path, body)
	if err := e.client.Do(ctx, &req, &resp); err != nil {
		return nil, upstreamError(err)
	}
	if err := responseError(&resp, resp.Body()); err != nil {
		return nil, fmt.Errorf("%s of %s: %w", path, e.client.Address(), err)
	}
	return resp.Body(), nil
}

func prepareRequest(req *fasthttp.Request, method, address, path string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// newClient returns a client that distinguishes the end of an upstream's process from a
// lost connection.
func newClient(address string, cfg Config) *exchange.Client {
	cfg.DetectProcessEnd = true
	return exchange.New(address, cfg)
}

// upstreamError wraps an error of package exchange in the corresponding error of
// package upstream.
func upstreamError(err error) error {
	if errors.Is(err, exchange.ErrNotSent) {
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, err)
}

// responseError returns the error of an answer with an error status, or nil for a
// success. Only an explicit refusal states that the request did not run.
func responseError(resp *fasthttp.Response, body []byte) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		return nil
	}
	var r Refusal
	if len(resp.Header.Peek(HeaderRefusal)) > 0 && json.Unmarshal(body, &r) == nil {
		if err := refusalError(r); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: status %d", upstream.ErrFailedAfterSend, resp.StatusCode())
}

// refusalError returns the error of a refusal, or nil if its code is unknown. Every
// error except ErrUnknownStream wraps ErrRefused, because the request did not run.
func refusalError(r Refusal) error {
	switch r.Code {
	case CodeNotRun:
		return fmt.Errorf("%w: %s", upstream.ErrRefused, r.Message)
	case CodeBusy:
		return fmt.Errorf("%w: %w: %s", upstream.ErrBusy, upstream.ErrRefused, r.Message)
	case CodeWrongVersion:
		return fmt.Errorf("%w: %w: %s", upstream.ErrWrongVersion, upstream.ErrRefused, r.Message)
	case CodeUnknownStream:
		return fmt.Errorf("%w: %s", upstream.ErrUnknownStream, r.Message)
	case CodeStaleFencing:
		return fmt.Errorf("%w: %w: %s", upstream.ErrStaleFencing, upstream.ErrRefused, r.Message)
	default:
		return nil
	}
}
