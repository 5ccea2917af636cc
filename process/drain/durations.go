package drain

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// keptDurations is how many of a kind's last requests tell how long the next one will take.
	keptDurations = 32
	// usualShare is the share of them that took no longer than the usual duration.
	usualShare = 0.9
	// maxKinds bounds the kinds that are held.
	maxKinds = 1024
)

// Durations holds how long the last requests of each kind have taken. Its methods are safe for concurrent use.
type Durations struct {
	mu    sync.Mutex // guards kinds and their values
	kinds *lru.Cache[string, *recentDurations]
}

// recentDurations is a ring.
type recentDurations struct {
	all  []time.Duration
	next int
}

// NewDurations returns empty Durations.
func NewDurations() *Durations {
	kinds, err := lru.New[string, *recentDurations](maxKinds)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Durations{kinds: kinds}
}

// Record records how long a request of a kind has taken.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.kinds.Get(kind)
	if !ok {
		r = &recentDurations{}
		d.kinds.Add(kind, r)
	}
	if len(r.all) < keptDurations {
		r.all = append(r.all, took)
		return
	}
	r.all[r.next] = took
	r.next = (r.next + 1) % keptDurations
}

// Usual returns how long most requests of a kind take; 0 if there was none.
func (d *Durations) Usual(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.kinds.Get(kind)
	if !ok {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.all))
	return sorted[int(usualShare*float64(len(sorted)-1))]
}
