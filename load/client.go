// Package load sends requests to nodes as callers do. The requests are shaped like
// the two users' workloads. The package checks that each caller gets the complete
// answer to its own request, and sums up the outcomes.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Errors of one request.
var (
	// ErrIncompleteAnswer means that an answer ended without its end mark and
	// without an error event.
	ErrIncompleteAnswer = errors.New("load: incomplete answer")
	// ErrWrongAnswer means that an answer doesn't belong to the request, or is
	// malformed.
	ErrWrongAnswer = errors.New("load: wrong answer")
	// ErrConnection means that the connection failed.
	ErrConnection = errors.New("load: connection failed")
)

// Refusal is the router's typed error as a caller receives it.
type Refusal struct {
	Status     int
	Code       string
	Ran        string
	Message    string
	RetryAfter time.Duration
}

// Error returns the status, the code, whether the request ran, and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Status, r.Code, r.Ran, r.Message)
}

// Message is one message of a chat prompt or answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is a request for a chat completion.
type Chat struct {
	WorkspaceKey string // authenticates the workspace
	Model        string
	Messages     []Message
	MaxTokens    int
	Urgency      int
	Timeout      time.Duration // 0: no timeout
}

// Answer is the answer to a Chat.
type Answer struct {
	Text         string
	Tokens       int
	FirstToken   time.Duration
	PromptTokens int
	CachedTokens int
}

// Client sends requests like callers behind a load balancer, which distributes them
// over the nodes in turn.
type Client struct {
	http         *http.Client
	nodes        []string // base URLs
	requestCount atomic.Uint64
}

// NewClient returns a client of the nodes at these IP:port addresses.
func NewClient(addresses []string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections * len(addresses)}
	c := &Client{http: &http.Client{Transport: t}}
	for _, a := range addresses {
		c.nodes = append(c.nodes, "http://"+a)
	}
	return c
}

// maxIdleConnections bounds the idle connections that are kept to one node.
const maxIdleConnections = 256

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// nextNode returns the base URL of the next node in turn.
func (c *Client) nextNode() string {
	return c.nodes[int(c.requestCount.Add(1))%len(c.nodes)]
}

type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Stream sends a chat to the next node and reads the streamed answer to its end.
func (c *Client) Stream(ctx context.Context, r Chat) (Answer, error) {
	body, err := json.Marshal(chatBody{Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true})
	if err != nil {
		return Answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.nextNode()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+r.WorkspaceKey)
	req.Header.Set("Priority", "u="+strconv.Itoa(r.Urgency))
	if r.Timeout > 0 {
		req.Header.Set("Request-Timeout", strconv.FormatFloat(r.Timeout.Seconds(), 'f', 3, 64))
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrConnection, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Answer{}, readRefusal(resp)
	}
	var a Answer
	err = a.readEvents(resp.Body, start)
	return a, err
}

type errorBody struct {
	Error struct {
		Message    string  `json:"message"`
		Code       string  `json:"code"`
		Ran        string  `json:"ran"`
		RetryAfter float64 `json:"retry_after"`
	} `json:"error"`
}

func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnection, err)
	}
	return parseRefusal(resp.StatusCode, data)
}

func parseRefusal(status int, data []byte) error {
	var b errorBody
	if err := json.Unmarshal(data, &b); err != nil || b.Error.Code == "" {
		return fmt.Errorf("%w: error without a code: %d %.100q", ErrWrongAnswer, status, data)
	}
	return &Refusal{
		Status:     status,
		Code:       b.Error.Code,
		Ran:        b.Error.Ran,
		Message:    b.Error.Message,
		RetryAfter: time.Duration(b.Error.RetryAfter * float64(time.Second)),
	}
}

type chunk struct {
	Choices []struct {
		Delta        Message `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// doneMark is the data of the last event of a complete stream.
const doneMark = "[DONE]"

// readEvents reads server-sent events up to the end mark. start is the time at which
// the request was sent.
func (a *Answer) readEvents(r io.Reader, start time.Time) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	finished := false
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case event == "error":
			return parseRefusal(http.StatusOK, []byte(data))
		case data == doneMark && finished:
			a.Text = text.String()
			return nil
		}
		end, err := a.addEvent(data, &text, start)
		if err != nil {
			return err
		}
		finished = finished || end
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	return ErrIncompleteAnswer
}

// maxEventBytes bounds one line of a server-sent event.
const maxEventBytes = 1 << 20

// addEvent adds the token of one event, and reports whether it is the last one.
func (a *Answer) addEvent(data string, text *strings.Builder, start time.Time) (end bool, err error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
		return false, fmt.Errorf("%w: event %.100q", ErrWrongAnswer, data)
	}
	if a.Tokens == 0 {
		a.FirstToken = time.Since(start)
	}
	a.Tokens++
	text.WriteString(c.Choices[0].Delta.Content)
	if c.Usage != nil {
		a.PromptTokens = c.Usage.PromptTokens
		a.CachedTokens = c.Usage.Details.CachedTokens
	}
	return c.Choices[0].FinishReason != nil, nil
}

// Call is one call to a plain service.
type Call struct {
	WorkspaceKey   string // authenticates the workspace
	Service        string
	Path           string
	Body           []byte
	IdempotencyKey string // empty: the call is repeatable
}

// Do sends a call to the next node and returns the body of the answer.
func (c *Client) Do(ctx context.Context, r Call) ([]byte, error) {
	url := c.nextNode() + "/services/" + r.Service + r.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.WorkspaceKey)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", `"`+r.IdempotencyKey+`"`)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnection, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	return data, nil
}
