package fold

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// logEntry is a record and its offset on the log.
type logEntry struct {
	offset platform.Offset
	record record.Record
}

// Apply returns the state after one log record and the outcome of each envelope in
// it. An error means that the record isn't the next one. A body that can't be read
// changes nothing but the offset, so that every node skips it alike.
func (s State) Apply(r platform.Record) (State, []Outcome, error) {
	if r.Offset != s.Offset+1 {
		return s, nil, fmt.Errorf("offset %d after %d: %w", r.Offset, s.Offset, ErrOffset)
	}
	s.Offset = r.Offset
	s.Seen = dropExpired(s.Seen, r.Offset)
	records, err := record.Decode(r.Body)
	if err != nil {
		return s, nil, nil
	}
	outcomes := make([]Outcome, 0, len(records))
	for _, rec := range records {
		var o Outcome
		s, o = s.applyOnce(logEntry{offset: r.Offset, record: rec})
		outcomes = append(outcomes, o)
	}
	return s.pruned(), outcomes, nil
}

// applyOnce applies one envelope unless its id has been seen.
//
// Safeguard: an append whose answer was lost is repeated under the same id; without
// this check a lease would be taken or a step begun twice. The memory of ids can be
// bounded because of record.Window: a copy that arrives after its id was dropped is
// refused by its Base.
func (s State) applyOnce(e logEntry) (State, Outcome) {
	if known, ok := s.Outcome(e.record.ID); ok {
		return s, known
	}
	next, refusal := s.applyRecord(e)
	if refusal != nil {
		next = s
	}
	o := Outcome{ID: e.record.ID, Offset: e.offset, Refusal: refusal}
	if refusal != nil && refusal.Code == UnknownType {
		next.Unknown = append(slices.Clone(lastN(next.Unknown, MaxUnknown-1)), UnknownRecord{Offset: e.offset, Record: e.record})
	}
	if validID(e.record.ID) && (refusal == nil || refusal.Code != Expired) {
		next.Seen = append(slices.Clip(next.Seen), o)
	}
	return next, o
}

func validID(id string) bool { return id != "" && len(id) <= record.MaxID }

// applyRecord applies one record or refuses it.
//
// Safeguard: a record that makes the fold panic would stop every node, and again
// after each restart, until the log has trimmed it. As a state is never changed in
// place, refusing the record keeps the state before it whole.
func (s State) applyRecord(e logEntry) (next State, refusal *Refusal) {
	defer func() {
		if v := recover(); v != nil {
			next, refusal = s, refuse(Invalid, "record %s of type %s can't be applied: %v", e.record.ID, e.record.Type, v)
		}
	}()
	if !validID(e.record.ID) {
		return s, refuse(Invalid, "a record's id has %d bytes, 1 to %d allowed", len(e.record.ID), record.MaxID)
	}
	if e.record.Base >= e.offset || e.record.Base+record.Window < e.offset {
		return s, refuse(Expired, "record %s was made at offset %d and arrived at %d, more than %d later",
			e.record.ID, e.record.Base, e.offset, record.Window)
	}
	switch e.record.Type {
	case record.TypeBootstrap:
		return applyDecoded(s, e, State.bootstrap)
	case record.TypePropose:
		return applyDecoded(s, e, State.propose)
	case record.TypeConfirm:
		return applyDecoded(s, e, State.confirm)
	case record.TypeBeginStep:
		return applyDecoded(s, e, State.beginStep)
	case record.TypeFinishStep:
		return applyDecoded(s, e, State.finishStep)
	case record.TypeFailStep:
		return applyDecoded(s, e, State.failStep)
	case record.TypeTakeLease:
		return applyDecoded(s, e, State.takeLease)
	case record.TypeRenewLease:
		return applyDecoded(s, e, State.renewLease)
	case record.TypeReleaseLease:
		return applyDecoded(s, e, State.releaseLease)
	}
	return s, refuse(UnknownType, "record %s has the unknown type %q", e.record.ID, e.record.Type)
}

func applyDecoded[B any](s State, e logEntry, accept func(State, logEntry, B) (State, *Refusal)) (State, *Refusal) {
	var body B
	if err := json.Unmarshal(e.record.Body, &body); err != nil {
		return s, refuse(Invalid, "record %s: body: %v", e.record.ID, err)
	}
	return accept(s, e, body)
}

func (s State) bootstrap(e logEntry, b record.Bootstrap) (State, *Refusal) {
	if s.Config.Offset != 0 {
		return s, refuse(Invalid, "there is a configuration already, from offset %d", s.Config.Offset)
	}
	return s.withChanges(e, b.Changes, LastChange{Offset: e.offset})
}

// withChanges applies all changes or none.
func (s State) withChanges(e logEntry, changes []config.Change, t LastChange) (State, *Refusal) {
	c := s.Config
	newTouched := maps.Clone(s.Touched)
	for _, ch := range changes {
		var err error
		c, err = c.WithChange(ch)
		if err != nil {
			return s, refuse(Invalid, "record %s: %v", e.record.ID, err)
		}
		newTouched[record.ObjectOf(ch)] = t
	}
	if len(changes) > 0 {
		s.Config = c.WithOffset(e.offset)
		s.Touched = newTouched
	}
	return s, nil
}

func (s State) withPlan(p Plan) State {
	s.Plans = maps.Clone(s.Plans)
	s.Plans[p.ID] = p
	return s
}

func (p Plan) withStoryLine(e logEntry, format string, args ...any) Plan {
	line := StoryLine{Offset: e.offset, At: e.record.At, Text: fmt.Sprintf(format, args...)}
	p.Story = append(slices.Clone(lastN(p.Story, MaxStory-1)), line)
	return p
}

func lastN[T any](list []T, n int) []T {
	return list[max(0, len(list)-n):]
}

// dropExpired drops the ids of which no copy can be accepted any more.
func dropExpired(seen []Outcome, now platform.Offset) []Outcome {
	n := 0
	for n < len(seen) && seen[n].Offset+record.Window < now {
		n++
	}
	return seen[n:]
}

// pruned keeps the state within its bounds.
func (s State) pruned() State {
	s = s.prunedPlans(MaxProposed, func(p Plan) (bool, platform.Offset) { return p.Status == Proposed, p.Proposed })
	s = s.prunedPlans(MaxEnded, func(p Plan) (bool, platform.Offset) {
		return p.Status == Finished || p.Status == Aborted, p.Ended
	})
	return s.prunedTouches()
}

func (s State) prunedPlans(most int, class func(Plan) (bool, platform.Offset)) State {
	var ids []string
	for id, p := range s.Plans {
		if in, _ := class(p); in {
			ids = append(ids, id)
		}
	}
	if len(ids) <= most {
		return s
	}
	slices.SortFunc(ids, func(a, b string) int {
		_, x := class(s.Plans[a])
		_, y := class(s.Plans[b])
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
	})
	s.Plans = maps.Clone(s.Plans)
	for _, id := range ids[:len(ids)-most] {
		delete(s.Plans, id)
	}
	return s
}

// pruneEvery is the interval, in offsets, at which removed objects are searched for,
// because the search goes through all objects.
const pruneEvery = 64

// prunedTouches drops removed objects from Touched once no plan that may still be
// confirmed was made before the removal. Plans older than the window are refused when
// they are proposed.
func (s State) prunedTouches() State {
	if s.Offset <= record.Window || s.Offset%pruneEvery != 0 {
		return s
	}
	oldest := s.Offset - record.Window
	for _, p := range s.Plans {
		if p.Status == Proposed {
			oldest = min(oldest, p.Base)
		}
	}
	copied := false
	for object, t := range s.Touched {
		if t.Offset > oldest || s.exists(object) {
			continue
		}
		if !copied {
			s.Touched = maps.Clone(s.Touched)
			copied = true
		}
		delete(s.Touched, object)
	}
	return s
}

// KnownType reports whether this version applies records of a type.
func KnownType(t record.Type) bool {
	switch t {
	case record.TypeBootstrap, record.TypePropose, record.TypeConfirm,
		record.TypeBeginStep, record.TypeFinishStep, record.TypeFailStep,
		record.TypeTakeLease, record.TypeRenewLease, record.TypeReleaseLease:
		return true
	}
	return false
}
