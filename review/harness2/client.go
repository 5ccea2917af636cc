package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestHead returns the head of a request.
func requestHead(method, target, id, key string, deadline time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n",
		method, target, id, deadline.Milliseconds(), key, fields)
}

// ask sends a request for generated text on a new connection and returns the answer's status.
func ask(address string) (id string, status int, err error) {
	const body = "hello"
	id = newID()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return id, 0, err
	}
	fields := fmt.Sprintf("X-Model: m1\r\nX-Token-Count: 100,8\r\nX-Prefix-Hash: %s:50\r\nContent-Length: %d\r\n", id[:8], len(body))
	if _, err := io.WriteString(c, requestHead(http.MethodPost, "/tags/"+id, id, operatorKey, 3*time.Second, fields)+body); err != nil {
		return id, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode, err
}
