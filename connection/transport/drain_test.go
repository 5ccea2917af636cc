package transport

import (
	"io"
	"net"
	"testing"
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
		Drain(conn)
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
