// Package peer carries calls between the nodes of the system: net/rpc over
// kept TCP connections, with both ends proving at the start of a connection
// that they know the fleet's secret, and with bounds on what a peer can make
// this node hold. A connection lives until it is idle or fails.
//
// The proof covers the start of a connection. Who can change packets on the
// way can still take over an open connection, unless TLS is set beneath.
package peer

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

var (
	// ErrUnreachable means that there was no connection, or that it broke
	// before the answer came: the call may have run.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrTimeout means that no answer came in time: the call may have run.
	ErrTimeout = errors.New("peer: timeout")
	// ErrUnauthorized means that the two ends share no secret; nothing ran.
	ErrUnauthorized = errors.New("peer: unauthorized")
	// ErrRemote means that the peer took the call and answered with an error,
	// whose text is in the message.
	ErrRemote = errors.New("peer: remote error")
	// ErrTooLarge means that a message was over the limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed means that this end has been closed.
	ErrClosed = errors.New("peer: closed")
	// ErrSettings means that a ServerConfig or ClientConfig can't be used.
	ErrSettings = errors.New("peer: bad settings")
)

// Defaults of ServerConfig and ClientConfig.
const (
	DefaultCallTimeout      = time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultMessageTimeout   = 5 * time.Second
	DefaultIdleTimeout      = 5 * time.Minute
	DefaultMaxConnections   = 1024
	DefaultMaxInFlight      = 64
	DefaultMaxMessageBytes  = 1 << 20
	DefaultGrace            = 5 * time.Second
)

// noKeepAlive turns the kernel's probes of idle connections off. At 360 nodes
// each holds a few hundred connections, whose probes alone would take a tenth
// of the bytes that a node may spend; the timeouts of calls and of idle
// connections find what the probes would.
const noKeepAlive = -1

// MinSecretBytes is the length under which a secret could be guessed from
// one recorded handshake.
const MinSecretBytes = 16

// MaxSecrets is how many secrets one end may hold at a time.
const MaxSecrets = 4

// Stats counts what went over the connections of a Server or a Client.
type Stats struct {
	BytesIn     uint64 // on the socket, TLS included, TCP headers not
	BytesOut    uint64
	Calls       uint64
	Failures    uint64 // of all kinds but ErrRemote
	Refused     uint64 // connections refused: handshake or limit
	Connections int    // open now
}

// counters is the live form of Stats.
type counters struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	calls       atomic.Uint64
	failures    atomic.Uint64
	refused     atomic.Uint64
	connections atomic.Int64
}

func (c *counters) stats() Stats {
	return Stats{
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
		Calls:       c.calls.Load(),
		Failures:    c.failures.Load(),
		Refused:     c.refused.Load(),
		Connections: int(c.connections.Load()),
	}
}

func checkSecrets(secrets [][]byte) error {
	if len(secrets) == 0 || len(secrets) > MaxSecrets {
		return fmt.Errorf("%w: %d secrets, accepted are 1 to %d", ErrSettings, len(secrets), MaxSecrets)
	}
	for i, s := range secrets {
		if len(s) < MinSecretBytes {
			return fmt.Errorf("%w: secret %d has %d bytes, at least %d are needed", ErrSettings, i, len(s), MinSecretBytes)
		}
	}
	return nil
}
