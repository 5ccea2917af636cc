package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is one request of a client, on a connection of its own.
type call struct {
	id, method, host, path, key string
	fields                      string // further header fields, each with its line end
	body                        string
	deadline                    time.Duration
}

// reply is what a client has seen of the answer.
type reply struct {
	sentAt time.Time
	status int // 0: none
	seal   string
	body   string
	// framing is length, chunked, or close if the answer ends with its connection.
	framing string
	// whole means that the answer came to its end by its framing.
	whole bool
	err   error
}

func (c call) send(address string) reply {
	r := reply{sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		head += "Authorization: Token " + c.key + "\r\n"
	}
	if c.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	if _, r.err = io.WriteString(conn, head+c.fields+"\r\n"+c.body); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal = resp.StatusCode, resp.Header.Get("X-Response-Seal")
	switch {
	case len(resp.TransferEncoding) > 0:
		r.framing = "chunked"
	case resp.ContentLength >= 0:
		r.framing = "length"
	default:
		r.framing = "close"
	}
	body, err := io.ReadAll(resp.Body)
	r.body, r.err, r.whole = string(body), err, err == nil
	return r
}
