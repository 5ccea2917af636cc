package journal

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// maxSpent bounds how many ended claims of one key are remembered.
const maxSpent = 16

// Verdict is what the log says about a claim.
type Verdict uint8

const (
	// Undecided claims have not been read back yet.
	Undecided Verdict = iota
	// Won claims are the first of their key: their writer may send once.
	Won
	// Lost claims came after another claim of the key.
	Lost
	// Expired claims are of a key that the journal has forgotten.
	Expired
	// NotCovered claims are of a key that is older than what was read back.
	NotCovered
)

// Holder is the claim that a key belongs to.
type Holder struct {
	ID      ClaimID
	Request RequestHash
	KeyTime int64 // milliseconds since 1970
	Stamp   int64 // of the batch that brought the claim
	Outcome Outcome
	Status  int
}

// entry is all that the journal knows of one key.
type entry struct {
	held   bool
	holder Holder
	// spent are claims that lost or ended without running. A copy of one of
	// them that reaches the log later, after its append's answer was lost,
	// must not take the key: its writer will never send, and the key would
	// stay taken for the whole horizon.
	spent []ClaimID
}

// State is the fold over one partition's stream: the same records in the
// same order give the same state on every node. It is not safe for
// concurrent use.
type State struct {
	settings Settings
	next     platform.Offset // the offset to read next
	latest   int64           // highest stamp read
	covered  int64           // keys whose time is before it may have claims before the first record read
	floor    int64           // keys whose time is before it have been forgotten
	entries  map[KeyHash]*entry
}

// newState gives a state that begins before offset next and is complete for
// keys made at covered or later.
func newState(s Settings, next platform.Offset, covered int64) *State {
	return &State{settings: s, next: next, covered: covered, entries: map[KeyHash]*entry{}}
}

// Apply folds one record in and gives the batch it held. A record that was
// applied before, or that can't be read, changes nothing but the offset.
func (s *State) Apply(r platform.Record) (Batch, error) {
	if r.Offset < s.next {
		return Batch{}, nil
	}
	s.next = r.Offset + 1
	b, err := decodeBatch(r.Body)
	if err != nil {
		return Batch{}, err
	}
	s.latest = max(s.latest, b.Stamp)
	for _, c := range b.Claims {
		s.claim(c, b.Stamp)
	}
	for _, o := range b.Outcomes {
		s.outcome(o)
	}
	return b, nil
}

// claim gives the key to the first claim in log order.
func (s *State) claim(c ClaimRecord, stamp int64) {
	// A forgotten key may have run. Its entry was dropped by the same floor
	// that refuses the claim here, so the key can't pass for a new one.
	if c.KeyTime < s.floor {
		return
	}
	e := s.entries[c.Key]
	if e == nil {
		e = &entry{}
		s.entries[c.Key] = e
	}
	if slices.Contains(e.spent, c.ID) {
		return
	}
	if !e.held {
		e.held = true
		e.holder = Holder{ID: c.ID, Request: c.Request, KeyTime: c.KeyTime, Stamp: stamp}
		return
	}
	if e.holder.ID != c.ID {
		e.spend(c.ID)
	}
}

// outcome ends a claim. NotRun frees the key for the next claim; it may come
// before its claim, if that one's append was held up.
func (s *State) outcome(o OutcomeRecord) {
	if o.KeyTime < s.floor {
		return
	}
	e := s.entries[o.Key]
	if e == nil {
		e = &entry{holder: Holder{KeyTime: o.KeyTime}}
		s.entries[o.Key] = e
	}
	mine := e.held && e.holder.ID == o.ID
	if o.Outcome == NotRun {
		e.spend(o.ID)
		if mine && e.holder.Outcome == Open {
			e.held = false
		}
		return
	}
	if mine && (e.holder.Outcome == Open || o.Outcome == Ran) {
		e.holder.Outcome = o.Outcome
		e.holder.Status = o.Status
	}
}

func (e *entry) spend(id ClaimID) {
	if slices.Contains(e.spent, id) {
		return
	}
	if len(e.spent) == maxSpent {
		e.spent = slices.Delete(e.spent, 0, 1)
	}
	e.spent = append(e.spent, id)
}

// Expire forgets the keys that are past the horizon by the log's time and by
// this node's clock. One clock that runs ahead, here or at the writer of a
// record, thus can't make a node forget a key that it still accepts.
func (s *State) Expire(now int64) {
	floor := min(s.latest, now) - s.settings.Horizon.Milliseconds() - s.settings.lead().Milliseconds()
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for k, e := range s.entries {
		if e.holder.KeyTime < floor {
			delete(s.entries, k)
		}
	}
}

// Look says what stands in the way of a new claim: Undecided if nothing.
func (s *State) Look(c ClaimRecord) (Verdict, Holder) {
	if c.KeyTime < s.floor {
		return Expired, Holder{}
	}
	if c.KeyTime < s.covered {
		return NotCovered, Holder{}
	}
	e := s.entries[c.Key]
	switch {
	case e == nil:
		return Undecided, Holder{}
	case e.held && e.holder.ID == c.ID:
		return Won, e.holder
	case e.held:
		return Lost, e.holder
	case slices.Contains(e.spent, c.ID):
		return Lost, Holder{}
	}
	return Undecided, Holder{}
}
