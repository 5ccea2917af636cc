package placement

// ways is how many places a key has in a table. Eight keys fill one cache
// line.
const ways = 8

// table is a map of bounded size from hashes to values. A new key takes the
// place of the one of eight that was used longest ago, so that the memory is
// fixed, nothing has to be swept, and the garbage collector sees no pointers.
type table[V any] struct {
	keys   []uint64
	stamps []tick
	values []V
	mask   uint64 // of the sets of ways keys
}

// newTable gives a table for at least n keys.
func newTable[V any](n int) table[V] {
	sets := 1
	for sets*ways < n {
		sets *= 2
	}
	return table[V]{
		keys:   make([]uint64, sets*ways),
		stamps: make([]tick, sets*ways),
		values: make([]V, sets*ways),
		mask:   uint64(sets - 1),
	}
}

// find gives the key's place, or the place to put it and false.
func (t *table[V]) find(key uint64) (int, bool) {
	first := int(key&t.mask) * ways
	oldest := first
	for i := first; i < first+ways; i++ {
		if t.keys[i] == key {
			return i, true
		}
		if t.stamps[i] < t.stamps[oldest] {
			oldest = i
		}
	}
	return oldest, false
}

// get gives the key's value and when it was put last; nil if it isn't there.
func (t *table[V]) get(key uint64) (*V, tick) {
	i, ok := t.find(key)
	if !ok || t.stamps[i] == 0 {
		return nil, 0
	}
	return &t.values[i], t.stamps[i]
}

// put gives the key's value, a zero one if it is new, and stamps it.
func (t *table[V]) put(key uint64, at tick) *V {
	i, ok := t.find(key)
	if !ok || t.stamps[i] == 0 {
		var zero V
		t.keys[i], t.values[i] = key, zero
	}
	t.stamps[i] = max(at, 1)
	return &t.values[i]
}

// drop forgets the key.
func (t *table[V]) drop(key uint64) {
	if i, ok := t.find(key); ok {
		t.stamps[i] = 0
	}
}
