// Package memory accounts for the bytes that a process holds for the clients of its listeners and for
// the answers of upstreams, and bounds their sum.
package memory

import (
	"errors"
	"math"
	"sync"
	"time"
)

var (
	// ErrExhausted means that no memory is left, and that no other claim would give way.
	ErrExhausted = errors.New("memory: no memory is left for requests and answers of this size")
	// ErrRevoked means that a claim had to give way to another one.
	ErrRevoked = errors.New("memory: the claim gave way to another one")
)

// SmallBytes is the size up to which a claim may use the reserve of a Budget. It covers the head of a usual
// request and a short body.
const SmallBytes = 64 << 10

// Budget bounds the sum of its claims. Its methods are safe for concurrent use.
//
// When the budget is spent, claims that are revocable give way: among the claims of the owner that holds most, the
// one that has been revocable longest. A request that makes progress like others is complete before.
type Budget struct {
	limit int64 // bytes
	// reserve is the part of limit that only small claims may use, so that an ordinary request needs nothing that large
	// ones hold.
	reserve int64

	mu       sync.Mutex       // guards the fields below, and all fields of claims
	held     int64            // bytes of all claims
	revoking int64            // bytes of claims that are revoked and not released yet
	byOwner  map[string]int64 // bytes of the claims of each owner that holds any
	// revocable holds the claims that may have to give way.
	revocable map[*Claim]struct{}
	changed   chan struct{} // closed and replaced when bytes are given back or a claim is revoked
	stats     Stats
}

// Stats counts what a Budget has decided.
type Stats struct {
	Held    int64  // bytes held now
	Limit   int64  // bytes
	Refused uint64 // claims that got no memory
	Revoked uint64 // claims that gave way
	// TopOwner is the owner that holds most, and TopBytes what it holds.
	TopOwner string
	TopBytes int64
}

// NewBudget returns a Budget of limit bytes, of which only claims of up to SmallBytes may use the reserve.
func NewBudget(limit, reserve int64) *Budget {
	return &Budget{limit: limit, reserve: reserve, byOwner: map[string]int64{}, revocable: map[*Claim]struct{}{}, changed: make(chan struct{})}
}

// Unlimited returns a Budget that refuses nothing.
func Unlimited() *Budget { return NewBudget(math.MaxInt64, 0) }

// Stats returns the current counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Held, s.Limit = b.held, b.limit
	for owner, bytes := range b.byOwner {
		if bytes > s.TopBytes || bytes == s.TopBytes && owner < s.TopOwner {
			s.TopOwner, s.TopBytes = owner, bytes
		}
	}
	return s
}

// Claim is what one request or answer holds. It is resized and released by one goroutine at a time.
type Claim struct {
	budget *Budget
	// interrupt makes the owner of a revoked claim release it soon. It is called once, and must not block.
	interrupt func()

	bytes   int64
	owner   string
	since   time.Time // since when the claim is revocable
	revoked bool
}

// NewClaim returns a claim of no bytes. Interrupt is called if the claim is revoked; nil for one that never is.
func (b *Budget) NewClaim(interrupt func()) *Claim {
	return &Claim{budget: b, interrupt: interrupt}
}

// SetOwner names who holds the claim: a workspace, or nobody as long as it isn't known.
func (c *Claim) SetOwner(name string) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.setOwner(name)
}

func (c *Claim) setOwner(name string) {
	c.budget.addTo(c.owner, -c.bytes)
	c.owner = name
	c.budget.addTo(c.owner, c.bytes)
}

// addTo changes the bytes of an owner. The caller holds the lock.
func (b *Budget) addTo(owner string, bytes int64) {
	if b.byOwner[owner] += bytes; b.byOwner[owner] == 0 {
		delete(b.byOwner, owner)
	}
}

// AllowRevoke makes the claim give way from now on if others need its memory.
func (c *Claim) AllowRevoke(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.since = now
	c.budget.revocable[c] = struct{}{}
}

// Keep ends AllowRevoke. It returns ErrRevoked if the claim has been revoked already.
func (c *Claim) Keep() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	delete(c.budget.revocable, c)
	return c.err()
}

// Err returns ErrRevoked if the claim has been revoked.
func (c *Claim) Err() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.err()
}

func (c *Claim) err() error {
	if c.revoked {
		return ErrRevoked
	}
	return nil
}

// Resize makes the claim hold so many bytes in all. If the budget is spent it revokes others and waits until they have
// released their memory. The claim is unchanged after an error.
func (c *Claim) Resize(bytes int64) error {
	for {
		revoked, wait, err := c.tryResize(bytes)
		for _, r := range revoked {
			r.interrupt()
		}
		if wait == nil {
			return err
		}
		<-wait
	}
}

// tryResize resizes the claim or returns a channel on which to wait before the next try. The caller interrupts the
// claims that were revoked.
func (c *Claim) tryResize(bytes int64) (revoked []*Claim, wait <-chan struct{}, err error) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.revoked {
		return nil, nil, ErrRevoked
	}
	more, limit := bytes-c.bytes, b.limitOf(bytes)
	if more <= 0 || b.held+more <= limit {
		c.set(bytes)
		return nil, nil, nil
	}
	for b.held-b.revoking+more > limit {
		v := b.nextToRevoke()
		if v == nil || v == c {
			b.stats.Refused++
			return revoked, nil, ErrExhausted
		}
		b.revoke(v)
		revoked = append(revoked, v)
	}
	return revoked, b.changed, nil
}

// HoldReady makes the claim hold an answer that is ready, and lets it give way from now on. The answer is in memory
// already, and is delivered even if others don't make room for it.
func (c *Claim) HoldReady(now time.Time, bytes int64) {
	if c.Resize(bytes) != nil {
		c.budget.mu.Lock()
		c.set(bytes)
		c.budget.mu.Unlock()
	}
	c.AllowRevoke(now)
}

// Release gives all bytes back. The claim can be used for a further request afterwards.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.revocable, c)
	c.set(0)
	c.setOwner("")
	c.revoked = false
}

// set changes the bytes of the claim. The caller holds the lock.
func (c *Claim) set(bytes int64) {
	b, more := c.budget, bytes-c.bytes
	b.held += more
	b.addTo(c.owner, more)
	if c.revoked {
		b.revoking += more
	}
	c.bytes = bytes
	if more < 0 {
		b.broadcast()
	}
}

func (b *Budget) limitOf(bytes int64) int64 {
	if bytes <= SmallBytes {
		return b.limit
	}
	return b.limit - b.reserve
}

// nextToRevoke returns the claim that gives way next, or nil if none does.
func (b *Budget) nextToRevoke() *Claim {
	var next *Claim
	for c := range b.revocable {
		if c.bytes == 0 {
			continue
		}
		if next == nil || b.byOwner[c.owner] > b.byOwner[next.owner] ||
			b.byOwner[c.owner] == b.byOwner[next.owner] && c.since.Before(next.since) {
			next = c
		}
	}
	return next
}

// revoke marks a claim as revoked. The caller holds the lock, and interrupts it afterwards.
func (b *Budget) revoke(c *Claim) {
	delete(b.revocable, c)
	c.revoked = true
	b.revoking += c.bytes
	b.stats.Revoked++
	b.broadcast()
}

func (b *Budget) broadcast() {
	close(b.changed)
	b.changed = make(chan struct{})
}
