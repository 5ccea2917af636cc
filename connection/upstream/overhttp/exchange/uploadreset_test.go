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

const uploadBytes = 4 << 20

// startEarlyUpstream starts an upstream that answers each upload once it has read the head, and then ends the connection.
// It answers questions about the end.
func startEarlyUpstream(t *testing.T, text string, end func(c *net.TCPConn, br *bufio.Reader)) string {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for {
			head, err := readHeadText(br)
			if err != nil {
				return
			}
			if !strings.Contains(head, questionPath) {
				answer(c, text)
				end(c.(*net.TCPConn), br)
				return
			}
			answer(c, emptyReply)
		}
	})
}

func readHeadText(br *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := br.ReadString('\n')
		head.WriteString(line)
		if err != nil || line == "\r\n" {
			return head.String(), err
		}
	}
}

// upload sends a long body and reads the whole answer, by Do or by Stream.
func upload(cl *Client, body []byte, byDo bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, resp := requestWith("a", body), &fasthttp.Response{}
	if byDo {
		err := cl.Do(ctx, req, resp)
		return string(resp.Body()), err
	}
	s, err := cl.Stream(ctx, req, resp)
	if err != nil {
		return "", err
	}
	defer s.Close()
	b, err := s.ReadAll(uploadBytes)
	return string(b), err
}

// Guards against half an answer without a length that looks whole, as the send of the upload gets the reset of the
// connection and the read gets what looks like its orderly end.
func TestAnswerResetDuringUploadIsCut(t *testing.T) {
	const callers, uploads = 8, 10
	resetAfter := func(pause time.Duration, linger bool) func(*net.TCPConn, *bufio.Reader) {
		return func(c *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(pause)
			if linger {
				_ = c.SetLinger(0)
			} // otherwise the close resets the connection for the unread upload
		}
	}
	endThenClose := func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	}
	for _, test := range []struct {
		name  string
		end   func(*net.TCPConn, *bufio.Reader)
		bytes int
		byDo  bool
	}{
		{"closed at once", resetAfter(0, false), uploadBytes, false},
		{"closed at once, own call", resetAfter(0, false), uploadBytes, true},
		{"closed", resetAfter(time.Millisecond, false), uploadBytes, false},
		{"closed, own call", resetAfter(time.Millisecond, false), uploadBytes, true},
		{"reset", resetAfter(time.Millisecond, true), uploadBytes, false},
		{"reset, own call", resetAfter(time.Millisecond, true), uploadBytes, true},
		{"reset later", resetAfter(5*time.Millisecond, true), uploadBytes, false},
		{"closed at once, short upload", resetAfter(0, false), 64 << 10, false},
		{"ended in order, closed later", endThenClose, 4 * uploadBytes, false},
	} {
		body := make([]byte, test.bytes)
		cl := New(startEarlyUpstream(t, unframedHalf, test.end), Config{EndProof: alwaysProved{}})
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for range uploads {
					if got, err := upload(cl, body, test.byDo); !errors.Is(err, ErrFailedAfterSend) {
						t.Errorf("%s: %q, %v", test.name, got, err)
					}
				}
			})
		}
		wg.Wait()
		cl.Close()
	}
}

// Guards against a whole answer that looks cut, as its upstream has not read the upload yet when the answer ends.
func TestAnswerEndedDuringUploadIsWhole(t *testing.T) {
	body := make([]byte, uploadBytes)
	for _, test := range []struct {
		name, text string
		readFirst  int64 // bytes of the upload that are read before the end
	}{
		{"nothing is read", unframedHalf, 0},
		{"half is read", unframedHalf, uploadBytes / 2},
		{"all is read", unframedHalf, uploadBytes},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf", 0},
		{"in chunks", chunkedHalf, 0},
	} {
		at := startEarlyUpstream(t, test.text, func(c *net.TCPConn, br *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, br, test.readFirst)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, br)
		})
		cl := New(at, Config{EndProof: alwaysProved{}})
		for _, byDo := range []bool{false, true} {
			if got, err := upload(cl, body, byDo); err != nil || got != "half" {
				t.Errorf("%s, by Do %t: %q, %v", test.name, byDo, got, err)
			}
		}
		cl.Close()
	}
}
