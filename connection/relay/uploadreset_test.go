package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

const uploadBytes = 1 << 20

// readAnswer sends an upload and returns what comes meanwhile, up to the proved end of the connection.
func readAnswer(conn *Conn) (string, error) {
	go func() { _, _ = conn.Write(make([]byte, uploadBytes)) }() // fails when the connection ends
	answer, err := io.ReadAll(conn)
	if err == nil {
		err = conn.ProveEnd(context.Background())
	}
	return string(answer), err
}

// Guards against half an answer that looks whole behind another node, as that node's send of the upload gets the reset by
// the upstream, and its read gets what looks like an orderly end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const uploads = 50
	_, node := startNode(t, dialUpstream)
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		for range uploads {
			conn, err := open(t, node, startUpstream(t, func(u *net.TCPConn) {
				_, _ = io.ReadFull(u, make([]byte, 100))
				_, _ = io.WriteString(u, "half")
				time.Sleep(pause)
				_ = u.SetLinger(0)
			}))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := readAnswer(conn); err == nil {
				t.Errorf("reset after %v: %q has a proved end", pause, got)
			}
			_ = conn.Close()
		}
	}
}

// Guards against a whole answer that looks cut behind another node, as its upstream reads the upload only after the end.
func TestEndDuringUploadIsProved(t *testing.T) {
	_, node := startNode(t, dialUpstream)
	for range 20 {
		asked := make(chan struct{})
		received := make(chan int64, 1)
		conn, err := open(t, node, startUpstream(t, func(u *net.TCPConn) {
			_, _ = io.WriteString(u, "answer")
			_ = u.CloseWrite()
			<-asked
			n, _ := io.CopyN(io.Discard, u, uploadBytes)
			received <- n
		}))
		if err != nil {
			t.Fatal(err)
		}
		got, err := readAnswer(conn)
		close(asked)
		if err != nil || got != "answer" {
			t.Errorf("%q, %v", got, err)
		}
		if n := <-received; n != uploadBytes {
			t.Errorf("the upstream got %d bytes of the upload", n)
		}
		_ = conn.Close()
	}
}

// endWatch is a connection that records whether it was ended in order.
type endWatch struct {
	net.Conn
	once    sync.Once
	ended   chan struct{} // closed at the first end of any kind
	inOrder bool          // read after ended
}

func (c *endWatch) end(inOrder bool) {
	c.once.Do(func() { c.inOrder = inOrder; close(c.ended) })
}

func (c *endWatch) CloseWrite() error { c.end(true); return nil }
func (c *endWatch) Close() error      { c.end(false); return c.Conn.Close() }

// resetConn is a connection that is reset during its first write, which gets the kernel's report. The write returns once
// the other connection was ended, or somebody asks for the state of the write.
type resetConn struct {
	net.Conn
	other    *endWatch
	reported chan struct{}
	asked    chan struct{}
	once     sync.Once
}

func (c *resetConn) Read([]byte) (int, error) { <-c.reported; return 0, io.EOF }

func (c *resetConn) Write([]byte) (int, error) {
	close(c.reported)
	select {
	case <-c.other.ended:
	case <-c.asked:
	}
	return 0, syscall.ECONNRESET
}

func (c *resetConn) SetWriteDeadline(time.Time) error {
	select {
	case <-c.reported:
		c.once.Do(func() { close(c.asked) })
	default:
	}
	return nil
}

// Guards against a reset by one end that reaches the other one as an orderly end, as the write has got the report of it but
// has not returned.
func TestResetReportedToWriteIsNoEnd(t *testing.T) {
	for _, byUpstream := range []bool{true, false} {
		s := NewServer(upstreamsFunc(dialUpstream))
		sound, far := net.Pipe()
		watched := &endWatch{Conn: sound, ended: make(chan struct{})}
		broken := &resetConn{Conn: far, other: watched, reported: make(chan struct{}), asked: make(chan struct{})}
		go func() { _, _ = far.Write([]byte("upload")) }()
		node, upstream := net.Conn(watched), net.Conn(broken)
		if !byUpstream {
			node, upstream = broken, watched
		}
		s.add(node)
		s.pass(node, upstream)
		<-watched.ended
		if known := s.resultOfEnd(node.RemoteAddr().String()); watched.inOrder || known != unknown {
			t.Errorf("reset by the upstream %t: ended in order %t, known as %v", byUpstream, watched.inOrder, known)
		}
	}
}
