// Package intake bounds what clients may take of a process: its memory, and its descriptors. Upstreams, other nodes and
// the platform need the rest, whatever clients do.
package intake

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"
)

// Shares of a process.
const (
	// budgetShare is the part of the memory for requests that are read or served, and for large answers.
	budgetShare = 0.25
	// reserveShare is the part of the budget that only small requests may use.
	reserveShare = 0.25
	// collectorShare is the part of the memory from which the garbage collector works harder.
	collectorShare = 0.7
	// connectionShare is the part of the memory for callers' connections.
	connectionShare = 0.3
	// connectionBytes is what a connection without a request takes at most: its buffer, the stacks of its
	// goroutines, and what the kernel holds.
	connectionBytes = 32 << 10

	// callersShare is the part of the sockets for callers' connections.
	callersShare = 5.0 / 8
	// probesShare is the part of the sockets for readiness checks and metrics, maxProbes what those need at most.
	probesShare = 1.0 / 16
	maxProbes   = 64
	// operatorsShare is the part of the sockets for operators, maxOperators what those need at most.
	operatorsShare = 1.0 / 16
	maxOperators   = 256
	// handshakesShare is the part of the sockets for nodes that have not proved yet that they belong to the fleet.
	handshakesShare = 1.0 / 8
)

// Machine is what a process may use.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
	Files       int // descriptors that sockets can't have
}

// Limits bounds what clients may take of a Machine.
type Limits struct {
	Budget, Reserve int64 // bytes
	Callers         int   // connections of callers
	Probes          int   // connections for readiness checks and metrics
	Operators       int   // connections of operators
	Handshakes      int   // connections of nodes that have not authenticated
}

// Limits returns the limits for a machine.
func (m Machine) Limits() Limits {
	sockets := float64(max(1, m.Descriptors-m.Files))
	budget := budgetShare * float64(m.Memory)
	callers := min(callersShare*sockets, connectionShare*float64(m.Memory)/connectionBytes)
	return Limits{
		Budget: int64(budget), Reserve: int64(reserveShare * budget),
		Callers:    max(1, int(callers)),
		Probes:     max(1, min(maxProbes, int(probesShare*sockets))),
		Operators:  max(1, min(maxOperators, int(operatorsShare*sockets))),
		Handshakes: max(1, int(handshakesShare*sockets)),
	}
}

// CollectorLimit returns the memory limit of the garbage collector, in bytes.
func (m Machine) CollectorLimit() int64 { return int64(collectorShare * float64(m.Memory)) }

// Unlimited returns limits that no client reaches.
func Unlimited() Limits {
	return Limits{Budget: math.MaxInt64, Callers: math.MaxInt, Probes: math.MaxInt, Operators: math.MaxInt, Handshakes: math.MaxInt}
}

// OpenDescriptors returns how many descriptors the system lets this process open.
func OpenDescriptors() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	return int(min(l.Cur, math.MaxInt32)), nil
}
