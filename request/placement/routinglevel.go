package placement

import (
	"math/bits"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// routingLengthDivisor divides the typical prompt length to give the least length
	// at which a prefix selects its own replica set. Caching a shorter prefix on every
	// upstream is cheap.
	routingLengthDivisor = 2
	// typicalLengthWeight is the weight of one request in the typical length.
	typicalLengthWeight = 0.01
)

// typicalLength is the moving average of the prompt lengths of this node's requests,
// in tokens.
type typicalLength float64

func (t *typicalLength) learn(chain prefix.Chain) {
	n := float64(chain.Tokens())
	if *t == 0 {
		*t = typicalLength(n)
		return
	}
	*t += typicalLengthWeight * typicalLength(n-float64(*t))
}

// firstRoutingLevel returns the index of the first level of the chain that selects a
// replica set. It depends only on the chain itself and on the typical length, rounded
// down to a power of two so that nodes agree on it. A node that has just started
// therefore finds the same levels as its peers, long before it has measured any
// demand.
func (t typicalLength) firstRoutingLevel(chain prefix.Chain) int {
	threshold := chain.Tokens() / routingLengthDivisor
	if t > 0 {
		threshold = min(threshold, int(t)/routingLengthDivisor)
	}
	minTokens := 1 << max(0, bits.Len(uint(threshold))-1)
	for i, l := range chain {
		if l.Tokens >= minTokens {
			return i
		}
	}
	return 0
}
