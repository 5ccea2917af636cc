package ratelimit

import (
	"time"

	"github.com/samber/lo"
)

// slotShare is how many of an upstream's slots this node may use, as determined at a time.
type slotShare struct {
	slots int
	at    time.Time
}

// LimitedUpstreams returns the upstreams that have a limit.
func (r *Limiter) LimitedUpstreams() []string {
	if r.count.Load() == 0 {
		return nil // as at nearly all times
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Keys(lo.PickBy(r.upstreams, func(_ string, s *state) bool { return s.limit.Limited }))
}

// SlotShare returns how many of an upstream's slots this node may use at a time, if all nodes together
// must not use more than its slots. It serves limits of the requests that an upstream may reject in
// a second: one that holds no more requests than it has slots rejects none for lack of room.
func (r *Limiter) SlotShare(now time.Time, name string, slots int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	share, ok := r.shares[name]
	if !ok || now.Sub(share.at) >= shareInterval {
		share = slotShare{slots: ownSlots(r.node, r.nodes, name, max(1, slots)), at: now}
		r.shares[name] = share
	}
	return share.slots
}

// ownSlots returns the part of an upstream's slots that a node may use. Where there are fewer slots
// than nodes, those with the highest hashes have one each.
func ownSlots(node string, nodes []string, upstream string, slots int) int {
	users := min(len(nodes), slots)
	if users == 0 || !isSender(node, nodes, upstream, users) {
		return 0
	}
	return slots / users
}
