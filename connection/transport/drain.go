package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Drainer.
const (
	maxDrainBytes = 64 << 20
	maxDrainTime  = 5 * time.Second
	// drainQuietPeriod is how long a client must send nothing for its body to count as
	// complete. TCP retransmits a lost packet after 0.2 s.
	drainQuietPeriod = 200 * time.Millisecond
	// maxDrains and maxDrainRate bound what a Drainer reads away for all connections together: how many at a time,
	// and how many bytes a second.
	maxDrains    = 128
	maxDrainRate = 64 << 20
	// maxReceivedBytes and receivedTime bound what is read away of each further connection: what the kernel holds of it
	// already, which is all of a usual request.
	maxReceivedBytes = 64 << 10
	receivedTime     = 50 * time.Millisecond
	// maxAlreadyRead is the number of bytes of a body that may have been read together
	// with the header.
	maxAlreadyRead = 64 << 10
)

// Drainer drains refused requests, within limits for all of them together. Its methods are safe for concurrent use.
type Drainer struct {
	places chan struct{}
	bytes  *rate.Limiter
}

// NewDrainer returns a Drainer.
func NewDrainer() *Drainer {
	return &Drainer{places: make(chan struct{}, maxDrains), bytes: rate.NewLimiter(maxDrainRate, maxDrainRate)}
}

// Body reads and discards the rest of a body that is refused. It returns when the client
// stops sending or a limit is reached; if other connections use up the limits, it drains
// only what has been received. A connection that is closed with unread data is reset, and
// a client that is still writing would get the reset instead of the refusal. declared is
// the length of the body, or 0 if it is not known. A pause does not end the read before the declared length was received: a
// client on a VM that was short of processor time paused for a third of a second and
// got the reset.
func (d *Drainer) Body(conn net.Conn, declared int) {
	if !d.enter() {
		drainReceived(conn)
		return
	}
	defer d.leave()
	d.drainBody(conn, declared)
}

// Stream reads a body away to its end, from a connection that is served on. It reports false if a limit is reached or the
// body is cut off.
func (d *Drainer) Stream(conn net.Conn, body io.Reader) (whole bool) {
	if !d.enter() {
		drainReceived(conn)
		return false
	}
	defer d.leave()
	if conn.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return false
	}
	for n := int64(0); n < maxDrainBytes; {
		m, err := io.CopyN(io.Discard, body, drainChunkBytes)
		n += m
		if err != nil || !d.bytes.AllowN(time.Now(), int(m)) {
			return errors.Is(err, io.EOF)
		}
	}
	return false
}

// Header reads and discards the rest of a header that is refused as too large, until the
// end of the header or a limit. Body describes the reason.
func (d *Drainer) Header(conn net.Conn) {
	if !d.enter() {
		drainReceived(conn)
		return
	}
	defer d.leave()
	drainHeader(conn)
}

// enter reports whether a connection may be drained. The caller calls leave afterwards.
func (d *Drainer) enter() bool {
	select {
	case d.places <- struct{}{}:
		return true
	default:
		return false
	}
}

func (d *Drainer) leave() { <-d.places }

// drainReceived drains what has been received already.
func drainReceived(conn net.Conn) {
	if conn.SetReadDeadline(time.Now().Add(receivedTime)) == nil {
		_, _ = io.CopyN(io.Discard, conn, maxReceivedBytes) // ends with the deadline
	}
}

func (d *Drainer) drainBody(conn net.Conn, declared int) {
	end := time.Now().Add(maxDrainTime)
	for n := int64(0); n < maxDrainBytes; {
		quiet := end
		if n+maxAlreadyRead >= int64(declared) {
			quiet = time.Now().Add(drainQuietPeriod)
		}
		if quiet.After(end) || !time.Now().Before(end) || conn.SetReadDeadline(quiet) != nil {
			return
		}
		m, err := io.CopyN(io.Discard, conn, min(drainChunkBytes, max(maxAlreadyRead, int64(declared)-maxAlreadyRead-n)))
		n += m
		if !d.bytes.AllowN(time.Now(), int(m)) {
			return
		}
		var timeout net.Error
		if err != nil && (m == 0 || !errors.As(err, &timeout) || !timeout.Timeout()) {
			return
		}
	}
}

// headerTerminator is the end of an HTTP header.
const headerTerminator = "\r\n\r\n"

func drainHeader(conn net.Conn) {
	if conn.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return
	}
	var last []byte // the last bytes read, which may be the start of the terminator
	b := make([]byte, 4<<10)
	for n := 0; n < maxDrainBytes; {
		m, err := conn.Read(b)
		n += m
		last = append(last, b[:m]...)
		if err != nil || bytes.Contains(last, []byte(headerTerminator)) {
			return
		}
		last = append([]byte(nil), last[max(0, len(last)-len(headerTerminator)+1):]...)
	}
}

// drainChunkBytes is the maximum number of bytes that are read within one deadline.
const drainChunkBytes = 1 << 20
