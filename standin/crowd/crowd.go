// Package crowd is a stand-in for many clients that don't behave: each sends what it likes and
// leaves its connection open. It also measures what a process holds meanwhile.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// sendTimeout ends a client's writes to a process that doesn't take them. A client that has sent
// all of its bytes isn't affected.
const sendTimeout = 20 * time.Second

// Send writes what one client sends. The client's connection stays open afterwards.
type Send func(client int, w io.Writer) error

// Crowd is a number of clients with open connections.
type Crowd struct {
	sending sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	conns  []net.Conn
	closed bool
}

// Open starts n clients that connect to an address at the same time. A client whose connection is
// refused or closed stays away.
func Open(address string, n int, send Send) *Crowd {
	c := &Crowd{}
	for i := range n {
		c.sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil || !c.add(conn) {
				return
			}
			if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) == nil {
				_ = send(i, conn) // a client that is refused has nothing more to send
			}
		})
	}
	return c
}

func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// AwaitSent waits until each client has sent all of its bytes or can send no more.
func (c *Crowd) AwaitSent() { c.sending.Wait() }

// Close closes the connections of all clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
}

// Announced returns a Send that announces a body of length bytes and sends the first sent ones.
func Announced(head func(client int) string, length, sent int) Send {
	return func(client int, w io.Writer) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head(client), length); err != nil {
			return err
		}
		return writeBytes(w, sent)
	}
}

// Chunked returns a Send of a body in chunks of a size, sent bytes in all, that does not end.
func Chunked(head func(client int) string, size, sent int) Send {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	batch := strings.Repeat(chunk, max(1, writeBytesAtOnce/len(chunk)))
	return func(client int, w io.Writer) error {
		if _, err := io.WriteString(w, head(client)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for n := 0; n < sent; n += size * (len(batch) / len(chunk)) {
			if _, err := io.WriteString(w, batch); err != nil {
				return err
			}
		}
		return nil
	}
}

// OpenHead returns a Send of a request's head with a field of length bytes, without the head's end.
func OpenHead(head func(client int) string, length int) Send {
	field := "X-Filler: " + strings.Repeat("x", length)
	return func(client int, w io.Writer) error {
		_, err := io.WriteString(w, head(client)+field)
		return err
	}
}

// Unread returns a Send of whole requests that waits for the first byte of the answer and reads no more.
func Unread(request func(client int) string) Send {
	return func(client int, w io.Writer) error {
		if _, err := io.WriteString(w, request(client)); err != nil {
			return err
		}
		conn, ok := w.(net.Conn)
		if !ok {
			return nil
		}
		if err := conn.SetReadDeadline(time.Now().Add(sendTimeout)); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
}

const writeBytesAtOnce = 64 << 10

var filler = []byte(strings.Repeat("x", writeBytesAtOnce))

func writeBytes(w io.Writer, n int) error {
	for n > 0 {
		m, err := w.Write(filler[:min(n, len(filler))])
		if err != nil {
			return err
		}
		n -= m
	}
	return nil
}
