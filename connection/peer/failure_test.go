package peer

import (
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"testing"
	"time"
)

// A process that does not know the fleet's secret connects, or a node
// connects to a process that doesn't. The caller sees ErrUnauthorized; no
// call reaches a handler on either end.
func TestWrongSecretIsRefused(t *testing.T) {
	s, _, address := startServer(t, ServerConfig{})
	c := newTestClient(t, ClientConfig{Secrets: [][]byte{newSecret}})
	if _, err := say(c, address, "x"); !errors.Is(err, ErrUnauthorized) {
		t.Errorf("a wrong secret gave %v", err)
	}
	if n := s.Stats().Calls; n != 0 {
		t.Errorf("%d calls were served", n)
	}
}

// An attacker who knows the identifier of a secret, which goes over the wire,
// but not the secret, claims it and sends a made-up proof with a call behind
// it. Without the check of the proof the call would be served.
func TestForgedProofIsRefused(t *testing.T) {
	s, _, address := startServer(t, ServerConfig{})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	h := hello{Magic: helloMagic, Count: 1, IDs: [MaxSecrets]secretID{identify(oldSecret)}}
	var c challenge
	if err := errors.Join(binary.Write(conn, binary.BigEndian, h), binary.Read(conn, binary.BigEndian, &c)); err != nil {
		t.Fatal(err)
	}
	// The server's own proof, sent back to it as the client's.
	if _, err := conn.Write(c.Proof[:]); err != nil {
		t.Fatal(err)
	}
	enc := gob.NewEncoder(conn)
	_ = errors.Join(enc.Encode(rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}), enc.Encode(Text{"x"}))
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a reflected proof was answered")
	}
	if st := s.Stats(); st.Calls != 0 || st.Refused != 1 {
		t.Errorf("%d calls served, %d connections refused", st.Calls, st.Refused)
	}
}

// The fleet's secret is changed node by node, first {old} to {new, old}, then
// to {new}. At each moment nodes of two neighbouring stages call each other;
// a single refused call would be an outage between nodes.
func TestSecretChangesWithoutGap(t *testing.T) {
	stages := [][][]byte{{oldSecret}, {newSecret, oldSecret}, {newSecret}}
	for i := range len(stages) - 1 {
		for _, pair := range [][2]int{{i, i + 1}, {i + 1, i}, {i + 1, i + 1}} {
			_, _, address := startServer(t, ServerConfig{Secrets: stages[pair[0]]})
			c := newTestClient(t, ClientConfig{Secrets: stages[pair[1]]})
			if _, err := say(c, address, "x"); err != nil {
				t.Errorf("server in stage %d, client in stage %d: %v", pair[0], pair[1], err)
			}
		}
	}
	s, _, address := startServer(t, ServerConfig{Secrets: stages[0]})
	if err := s.SetSecrets(stages[2]); err != nil {
		t.Fatal(err)
	}
	c := newTestClient(t, ClientConfig{Secrets: stages[0]})
	if _, err := say(c, address, "x"); !errors.Is(err, ErrUnauthorized) {
		t.Errorf("a secret that was withdrawn gave %v", err)
	}
}

// Something that is no peer connects and sends garbage, or nothing at all. It
// must not hold a connection longer than the handshake may take, and calls of
// real peers go on.
func TestGarbageIsCutOff(t *testing.T) {
	s, _, address := startServer(t, ServerConfig{HandshakeTimeout: 50 * time.Millisecond})
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat("\xff", 4096)} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, garbage)
		if _, err := io.ReadAll(conn); err != nil && !isReset(err) {
			t.Errorf("%q: %v", garbage, err)
		}
		conn.Close()
	}
	c := newTestClient(t, ClientConfig{})
	if _, err := say(c, address, "x"); err != nil {
		t.Errorf("a real peer: %v", err)
	}
	if n := s.Stats().Refused; n != 3 {
		t.Errorf("%d of 3 were refused", n)
	}
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// A peer that knows the secret, through a fault or a break-in, announces a
// message of a gigabyte and sends on and on. The decoder would collect it all;
// the node would run out of memory. It must be cut off at the limit, while
// other peers' calls go on.
func TestHugeMessageIsCutOff(t *testing.T) {
	const limit = 1 << 16
	_, _, address := startServer(t, ServerConfig{MaxMessageBytes: limit})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := clientHandshake(conn, [][]byte{oldSecret}, time.Second*20); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	// gob's length prefix: 4 bytes follow, 1 GB less one.
	_, _ = conn.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
	sent := 0
	for chunk := make([]byte, 1<<16); sent < 1<<28; {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	runtime.ReadMemStats(&after)
	if sent >= 1<<28 {
		t.Error("256 MB were taken as one message")
	}
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 1<<24 {
		t.Errorf("%d bytes were allocated for it", grown)
	}
	c := newTestClient(t, ClientConfig{})
	if _, err := say(c, address, "x"); err != nil {
		t.Errorf("another peer: %v", err)
	}
	var out Text
	err = c.Call(context.Background(), address, "Echo.Say", Text{strings.Repeat("x", 2*limit)}, &out)
	if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrRemote) {
		t.Errorf("a call over the limit gave %v", err)
	}
}

// A peer sends calls without waiting for answers, faster than they can be
// served. net/rpc alone starts a goroutine for each. Only so many may be in
// progress; the rest waits in the sender's socket.
func TestCallsInProgressAreBounded(t *testing.T) {
	const limit = 3
	_, e, address := startServer(t, ServerConfig{MaxInFlight: limit})
	c := newTestClient(t, ClientConfig{})
	results := make(chan error)
	for range 2 * limit {
		go func() {
			var out Text
			results <- c.Call(context.Background(), address, "Echo.Wait", Text{}, &out)
		}()
	}
	for range limit {
		<-e.started
	}
	select {
	case <-e.started:
		t.Error("more calls were started than may be in progress")
	case <-time.After(20 * time.Millisecond):
	}
	close(e.release)
	for range 2 * limit {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// The other end of a connection is gone without a word: nothing is refused,
// nothing answered. The call must end at its deadline, and the next must not
// run into the same dead connection but take a new one.
func TestHalfOpenConnectionIsLeft(t *testing.T) {
	_, _, address := startServer(t, ServerConfig{})
	link := newLink(t, address)
	c := newTestClient(t, ClientConfig{CallTimeout: 5 * time.Second})
	if _, err := say(c, link.address, "x"); err != nil {
		t.Fatal(err)
	}
	link.drop <- true
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	var out Text
	if err := c.Call(ctx, link.address, "Echo.Say", Text{"x"}, &out); !errors.Is(err, ErrTimeout) {
		t.Fatalf("a half-open connection gave %v", err)
	}
	if _, err := say(c, link.address, "x"); err != nil {
		t.Errorf("the call after it: %v", err)
	}
}

// link passes bytes on to an address until told to drop them in silence;
// connections after that are whole again.
type link struct {
	address string
	drop    chan bool
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	k := &link{address: l.Addr().String(), drop: make(chan bool)}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go func() { _, _ = io.Copy(in, out) }()
			go k.pass(in, out)
		}
	}()
	return k
}

func (k *link) pass(in, out net.Conn) {
	chunks := make(chan []byte)
	go func() {
		defer close(chunks)
		for {
			chunk := make([]byte, 4096)
			n, err := in.Read(chunk)
			if err != nil {
				return
			}
			chunks <- chunk[:n]
		}
	}()
	dropped := false
	for {
		select {
		case dropped = <-k.drop:
		case chunk, ok := <-chunks:
			if !ok {
				out.Close()
				return
			}
			if !dropped {
				_, _ = out.Write(chunk)
			}
		}
	}
}

// A call is given up at its deadline, and its answer comes later. It must not
// be written into what the caller holds by then, nor be taken for the answer
// of the next call.
func TestLateAnswerChangesNothing(t *testing.T) {
	_, e, address := startServer(t, ServerConfig{})
	c := newTestClient(t, ClientConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	out := Text{Value: "mine"}
	failed := make(chan error)
	go func() { failed <- c.Call(ctx, address, "Echo.Wait", Text{"late"}, &out) }()
	<-e.started
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("a cancelled call gave %v", err)
	}
	close(e.release)
	for range 10 {
		if got, err := say(c, address, "next"); err != nil || got != "next" {
			t.Fatalf("the next call got %q, %v", got, err)
		}
	}
	if out.Value != "mine" {
		t.Errorf("the late answer was written: %q", out.Value)
	}
}

// A slow handler runs into the deadline of its caller while another call on
// the same connection gets its answers. The connection is sound: the other
// call must not fail for it.
func TestSlowCallDoesNotCutOthers(t *testing.T) {
	_, e, address := startServer(t, ServerConfig{})
	c := newTestClient(t, ClientConfig{})
	other := make(chan error, 1)
	go func() {
		var out Text
		other <- c.Call(context.Background(), address, "Echo.Wait", Text{}, &out)
	}()
	<-e.started
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	slow := make(chan error, 1)
	go func() {
		var out Text
		slow <- c.Call(ctx, address, "Echo.Wait", Text{}, &out)
	}()
	<-e.started
	if _, err := say(c, address, "x"); err != nil {
		t.Fatal(err)
	}
	if err := <-slow; !errors.Is(err, ErrTimeout) {
		t.Errorf("the slow call gave %v", err)
	}
	close(e.release)
	if err := <-other; err != nil {
		t.Errorf("the other call: %v", err)
	}
}
