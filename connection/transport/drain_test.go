package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// refusedBodyBytes is the length of a body that is far too large.
const refusedBodyBytes = 8 << 20

// readRefusal returns what a client reads after it has written a body that is too
// large. The server drains the body and then sends the refusal.
func readRefusal(t *testing.T, refusal string, write func(net.Conn) error) (string, error) {
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
		NewDrainer().Body(conn, refusedBodyBytes)
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

// A client sends a body that is far too large. If the server closed the connection with
// unread data, the client would get a connection reset instead of the refusal.
func TestDrainDeliversRefusal(t *testing.T) {
	const refusal = "413"
	got, err := readRefusal(t, refusal, func(conn net.Conn) error {
		_, err := conn.Write(make([]byte, refusedBodyBytes))
		return err
	})
	if got != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// A client that sends a body that is far too large pauses for longer than
// drainQuietPeriod, because its VM is short of processor time or two packets were lost.
// If the server took the pause for the end of the body, it would close the connection
// with unread data, and the client would get a reset instead of the refusal. Without
// the pause, TestDrainDeliversRefusal fails this way only rarely, under other load.
func TestDrainWaitsForPausingClient(t *testing.T) {
	const refusal = "413"
	got, err := readRefusal(t, refusal, func(conn net.Conn) error {
		for range 2 {
			if _, err := conn.Write(make([]byte, refusedBodyBytes/2)); err != nil {
				return err
			}
			time.Sleep(2 * drainQuietPeriod)
		}
		return nil
	})
	if got != refusal || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// The rest of a header that is too large arrives in parts. If the drain stopped too
// early, the client would get a reset; it must not wait for more than the header
// either.
func TestDrainHeaderStopsAtHeaderEnd(t *testing.T) {
	for _, parts := range [][]string{{"xx\r\n\r\n"}, {"xx", "x\r\n", "\r\n"}, {"x\r", "\n", "\r", "\n"}} {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewDrainer().Header(server)
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

// Guards against a reset in place of the refusal for callers whose requests arrive whole, but more at a time than are
// drained, as after a node was frozen.
func TestFullDrainerDeliversRefusals(t *testing.T) {
	d := NewDrainer()
	for range maxDrains {
		if !d.enter() {
			t.Fatal("the drainer is full too early")
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Write(make([]byte, 8<<10)); err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	d.Body(server, 0)
	if _, err := io.WriteString(server, "503"); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got, err := io.ReadAll(client); string(got) != "503" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}
