package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const questionPath = "/question"

// checkedProof asks at questionPath and has a function check the answers.
type checkedProof func(answer *fasthttp.Response) error

func (checkedProof) Question() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://127.0.0.1" + questionPath)
	return req
}

func (p checkedProof) Check(answer *fasthttp.Response) error { return p(answer) }

// alwaysProved takes any answer for a proof.
type alwaysProved struct{ checkedProof }

func (alwaysProved) Check(*fasthttp.Response) error { return nil }

// endingUpstream answers one request by a script and the questions about its end by others.
type endingUpstream struct {
	ln     net.Listener
	answer func(c net.Conn) // to the request
	reply  func(c net.Conn) // to each question; nil: the listener is closed with the answer
	mu     sync.Mutex       // guards the fields below
	conns  int              // accepted after the answer has ended
	ended  bool             // the answer has
}

func (u *endingUpstream) serve(t *testing.T, c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			_ = c.Close()
			return
		}
		var req fasthttp.Request
		if err := req.Read(br); err != nil {
			_ = c.Close()
			return
		}
		if strings.HasSuffix(string(req.RequestURI()), questionPath) {
			u.reply(c)
			continue
		}
		u.answer(c)
		u.mu.Lock()
		u.ended = true
		u.mu.Unlock()
		if u.reply == nil {
			_ = u.ln.Close()
		}
		_ = c.Close()
		return
	}
}

func startEndingUpstream(t *testing.T, answer, reply func(c net.Conn)) *endingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &endingUpstream{ln: ln, answer: answer, reply: reply}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			if u.ended {
				u.conns++
			}
			u.mu.Unlock()
			go u.serve(t, c)
		}
	}()
	return u
}

func (u *endingUpstream) connsAfterEnd() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

func writes(text string) func(net.Conn) { return func(c net.Conn) { answer(c, text) } }

const (
	unframedHalf = "HTTP/1.1 200 OK\r\n\r\nhalf"
	chunkedHalf  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"
	emptyReply   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// Guards against half an answer without a length that counts as whole because its connection ended in
// order, against a whole one that counts as cut because a question goes unanswered, and against questions
// about an end that nothing is claimed of.
func TestUnframedAnswerIsWholeOnlyWithProof(t *testing.T) {
	t.Parallel()
	silentOnce := func() func(net.Conn) {
		var once sync.Once
		return func(c net.Conn) {
			silent := false
			once.Do(func() { silent = true })
			if !silent {
				answer(c, emptyReply)
			}
		}
	}
	resets := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	failsOnce := func() checkedProof {
		var once sync.Once
		return func(*fasthttp.Response) (err error) {
			once.Do(func() { err = errors.New("unidentified") })
			return err
		}
	}
	says := func(err error) checkedProof { return func(*fasthttp.Response) error { return err } }
	const many = 8 // questions in a second with a growing pause
	cases := []struct {
		name     string
		answer   string
		reply    func(net.Conn)
		proof    checkedProof
		check    error // of what was read
		maxConns int   // opened after the end
		whole    bool
	}{
		{"proved", unframedHalf, writes(emptyReply), says(nil), nil, 1, true},
		{"another process", unframedHalf, writes(emptyReply), says(ErrOtherProcess), nil, 1, false},
		{"unidentified at first", unframedHalf, writes(emptyReply), failsOnce(), nil, 2, true},
		{"unidentified", unframedHalf, writes(emptyReply), says(errors.New("unidentified")), nil, many, false},
		{"silent at first", unframedHalf, silentOnce(), says(nil), nil, 2, true},
		{"full", unframedHalf, resets, says(nil), nil, many, false},
		{"nobody listens", unframedHalf, nil, says(nil), nil, 0, false},
		{"cut off by what was read", unframedHalf, writes(emptyReply), says(nil), errors.New("cut"), 1, false},
		{"chunks prove themselves", chunkedHalf, writes(emptyReply), says(errors.New("unidentified")), nil, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startEndingUpstream(t, writes(c.answer), c.reply)
			cl := New(u.ln.Addr().String(), Config{EndProof: c.proof})
			defer cl.Close()
			got, err := readStream(t, cl, func(s *Stream) { s.SetEndCheck(func() error { return c.check }) })
			if whole := err == nil; whole != c.whole || got != "half" || !whole && !errors.Is(err, ErrFailedAfterSend) {
				t.Errorf("%q, %v", got, err)
			}
			if n := u.connsAfterEnd(); n > c.maxConns {
				t.Errorf("%d connections for the questions, %d allowed", n, c.maxConns)
			}
		})
	}
}

// readStream reads a whole answer.
func readStream(t *testing.T, cl *Client, begun func(*Stream)) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var resp fasthttp.Response
	s, err := cl.Stream(ctx, requestWith("a", nil), &resp)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	begun(s)
	got, err := io.ReadAll(s)
	return string(got), err
}

// Guards against a whole answer that counts as cut because its upstream has left the register, which
// closes the client.
func TestEndIsProvedAfterClientWasClosed(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	u := startEndingUpstream(t, func(c net.Conn) {
		answer(c, unframedHalf)
		<-closed
	}, writes(emptyReply))
	cl := New(u.ln.Addr().String(), Config{EndProof: alwaysProved{}})
	got, err := readStream(t, cl, func(*Stream) {
		cl.Close()
		close(closed)
	})
	if err != nil || got != "half" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against half an answer that counts as whole because its upstream stopped it in order at the
// deadline that it was told.
func TestEndAtDeadlineIsNotProved(t *testing.T) {
	t.Parallel()
	const deadline = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	u := startEndingUpstream(t, func(c net.Conn) {
		answer(c, unframedHalf)
		end, _ := ctx.Deadline()
		time.Sleep(time.Until(end) - deadlineMargin/2)
	}, writes(emptyReply))
	cl := New(u.ln.Addr().String(), Config{EndProof: alwaysProved{}})
	defer cl.Close()
	var resp fasthttp.Response
	s, err := cl.Stream(ctx, requestWith("a", nil), &resp)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got, err := io.ReadAll(s); err == nil {
		t.Errorf("%q counts as whole", got)
	}
}
