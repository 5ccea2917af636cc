package placement

const (
	minRetention = 2.0
	maxRetention = 600.0
	// minEvidenceAge is the least age of an entry, in seconds, from which an answer
	// tells something about the retention. A younger entry may concern a prompt that
	// is still being computed.
	minEvidenceAge = 1.0
	// retentionMargin is the factor by which the retention exceeds the age of an entry
	// that an answer has confirmed.
	retentionMargin = 1.5
	// retentionWeight is the weight of one answer in the learnt retention.
	retentionWeight = 0.1
)

// maxHolders bounds the holders that are stored by name for one level. If more
// upstreams hold the level, these are a sample; one decision has no use for more.
const maxHolders = 8

// holders are the identifiers of upstreams that are expected to hold a level; 0 marks
// a free place.
type holders [maxHolders]uint16

// cacheEntry is what is known about one level in the cache of one upstream.
type cacheEntry struct {
	// pending means that a request with the level was sent to the upstream and that
	// nothing has confirmed since that the level is cached there.
	pending bool
}

// cacheIndex stores what is known about the caches of all upstreams, in two bounded
// tables. The first is keyed by the level and the upstream's epoch, which changes with
// its incarnation and its weights version: entries of an earlier epoch are no longer
// found, and none has to be removed. The second lists the upstreams that may hold a
// level and only says where to look in the first.
type cacheIndex struct {
	entries table[cacheEntry]
	holders table[holders]
}

func newCacheIndex(n int) cacheIndex {
	return cacheIndex{entries: newTable[cacheEntry](n), holders: newTable[holders](n / 2)}
}

func (c *cacheIndex) markCached(m *member, level uint64, at tick) {
	c.entries.put(mix(level, m.engine.epoch), at).pending = false
	c.addHolder(m, level, at)
}

// markPending records that a request in flight will bring the level.
func (c *cacheIndex) markPending(m *member, level uint64, at tick) {
	key := mix(level, m.engine.epoch)
	if v, _ := c.entries.get(key); v != nil && !v.pending {
		return
	}
	c.entries.put(key, at).pending = true
	c.addHolder(m, level, at)
}

func (c *cacheIndex) addHolder(m *member, level uint64, at tick) {
	h := c.holders.put(level, at)
	free := int(at) % maxHolders
	for i, id := range h {
		if id == m.id {
			return
		}
		if id == 0 {
			free = i
		}
	}
	h[free] = m.id
}

const (
	// maxReportDelay is how old an engine's own cache report may be, in seconds: the
	// engine's delay, the polling interval and the transfer time, doubled for safety.
	// Knowledge from a younger answer overrides the report.
	maxReportDelay = 0.25
	// pendingLife is how long a request in flight is expected to bring a level that
	// the engine does not report yet, in seconds. It is several times the prefill time
	// of a long prompt.
	pendingLife = 1.0
)

// markAbsent records that an engine's cache report, which may be lag seconds older
// than usual, does not list a level. An entry that may be newer than the report, or
// that a request in flight is about to confirm, stays.
func (c *cacheIndex) markAbsent(m *member, level uint64, at tick, lag float64) {
	v, stamp := c.entries.get(mix(level, m.engine.epoch))
	if v == nil {
		return
	}
	age := elapsed(stamp, at)
	if age < maxReportDelay+lag || v.pending && age < pendingLife+lag {
		return
	}
	c.remove(m, level)
}

func (c *cacheIndex) remove(m *member, level uint64) {
	c.entries.drop(mix(level, m.engine.epoch))
	if h, _ := c.holders.get(level); h != nil {
		for i, id := range h {
			if id == m.id {
				h[i] = 0
			}
		}
	}
}

// get returns the entry of a level and its age in seconds.
func (c *cacheIndex) get(m *member, level uint64, at tick) (entry cacheEntry, age float64, ok bool) {
	stored, stamp := c.entries.get(mix(level, m.engine.epoch))
	if stored == nil {
		return cacheEntry{}, 0, false
	}
	return *stored, elapsed(stamp, at), true
}

// retention is the age, in seconds, at which half of the entries for an upstream's
// cache no longer hold. It is learnt from answers. Caches evict the least recently
// used prefix first, so that young entries almost always hold and old ones almost
// never: the probability drops steeply around the retention.
type retention float64

func (r retention) survivalChance(age float64) float64 {
	x := age / float64(r)
	return 1 / (1 + x*x*x*x)
}

// learn updates the retention with an answer that showed whether a prefix of which
// nothing had been heard for age seconds was still cached.
func (r retention) learn(age float64, cached bool) retention {
	switch {
	case age < minEvidenceAge:
	case cached && retentionMargin*age > float64(r):
		r += retention(retentionWeight * (retentionMargin*age - float64(r)))
	case !cached && age < float64(r):
		r -= retention(retentionWeight * (float64(r) - age))
	}
	return min(max(r, minRetention), maxRetention)
}
