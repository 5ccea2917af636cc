package placement

const (
	// minAssumedTokens is how many tokens have to be assumed for an answer to show
	// whether the assumption was right.
	minAssumedTokens = 64
	// accuracyWeight is the weight of one answer in the accuracy.
	accuracyWeight = 0.05
	// minAccuracy keeps an assumption from being given up for good: at a lower
	// accuracy it would decide so little that few answers could restore it.
	minAccuracy = 0.05
)

// accuracy is the fraction of recent assumptions of one kind that were right, from 0
// to 1. It weights the next assumptions of that kind, so that each kind counts for as
// much as it is worth on the engines in use.
type accuracy float64

// learn processes an answer by which found tokens of the assumed ones were cached.
func (t *accuracy) learn(found, assumed float64) {
	if assumed < minAssumedTokens {
		return
	}
	fraction := min(max(0, found), assumed) / assumed
	*t = max(minAccuracy, *t+accuracyWeight*(accuracy(fraction)-*t))
}

// coverage is the fraction of the cached prefixes that this node knows about, from
// events or answers. It is 0 in a node that has just started, and drops when events
// are lost or left out.
type coverage float64

// coverageWeight is the weight of one answer in the coverage.
const coverageWeight = 0.02

// maxAssumedChance bounds the probability of what is only assumed: even a frequently
// used prefix is not cached on a member that has just joined its replica set.
const maxAssumedChance = 0.9

// learn processes an answer by which found tokens were cached, of which this node knew
// the given number.
func (c *coverage) learn(known, found int) {
	if found >= minAssumedTokens {
		*c += coverageWeight * (coverage(known)/coverage(found) - *c)
	}
}

// chanceIfUnreported returns the probability that a prefix is cached although nothing
// has reported it, from the probability without regard to that (Bayes' rule): a node
// that receives all events concludes from silence that the prefix is not cached.
func (c coverage) chanceIfUnreported(chance float64) float64 {
	chance = min(chance, maxAssumedChance)
	cachedUnreported := chance * (1 - float64(c))
	return cachedUnreported / (cachedUnreported + 1 - chance)
}
