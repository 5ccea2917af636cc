package placement

// ways is the number of slots that a key may occupy in a table. Eight keys fill one
// cache line.
const ways = 8

// table is a map of bounded size from hashes to values. A new key replaces the least
// recently used of the eight keys in its set. Memory use is fixed, nothing has to be
// swept, and the garbage collector sees no pointers.
type table[V any] struct {
	keys   []uint64
	stamps []tick
	values []V
	mask   uint64 // selects a set of ways keys
}

// newTable returns a table for at least n keys.
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

// find returns the index of the key, or the index to store it at and false.
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

// get returns the key's value and when it was last put; nil if it is not present.
func (t *table[V]) get(key uint64) (*V, tick) {
	i, ok := t.find(key)
	if !ok || t.stamps[i] == 0 {
		return nil, 0
	}
	return &t.values[i], t.stamps[i]
}

// put returns the key's value, zero if the key is new, and sets its time.
func (t *table[V]) put(key uint64, at tick) *V {
	i, ok := t.find(key)
	if !ok || t.stamps[i] == 0 {
		var zero V
		t.keys[i], t.values[i] = key, zero
	}
	t.stamps[i] = max(at, 1)
	return &t.values[i]
}

// drop removes the key.
func (t *table[V]) drop(key uint64) {
	if i, ok := t.find(key); ok {
		t.stamps[i] = 0
	}
}
