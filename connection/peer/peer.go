// Package peer carries calls between the nodes of the system. It runs net/rpc over
// persistent TCP connections. At the start of a connection both ends prove that they
// know the fleet's secret. Limits bound the resources that a peer can use on this node.
// A connection stays open until it has been idle for too long or fails.
//
// The proof covers only the start of a connection. Without TLS, an attacker who can
// change packets in transit can still take over an open connection.
package peer

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

var (
	// ErrUnreachable means that there was no connection, or that it failed before the
	// answer arrived. In the second case the call may have run.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrTimeout means that no answer arrived in time. The call may have run.
	ErrTimeout = errors.New("peer: timeout")
	// ErrUnauthorized means that the two ends have no secret in common. No call ran.
	ErrUnauthorized = errors.New("peer: unauthorized")
	// ErrRemote means that the peer answered the call with an error. The message
	// contains its text.
	ErrRemote = errors.New("peer: remote error")
	// ErrTooLarge means that a message exceeded the size limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed means that this end was closed.
	ErrClosed = errors.New("peer: closed")
	// ErrInvalidConfig means that a ServerConfig or ClientConfig is invalid.
	ErrInvalidConfig = errors.New("peer: invalid configuration")
)

// Defaults of ServerConfig and ClientConfig.
const (
	DefaultCallTimeout      = time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultMessageTimeout   = 5 * time.Second
	DefaultIdleTimeout      = 5 * time.Minute
	DefaultMaxConnections   = 1024
	DefaultMaxHandshakes    = 256
	DefaultMaxInFlight      = 64
	DefaultMaxMessageBytes  = 1 << 20
	DefaultGrace            = 5 * time.Second
)

// noKeepAlive disables the kernel's TCP keep-alive probes. With 360 nodes, each node
// holds a few hundred connections, and probes on the idle ones would take a tenth of
// the bytes that a node may use on the network. The timeouts of calls and of idle
// connections detect the same failures.
const noKeepAlive = -1

// MinSecretBytes is the minimum length of a secret. A shorter secret could be guessed
// from one recorded handshake.
const MinSecretBytes = 16

// MaxSecrets is the maximum number of secrets that one end holds at a time.
const MaxSecrets = 4

// Stats counts the traffic on the connections of a Server or a Client.
type Stats struct {
	BytesIn     uint64 // on the socket, including TLS but not TCP headers
	BytesOut    uint64
	Calls       uint64
	Failures    uint64 // of all kinds except ErrRemote
	Refused     uint64 // connections refused by the handshake or by a limit
	Connections int    // open now
}

// counters holds the values of Stats, updated concurrently.
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
		return fmt.Errorf("%w: %d secrets, accepted are 1 to %d", ErrInvalidConfig, len(secrets), MaxSecrets)
	}
	for i, s := range secrets {
		if len(s) < MinSecretBytes {
			return fmt.Errorf("%w: secret %d has %d bytes, at least %d are needed", ErrInvalidConfig, i, len(s), MinSecretBytes)
		}
	}
	return nil
}
