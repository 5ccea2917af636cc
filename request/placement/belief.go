package placement

import "math"

const (
	// firstRetention is how long a prefix is believed to stay in a cache, in
	// seconds, until answers have told more.
	firstRetention = 30.0
	leastRetention = 2.0
	mostRetention  = 600.0
	// forgetful is the age from which a belief says something about the
	// retention, in seconds; younger ones may meet a prompt that is still
	// being computed.
	forgetful = 1.0
)

// beliefs is what the policy holds about the caches of all upstreams, in one
// bounded table. The key is made of the level and the upstream's epoch, which
// changes with its incarnation and its weights version: what was known before
// can't be found any more, with nothing to sweep.
type beliefs struct{ table table[struct{}] }

func newBeliefs(n int) beliefs { return beliefs{newTable[struct{}](n)} }

func (b *beliefs) note(epoch, level uint64, at tick) { b.table.put(mix(level, epoch), at) }

func (b *beliefs) drop(epoch, level uint64) { b.table.drop(mix(level, epoch)) }

// age gives how long ago, in seconds, the level was known to be cached.
func (b *beliefs) age(epoch, level uint64, at tick) (float64, bool) {
	v, stamp := b.table.get(mix(level, epoch))
	if v == nil {
		return 0, false
	}
	return seconds(stamp, at), true
}

// retention is how long an upstream's cache keeps what isn't used, in
// seconds; it is learnt from the answers. A belief's weight falls with its
// age by exp(-age/retention), so that each is perishable.
type retention float64

func (r retention) keeps(age float64) float64 { return math.Exp(-age / float64(r)) }

// learn takes in that a prefix unused for age was still cached, or not.
func (r retention) learn(age float64, cached bool) retention {
	if age < forgetful {
		return r
	}
	if cached {
		r += retention(0.05 * age)
	} else {
		r -= retention(0.25 * float64(r) * r.keeps(age))
	}
	return min(max(r, leastRetention), mostRetention)
}
