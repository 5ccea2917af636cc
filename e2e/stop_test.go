package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// post sends a chat for so many tokens to a node and gives the status and the whole body of the
// answer; the error is of an answer that is not whole.
func (s *site) post(node, tokens int, stream bool) (status int, body string, err error) {
	text := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"question"}]}`, model, tokens, stream)
	r, err := http.NewRequest(http.MethodPost, s.url(s.nodes[node].callers)+"/v1/chat/completions", bytes.NewBufferString(text))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+keyOf(alpha))
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all), err
}

// slow has one node whose answers of 10 tokens outlast the notice of its stop.
var slow = layout{
	engines:     small.engines,
	engineFlags: []string{"--slots", "64", "--prefill-rate", "200000", "--cache-tokens", "200000", "--decode", "300ms"},
	nodes:       1,
}

// begin sends a chat to the first node and returns once its answer is under way; its end
// comes on the channel.
func (s *site) begin() <-chan error {
	s.t.Helper()
	before := s.engineCounters(0).SentTokens
	answers := make(chan error, 1)
	go func() { answers <- s.askOnce(s.t.Context(), 0, chatOf(alpha, 1)) }()
	await(s.t, "the request runs", func() error {
		if s.engineCounters(0).SentTokens == before {
			return errors.New("no token sent")
		}
		return nil
	})
	return answers
}

// Guards against requests that a node of the product has read and, as it stops, ends
// without an answer.
func TestStoppedNodeAnswersWhatItHasRead(t *testing.T) {
	t.Parallel()
	l := small
	// Answers of 1,000 tokens take longer than the test waits for anything.
	l.engineFlags = []string{"--slots", "64", "--prefill-rate", "200000", "--cache-tokens", "200000", "--decode", "1s"}
	l.grace = "1s"
	s := newSite(t, l)
	type answer struct {
		stream bool
		status int
		body   string
		err    error
	}
	answers := make(chan answer, 2)
	for _, stream := range []bool{false, true} {
		go func() {
			status, body, err := s.post(0, 1000, stream)
			answers <- answer{stream, status, body, err}
		}()
	}
	await(t, "both requests run", func() error {
		if n := s.engineCounters(0).SentTokens; n < 2 {
			return fmt.Errorf("%d tokens sent", n)
		}
		return nil
	})
	s.nodes[0].signal(syscall.SIGTERM)
	for range 2 {
		switch a := <-answers; {
		case a.err != nil:
			t.Errorf("stream %t: %v", a.stream, a.err)
		case !strings.Contains(a.body, "ShuttingDown"):
			t.Errorf("stream %t: status %d, %s", a.stream, a.status, a.body)
		case a.stream && strings.Contains(a.body, "[DONE]"):
			t.Errorf("a stream that was cut looks whole: %s", a.body)
		}
	}
	if err := s.nodes[0].awaitEnd(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Guards against a signal that ends a node at once, before its stop or during it, and
// with it all requests that a stop lets run to their end.
func TestSignalsEndNoRequest(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		signals []syscall.Signal
	}{
		{"a hangup", []syscall.Signal{syscall.SIGHUP}},
		{"a hangup during a stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}},
		{"a second stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		{"an interrupt during a stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, slow)
			answers := s.begin()
			for _, signal := range tt.signals {
				s.nodes[0].signal(signal)
				await(t, "the node leaves", func() error {
					if s.look(s.nodes[0], "/ready") == nil {
						return errors.New("ready")
					}
					return nil
				})
			}
			if err := <-answers; err != nil {
				t.Error(err)
			}
			if err := s.nodes[0].awaitEnd(); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// Guards against callers who find no connection while a stopping node of the product
// still serves others.
func TestStoppingNodeAnswersWhoeverComes(t *testing.T) {
	t.Parallel()
	s := newSite(t, slow)
	answers := s.begin()
	s.nodes[0].signal(syscall.SIGTERM)
	await(t, "callers are turned away", func() error {
		status, body, err := s.post(0, 1, false)
		if err != nil {
			t.Fatal(err)
		}
		if status != http.StatusServiceUnavailable || !strings.Contains(body, "ShuttingDown") {
			return fmt.Errorf("status %d, %s", status, body)
		}
		return nil
	})
	if err := <-answers; err != nil {
		t.Error(err)
	}
	if err := s.nodes[0].awaitEnd(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
