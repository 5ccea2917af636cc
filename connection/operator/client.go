package operator

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// maxAnswerBytes limits the size of an answer that the client reads.
const maxAnswerBytes = 64 << 20

// ErrUnreachable means that the node did not answer. The call may have taken effect
// nevertheless.
var ErrUnreachable = errors.New("operator: no answer")

// Client calls the operator listener of one node.
type Client struct {
	base    string // such as http://127.0.0.1:8081
	token   string
	timeout time.Duration
	http    *fasthttp.Client
}

// NewClient returns a client for the node at base, an http or https URL. The timeout
// applies to each call; tlsConfig may be nil.
func NewClient(base, token string, timeout time.Duration, tlsConfig *tls.Config) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("operator: %q is not a server: http:// or https:// with IP:port", base)
	}
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		token:   token,
		timeout: timeout,
		http: &fasthttp.Client{
			TLSConfig:           tlsConfig,
			MaxResponseBodySize: maxAnswerBytes,
			// The client never retries, because the operator decides whether to repeat
			// a call.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Propose submits an intent and returns the plan for it.
func (c *Client) Propose(intent record.Intent) (Plan, error) {
	var p Plan
	err := c.call(fasthttp.MethodPost, "/intents", intent, &p)
	return p, err
}

// Plans returns all plans that the node keeps.
func (c *Client) Plans() ([]Plan, error) {
	var p Plans
	err := c.call(fasthttp.MethodGet, "/plans", nil, &p)
	return p.Plans, err
}

// Plan returns one plan with its story.
func (c *Client) Plan(id string) (Plan, error) {
	var p Plan
	err := c.call(fasthttp.MethodGet, "/plans/"+url.PathEscape(id), nil, &p)
	return p, err
}

// Confirm confirms a plan that was made from the state at offset base.
func (c *Client) Confirm(id string, base platform.Offset) (Plan, error) {
	var p Plan
	err := c.call(fasthttp.MethodPost, "/plans/"+url.PathEscape(id)+"/confirm", Confirmation{Base: base}, &p)
	return p, err
}

// Status returns the node's status.
func (c *Client) Status() (Status, error) {
	var s Status
	err := c.call(fasthttp.MethodGet, "/status", nil, &s)
	return s, err
}

func (c *Client) call(method, path string, body, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+c.token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("operator: %s %s: %w", method, path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBody(data)
	}
	if err := c.http.DoTimeout(req, resp, c.timeout); err != nil {
		return fmt.Errorf("%s %s%s: %w: %w", method, c.base, path, ErrUnreachable, err)
	}
	return decodeResponse(resp, into)
}

func decodeResponse(resp *fasthttp.Response, into any) error {
	if resp.StatusCode() < fasthttp.StatusMultipleChoices {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return fmt.Errorf("operator: answer not understood: %w", err)
		}
		return nil
	}
	f := &Failure{}
	if err := json.Unmarshal(resp.Body(), f); err != nil || f.Code == "" {
		return fmt.Errorf("operator: status %d: %q", resp.StatusCode(), bytes.TrimSpace(resp.Body()))
	}
	return f
}
