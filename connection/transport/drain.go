package transport

import (
	"errors"
	"io"
	"net"
	"time"
)

// Bounds of Drain.
const (
	drainBytes = 64 << 20
	drainTime  = 5 * time.Second
	drainQuiet = 200 * time.Millisecond
)

// Drain reads on what a client still sends of a body that is refused as too
// large, until it is quiet or has had its time. A connection that is closed
// with unread bytes is reset, and the client, still writing, would see that
// and never the refusal.
func Drain(conn net.Conn) {
	end := time.Now().Add(drainTime)
	for n := int64(0); n < drainBytes; {
		quiet := time.Now().Add(drainQuiet)
		if quiet.After(end) {
			return
		}
		if conn.SetReadDeadline(quiet) != nil {
			return
		}
		m, err := io.CopyN(io.Discard, conn, drainChunk)
		n += m
		var timeout net.Error
		if err != nil && (m == 0 || !errors.As(err, &timeout) || !timeout.Timeout()) {
			return
		}
	}
}

// drainChunk is read within one deadline.
const drainChunk = 1 << 20
