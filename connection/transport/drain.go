package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// Bounds of Drain.
const (
	drainBytes = 64 << 20
	drainTime  = 5 * time.Second
	// drainQuiet is how long nothing has to come for a body to be taken as sent: a lost
	// packet is sent again after 0.2 s.
	drainQuiet = 200 * time.Millisecond
	// drainRead is how much of a body may have been read before, with its head.
	drainRead = 64 << 10
)

// Drain reads on what a client still sends of a body that is refused as too
// large, until it is quiet or has had its time. A connection that is closed
// with unread bytes is reset, and the client, still writing, would see that
// and never the refusal. Declared is the body's length; 0: not known. Until that has
// come, quiet is no end: a client that stood still for a third of a second, as its VM was
// short of processor time, saw the reset.
func Drain(conn net.Conn, declared int) {
	end := time.Now().Add(drainTime)
	for n := int64(0); n < drainBytes; {
		quiet := end
		if n+drainRead >= int64(declared) {
			quiet = time.Now().Add(drainQuiet)
		}
		if quiet.After(end) || !time.Now().Before(end) || conn.SetReadDeadline(quiet) != nil {
			return
		}
		m, err := io.CopyN(io.Discard, conn, min(drainChunk, max(drainRead, int64(declared)-drainRead-n)))
		n += m
		var timeout net.Error
		if err != nil && (m == 0 || !errors.As(err, &timeout) || !timeout.Timeout()) {
			return
		}
	}
}

// headerEnd ends a header.
const headerEnd = "\r\n\r\n"

// DrainHeader reads on what a client still sends of a header that is refused as too large,
// until its end, or for its time. See Drain for why.
func DrainHeader(conn net.Conn) {
	if conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	var last []byte // as many bytes as could begin the end
	b := make([]byte, 4<<10)
	for n := 0; n < drainBytes; {
		m, err := conn.Read(b)
		n += m
		last = append(last, b[:m]...)
		if err != nil || bytes.Contains(last, []byte(headerEnd)) {
			return
		}
		last = append([]byte(nil), last[max(0, len(last)-len(headerEnd)+1):]...)
	}
}

// drainChunk is the most that is read within one deadline.
const drainChunk = 1 << 20
