package journal

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// maxVoidClaims bounds the void claims remembered per key.
const maxVoidClaims = 16

// Verdict is the log's decision on a claim.
type Verdict uint8

const (
	// Undecided claims have not been read back yet.
	Undecided Verdict = iota
	// Won claims are the first of their key; their writer may send the
	// request once.
	Won
	// Lost claims came after another claim of the same key.
	Lost
	// Expired claims have a key that the journal has forgotten.
	Expired
	// NotCovered claims have a key older than the part of the log that was
	// read back.
	NotCovered
)

// Holder is the claim that holds a key.
type Holder struct {
	ID      ClaimID
	Request RequestHash
	KeyTime int64 // milliseconds since 1970
	Stamp   int64 // of the batch that contained the claim
	Outcome Outcome
	Status  int
}

// keyState is what the journal knows about one key.
type keyState struct {
	held   bool
	holder Holder
	// voidClaims are claims that lost or ended without running. If the answer
	// to the append of one of them is lost, a copy may reach the log later.
	// The copy must not take the key: its writer will never send the request,
	// and the key would stay taken for the whole horizon.
	voidClaims []ClaimID
}

// PartitionState is the fold over one partition's stream: the same records in
// the same order give the same state on every node. It is not safe for
// concurrent use.
type PartitionState struct {
	settings      Settings
	nextOffset    platform.Offset // offset of the next record to read
	latestStamp   int64           // highest stamp read, in milliseconds since 1970
	coveredFrom   int64           // keys made earlier may have claims before the first record read
	expiredBefore int64           // keys made earlier have been forgotten
	keys          map[KeyHash]*keyState
}

// newState returns an empty state that reads from offset next and will be
// complete for keys made at covered or later, in milliseconds since 1970.
func newState(s Settings, next platform.Offset, covered int64) *PartitionState {
	return &PartitionState{settings: s, nextOffset: next, coveredFrom: covered, keys: map[KeyHash]*keyState{}}
}

// Apply folds one record into the state and returns the batch in it. A record
// that was already applied, or that cannot be decoded, changes nothing but
// the offset.
func (s *PartitionState) Apply(r platform.Record) (Batch, error) {
	if r.Offset < s.nextOffset {
		return Batch{}, nil
	}
	s.nextOffset = r.Offset + 1
	b, err := decodeBatch(r.Body)
	if err != nil {
		return Batch{}, err
	}
	s.latestStamp = max(s.latestStamp, b.Stamp)
	for _, c := range b.Claims {
		s.applyClaim(c, b.Stamp)
	}
	for _, o := range b.Outcomes {
		s.applyOutcome(o)
	}
	return b, nil
}

// applyClaim gives the key to the first claim in log order.
func (s *PartitionState) applyClaim(c ClaimRecord, stamp int64) {
	// A forgotten key may have run. Its state was deleted by the same bound
	// that rejects the claim here, so the key cannot be taken for a new one.
	if c.KeyTime < s.expiredBefore {
		return
	}
	e := s.keys[c.Key]
	if e == nil {
		e = &keyState{}
		s.keys[c.Key] = e
	}
	if slices.Contains(e.voidClaims, c.ID) {
		return
	}
	if !e.held {
		e.held = true
		e.holder = Holder{ID: c.ID, Request: c.Request, KeyTime: c.KeyTime, Stamp: stamp}
		return
	}
	if e.holder.ID != c.ID {
		e.markVoid(c.ID)
	}
}

// applyOutcome ends a claim. NotRun frees the key for the next claim. An
// outcome may precede its claim in the log, if the append of the claim was
// delayed.
func (s *PartitionState) applyOutcome(o OutcomeRecord) {
	if o.KeyTime < s.expiredBefore {
		return
	}
	e := s.keys[o.Key]
	if e == nil {
		e = &keyState{holder: Holder{KeyTime: o.KeyTime}}
		s.keys[o.Key] = e
	}
	isHolder := e.held && e.holder.ID == o.ID
	if o.Outcome == NotRun {
		e.markVoid(o.ID)
		if isHolder && e.holder.Outcome == Open {
			e.held = false
		}
		return
	}
	if isHolder && (e.holder.Outcome == Open || o.Outcome == Ran) {
		e.holder.Outcome = o.Outcome
		e.holder.Status = o.Status
	}
}

func (e *keyState) markVoid(id ClaimID) {
	if slices.Contains(e.voidClaims, id) {
		return
	}
	if len(e.voidClaims) == maxVoidClaims {
		e.voidClaims = slices.Delete(e.voidClaims, 0, 1)
	}
	e.voidClaims = append(e.voidClaims, id)
}

// Expire forgets the keys that are past the horizon both by the stamps in the
// log and by this node's clock, now, in milliseconds since 1970. One clock
// that is ahead, here or at the writer of a record, therefore cannot make a
// node forget a key that it still accepts.
func (s *PartitionState) Expire(now int64) {
	floor := min(s.latestStamp, now) - s.settings.Horizon.Milliseconds() - s.settings.maxClaimLead().Milliseconds()
	if floor <= s.expiredBefore {
		return
	}
	s.expiredBefore = floor
	for k, e := range s.keys {
		if e.holder.KeyTime < floor {
			delete(s.keys, k)
		}
	}
}

// Lookup returns the verdict on a claim and the holder of its key. It returns
// Undecided if the log does not decide the claim yet.
func (s *PartitionState) Lookup(c ClaimRecord) (Verdict, Holder) {
	if c.KeyTime < s.expiredBefore {
		return Expired, Holder{}
	}
	if c.KeyTime < s.coveredFrom {
		return NotCovered, Holder{}
	}
	e := s.keys[c.Key]
	switch {
	case e == nil:
		return Undecided, Holder{}
	case e.held && e.holder.ID == c.ID:
		return Won, e.holder
	case e.held:
		return Lost, e.holder
	case slices.Contains(e.voidClaims, c.ID):
		return Lost, Holder{}
	}
	return Undecided, Holder{}
}
