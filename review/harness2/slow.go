package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	slowClients = 6
	// answerBytes at slowRate take 12.5 s, within the clients' deadline and the route's timeout of 15 s.
	answerBytes  = 4_000_000
	slowRate     = 320_000 // bytes a second
	slowDeadline = 15 * time.Second
	// stopAfter is when the node is told to stop. The answers could be read to their end within its grace of 8 s.
	stopAfter = 6500 * time.Millisecond
)

// slowReader has clients read long answers slowly and steadily while their node is told to stop.
func slowReader(w *world) (int, error) {
	if err := w.open(map[string]int{"lm": 2, "app": 2}, 2); err != nil {
		return notPlay, err
	}
	for _, r := range w.list() {
		r.mu.Lock()
		r.bodyBytes = answerBytes
		r.mu.Unlock()
	}
	time.Sleep(4 * time.Second)
	n := w.nodes[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	incomplete := 0
	for range slowClients {
		clients.Go(func() {
			if !w.readSlowly(n.front) {
				mu.Lock()
				defer mu.Unlock()
				incomplete++
			}
		})
	}
	time.Sleep(stopAfter)
	n.signal(syscall.SIGTERM)
	w.log("%s is told to stop (SIGTERM)", n.name)
	clients.Wait()
	select {
	case <-n.ended:
		w.log("%s has ended", n.name)
	case <-time.After(10 * time.Second):
		w.log("%s has not ended", n.name)
	}
	w.log("%d of %d requests that were passed on to a runner ended without a complete answer", incomplete, slowClients)
	if incomplete > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly sends one request and reports whether the client gets a complete answer.
func (w *world) readSlowly(address string) bool {
	id, begun := newID(), time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		w.log("request %s: %v", id, err)
		return false
	}
	defer func() { _ = c.Close() }()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(64 << 10) // a client on a slow link has no more under way
	}
	if _, err := io.WriteString(c, requestHead(http.MethodGet, "/look/"+id, id, operatorKey, slowDeadline, "")); err != nil {
		w.log("request %s: %v", id, err)
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(&steadyReader{conn: c, slow: w.trouble}), nil)
	if err != nil {
		w.log("request %s: %v", id, err)
		return false
	}
	read, err := io.Copy(io.Discard, resp.Body)
	w.log("request %s: status %d, %d of %d bytes in %s, %s", id, resp.StatusCode, read, answerBytes, time.Since(begun).Round(time.Millisecond), end(err))
	return err == nil && read == answerBytes
}

func end(err error) string {
	if err == nil {
		return "complete"
	}
	return fmt.Sprintf("not complete: %v", err)
}

// steadyReader reads a connection, at slowRate if it is slow.
type steadyReader struct {
	conn net.Conn
	slow bool
}

func (s *steadyReader) Read(b []byte) (int, error) {
	n, err := s.conn.Read(b[:min(len(b), 16<<10)])
	if s.slow {
		time.Sleep(time.Duration(float64(n) / slowRate * float64(time.Second)))
	}
	return n, err
}
