package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// refusedBody is the length of a body that is far too large.
const refusedBody = 8 << 20

// refused gives what a client reads that writes such a body, of which the server reads on
// and then refuses it.
func refused(t *testing.T, refusal string, write func(net.Conn) error) (string, error) {
	t.Helper()
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
		Drain(conn, refusedBody)
		_, _ = io.WriteString(conn, refusal)
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := write(conn); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	return string(got), err
}

// A client that sends a body far too large sees its connection reset instead
// of the answer that says so: the server closed with unread bytes.
func TestDrainLetsTheRefusalArrive(t *testing.T) {
	const refusal = "413"
	got, err := refused(t, refusal, func(conn net.Conn) error {
		_, err := conn.Write(make([]byte, refusedBody))
		return err
	})
	if got != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// A client with a body far too large stands still in the middle of it for longer than the
// server takes for its end: its VM is short of processor time, or two packets were lost.
// The server closed with the rest unread, and the client saw a reset in place of the
// answer. Seen once as a failure of the test above, beside much other work; the pause here
// brings it about each time.
func TestDrainWaitsForAClientThatStandsStill(t *testing.T) {
	const refusal = "413"
	got, err := refused(t, refusal, func(conn net.Conn) error {
		for range 2 {
			if _, err := conn.Write(make([]byte, refusedBody/2)); err != nil {
				return err
			}
			time.Sleep(2 * drainQuiet)
		}
		return nil
	})
	if got != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against a refused client that sees a reset as the rest of its header comes in
// pieces, and against a wait for more than the header.
func TestDrainHeaderReadsToItsEnd(t *testing.T) {
	for _, parts := range [][]string{{"xx\r\n\r\n"}, {"xx", "x\r\n", "\r\n"}, {"x\r", "\n", "\r", "\n"}} {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			DrainHeader(server)
		}()
		for _, p := range parts {
			if _, err := io.WriteString(client, p); err != nil {
				t.Errorf("%q: %v", parts, err)
			}
		}
		<-done
		_, _ = client.Close(), server.Close()
	}
}
