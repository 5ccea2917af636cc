package returning

import (
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/request/decay"
	"github.com/dunlinmill/dunlinmill/request/limit"
)

// maxCarry is how many retries that earlier slots had room for are promised in a later
// one. More would be promised in one slot after a time without rejections.
const maxCarry = 1

// idleCount is the decayed number of sent requests below which a node has sent nothing
// recently: one request counts for less after three times ServedDecay.
const idleCount = 0.05

// kindState is what is known of one kind.
type kindState struct {
	usedAt time.Time
	grants grants
	served decay.Sum
	// promised holds the retries that are promised in each slot, from the present one to
	// the last that a caller could be told.
	promised  []int
	slotStart time.Time // of the present slot
	// credit is how many retries the slots before the present one had room for and did
	// not get; negative if they got more.
	credit float64
}

// newKindState returns a state with a credit that depends on the seed, as nodes would
// otherwise leave the same slots empty.
func newKindState(now time.Time, cfg Config, kind string) *kindState {
	return &kindState{usedAt: now, slotStart: now, credit: limit.Jitter(cfg.Seed, kind)}
}

// take promises a retry in the first slot with room that lies between the times earliest
// and latest from now, and returns the time from now to the start of the slot. It returns
// false if there is none.
func (k *kindState) take(now time.Time, cfg Config, earliest, latest time.Duration) (time.Duration, bool) {
	perSlot := k.perSlot(now, cfg)
	k.advance(now, cfg.SlotLength, perSlot)
	credit := k.credit
	start := k.slotStart.Sub(now)
	for i := 0; start+cfg.SlotLength <= latest; i++ {
		if i == len(k.promised) {
			k.promised = append(k.promised, 0)
		}
		credit = creditAfter(credit, perSlot, k.promised[i])
		if start >= earliest && credit >= 1 {
			k.promised[i]++
			return start, true
		}
		start += cfg.SlotLength
	}
	return 0, false
}

// perSlot returns how many retries may be promised per slot.
func (k *kindState) perSlot(now time.Time, cfg Config) float64 {
	sent := k.served.ValueAt(now, cfg.ServedDecay)
	if sent < idleCount {
		return cfg.IdleSlotShare
	}
	return cfg.RetryShare * sent * cfg.SlotLength.Seconds() / cfg.ServedDecay.Seconds()
}

// creditAfter returns the credit after a slot.
func creditAfter(credit, perSlot float64, promised int) float64 {
	return min(credit, maxCarry) + perSlot - float64(promised)
}

// advance removes the slots before now.
func (k *kindState) advance(now time.Time, slotLength time.Duration, perSlot float64) {
	n := int(now.Sub(k.slotStart) / slotLength)
	if n <= 0 {
		return
	}
	k.slotStart = k.slotStart.Add(time.Duration(n) * slotLength)
	known := min(n, len(k.promised))
	for _, promised := range k.promised[:known] {
		k.credit = creditAfter(k.credit, perSlot, promised)
	}
	k.credit = min(k.credit+float64(n-known)*perSlot, maxCarry)
	k.promised = slices.Delete(k.promised, 0, known)
}

// grants remembers the largest grant of two successive periods.
type grants struct {
	current, previous time.Duration
	since             time.Time // start of the current period
}

func (g *grants) record(now time.Time, memory, grant time.Duration) {
	g.advance(now, memory)
	g.current = max(g.current, grant)
}

// largest returns the largest recent grant; 0 if there is none.
func (g *grants) largest(now time.Time, memory time.Duration) time.Duration {
	g.advance(now, memory)
	return max(g.current, g.previous)
}

func (g *grants) advance(now time.Time, memory time.Duration) {
	switch age := now.Sub(g.since); {
	case age >= 2*memory:
		*g = grants{since: now}
	case age >= memory:
		*g = grants{previous: g.current, since: g.since.Add(memory)}
	}
}
