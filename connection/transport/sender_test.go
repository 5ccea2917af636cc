package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close(); _ = fc.Close() })
	return nc.(*net.TCPConn), fc.(*net.TCPConn)
}

// Guards against a reset that passes for an orderly end, as the write of another goroutine gets the kernel's report.
func TestSenderKnowsResetThatReaderMisses(t *testing.T) {
	near, far := connPair(t)
	s := NewSender(near)
	failed := make(chan error, 1)
	go func() {
		_, err := s.Write(make([]byte, 64<<20)) // more than the kernel holds
		failed <- err
	}()
	_, _ = io.ReadFull(far, make([]byte, 1))
	_ = far.SetLinger(0)
	_ = far.Close()
	if err := <-failed; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v", err)
	}
	_, err := near.Read(make([]byte, 1))
	if err != io.EOF {
		t.Fatalf("read: %v", err)
	}
	if err := s.ReadError(err); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v", err)
	}
}

// Guards against bytes that are lost or doubled when the reader asks for the state of a write that the other end does not
// take yet, and against a reader that waits for this write.
func TestSenderContinuesAfterQuestion(t *testing.T) {
	near, far := connPair(t)
	s := NewSender(near)
	sent := make([]byte, 16<<20)
	for i := range sent {
		sent[i] = byte(i * 31 >> 3)
	}
	written := make(chan error, 1)
	go func() {
		_, err := s.Write(sent)
		_ = near.CloseWrite()
		written <- err
	}()
	var received bytes.Buffer
	for range 20 {
		if _, err := io.CopyN(&received, far, 64<<10); err != nil {
			t.Fatal(err)
		}
		if err := s.Err(); err != nil {
			t.Fatal(err)
		}
	}
	_, err := io.Copy(&received, far)
	if err := errors.Join(err, <-written); err != nil || !bytes.Equal(received.Bytes(), sent) {
		t.Errorf("received %d of %d bytes, %v", received.Len(), len(sent), err)
	}
}

// Guards against a write without an end after the reader has asked for its state.
func TestSenderKeepsDeadlineAfterQuestion(t *testing.T) {
	near, _ := connPair(t)
	s := NewSender(near)
	if err := s.SetDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := s.Write(make([]byte, 64<<20))
		written <- err
	}()
	for range 20 {
		_ = s.Err()
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if err := s.Err(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v after the write", err)
	}
}
