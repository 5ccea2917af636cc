package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBurst is how many requests a sender may be ahead of its rate. With one, a sender
	// that gets two requests at once leaves a third of its rate unused.
	minBurst = 2.0
	// minSenderRate is the least rate of a sender where there are several, so that all of
	// them are ahead by no more than what the upstream takes in a second.
	minSenderRate = minBurst
	// burstTime is the time for which a sender may save up its rate.
	burstTime = 250 * time.Millisecond
	// shareInterval is how long a node uses its part of a rate before it determines it
	// again from the live nodes.
	shareInterval = 500 * time.Millisecond
)

// burst returns how many requests a sender may be ahead of its rate; 0 for a node that is
// no sender.
func burst(ownRate float64) float64 {
	if ownRate == 0 {
		return 0
	}
	return max(minBurst, ownRate*burstTime.Seconds())
}

// ownRate returns the part of an upstream's rate that a node may send; 0 if it is no
// sender. The senders are the nodes with the highest scores: nodes that know the same nodes
// and weights choose the same senders, and another node's coming or going changes one of them
// at most. They divide the rate by their weights, which are in the order of the nodes; nil stands for
// equal ones.
func ownRate(node string, nodes []string, upstream string, rate float64, weights []float64) float64 {
	senders := max(1, min(len(nodes), int(rate/minSenderRate)))
	if weights == nil {
		if !isSender(node, nodes, upstream, senders) {
			return 0
		}
		return rate / float64(senders)
	}
	own, sum := 0.0, 0.0
	for _, s := range chooseSenders(nodes, upstream, senders, weights) {
		sum += s.weight
		if s.node == node {
			own = s.weight
		}
	}
	if own == 0 {
		return 0
	}
	return rate * own / sum
}

// sender is a node that may be chosen to send requests to an upstream.
type sender struct {
	node          string
	score, weight float64
}

// chooseSenders returns the nodes with the highest scores.
func chooseSenders(nodes []string, upstream string, count int, weights []float64) []sender {
	all := make([]sender, len(nodes))
	for i, n := range nodes {
		all[i] = sender{node: n, score: senderScore(senderHash(n, upstream), weights[i]), weight: weights[i]}
	}
	slices.SortFunc(all, func(a, b sender) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node)) })
	return all[:min(count, len(all))]
}

// senderScore returns the score of a node by weighted rendezvous hashing: of two nodes, one with
// twice the weight is ahead of the other for two of three upstreams.
func senderScore(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / weight
}

// isSender reports whether a node is one of a number of senders to an upstream, where all nodes have
// the same weight: one of those with the highest hashes.
func isSender(node string, nodes []string, upstream string, senders int) bool {
	own, ahead, listed := senderHash(node, upstream), 0, false
	for _, n := range nodes {
		if n == node {
			listed = true
			continue
		}
		if h := senderHash(n, upstream); h > own || h == own && n < node {
			ahead++
		}
	}
	return listed && ahead < senders
}

func senderHash(node, upstream string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(node) // never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
