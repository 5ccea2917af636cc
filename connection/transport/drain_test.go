package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// A client that sends a body far too large sees its connection reset instead
// of the answer that says so: the server closed with unread bytes.
func TestDrainLetsTheRefusalArrive(t *testing.T) {
	const refusal = "413"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		Drain(conn, 8<<20)
		_, _ = io.WriteString(conn, refusal)
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(make([]byte, 8<<20)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); string(got) != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// A client with a body far too large stands still in the middle of it for longer than the
// server takes for its end: its VM is short of processor time, or two packets were lost.
// The server closed with the rest unread, and the client saw a reset in place of the
// answer. Seen once as a failure of the test above, beside much other work; the pause here
// brings it about each time.
func TestDrainWaitsForAClientThatStandsStill(t *testing.T) {
	const refusal, length = "413", 8 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		Drain(conn, length)
		_, _ = io.WriteString(conn, refusal)
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		if _, err := conn.Write(make([]byte, length/2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * drainQuiet)
	}
	if got, err := io.ReadAll(conn); string(got) != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}
