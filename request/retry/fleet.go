package retry

// FleetLimit bounds the resends to a service by all nodes of a fleet together in any span of some seconds: Ratio of the
// requests for it, and Extra.
type FleetLimit struct {
	Ratio float64
	Extra float64
}

const (
	// usedRatio is the part of a FleetLimit's Ratio that the nodes use. The rest is left for nodes that start
	// several times within the span.
	usedRatio = 0.5
	// startPart is the part of a node's Extra that a process begins with.
	startPart = 1.0 / 3
	// MinStart is what a process begins with before it knows the size of its fleet.
	MinStart = 1
	// A small fleet does not use its whole Extra.
	maxStart = 2
	maxSaved = 4
)

// Allowance is how many resends one node may make.
type Allowance struct {
	Ratio float64 // resends that each request adds
	Start float64 // resends that a process has before its first request, at least MinStart
	Saved float64 // the most that it keeps unused
}

// Allowance returns what each of a number of nodes may resend. A node that starts again has a new allowance within
// the same span: what one process may have saved and what the next one begins with are no more together than the
// node's part of Extra, unless that is below MinStart.
func (l FleetLimit) Allowance(nodes int) Allowance {
	part := l.Extra / float64(max(1, nodes))
	start := min(maxStart, max(MinStart, startPart*part))
	return Allowance{Ratio: usedRatio * l.Ratio, Start: start, Saved: min(maxSaved, max(0, part-start))}
}
