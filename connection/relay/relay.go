// Package relay carries the bytes of a connection to an upstream through another node. A node that
// has lost its path to the upstreams keeps all decisions about its requests; the other node only
// connects to upstreams that it knows itself, and copies.
//
// After the handshake of package peer, the asking node sends one byte with the length of the
// upstream's address, and the address. The other node answers with one byte, its result, and then
// passes bytes on in both directions until both ends have closed or one has failed.
//
// In place of an upstream's address the asking node may send a question mark and its own address on a
// connection that is open: whether the upstream has ended that one in order. Nothing follows the result
// then. An exclamation mark and the address of an upstream ask whether that one accepts connections. A node
// of an older build knows no upstream by such an address.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
)

//go:generate go tool stringer -type=result,Reach -output=relay_string.go

var (
	// ErrUnusable means that the other node can't help with any upstream of the service now.
	ErrUnusable = errors.New("relay: the other node cannot connect")
	// ErrUpstream means that the other node tried to connect and the upstream did not accept.
	ErrUpstream = errors.New("relay: not accepted by the upstream")
	// ErrNotEnded means that the other node does not know that the upstream has ended a connection in order.
	ErrNotEnded = errors.New("relay: the upstream is not known to have ended the connection")
)

// endQuestion begins the request of a node that asks how one of its connections has ended.
const endQuestion = "?"

// reachQuestion begins the request of a node that asks whether an upstream accepts connections.
const reachQuestion = "!"

// Reach is what a node says of an upstream that another one asks about.
type Reach uint8

const (
	// ReachUnknown means that the node can't tell.
	ReachUnknown Reach = iota
	// Refused means that the upstream's host refuses connections.
	Refused
	// Accepted means that the upstream accepts connections.
	Accepted
)

// result returns the answer to a question.
func (r Reach) result() result {
	switch r {
	case Accepted:
		return connected
	case Refused:
		return failed
	}
	return unknown
}

// result is the other node's answer.
type result uint8

const (
	connected result = iota
	// failed: the upstream did not accept the connection.
	failed
	// noPath: that node has lost the path as well.
	noPath
	// unknown: that node knows no upstream at the address.
	unknown
	// busy: that node passes on as many connections as it allows.
	busy
	// leaving: that node is stopping.
	leaving
	// ended: the upstream has ended the connection in order.
	ended
)

func (r result) err() error {
	switch r {
	case connected:
		return nil
	case failed:
		return ErrUpstream
	}
	return fmt.Errorf("%w: %v", ErrUnusable, r)
}

// reach returns what the answer to a question says.
func (r result) reach() Reach {
	switch r {
	case connected:
		return Accepted
	case failed:
		return Refused
	}
	return ReachUnknown
}

func writeRequest(w io.Writer, address string) error {
	_, err := w.Write(append([]byte{byte(len(address))}, address...))
	return err
}

func readRequest(r io.Reader) (address string, err error) {
	var length [1]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return "", err
	}
	b := make([]byte, length[0])
	_, err = io.ReadFull(r, b)
	return string(b), err
}

// reset closes a connection so that the other end sees a failure and not an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close() // fails only if the connection is already closed
}
