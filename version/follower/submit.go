package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Draft is a record to be. A caller that may repeat it gives it an ID; the
// same ID takes effect once.
type Draft struct {
	ID   string // empty: a new one
	Body record.Body
}

// Result is what the fold made of a submission.
type Result struct {
	Outcomes []fold.Outcome // one for each draft
}

// Submit appends drafts as one log record and waits until the fold of this
// node has read them back. A nil error means that all were accepted. A
// *fold.Refusal is the first refusal; the others are in the result. Any other
// error means that nothing was read back: platform.ErrUnavailable if nothing
// can have taken effect, platform.ErrOutcomeUnknown if something may have, or
// may yet within record.Window offsets.
func (f *Follower) Submit(ctx context.Context, now time.Time, drafts ...Draft) (Result, error) {
	base := f.State().Offset
	records, err := envelopes(base, now, drafts)
	if err != nil {
		return Result{}, err
	}
	body, err := record.Encode(records)
	if err != nil {
		return Result{}, err
	}
	s := submission{f: f, records: records, body: body, base: base}
	return s.run(ctx)
}

func envelopes(base platform.Offset, now time.Time, drafts []Draft) ([]record.Record, error) {
	records := make([]record.Record, 0, len(drafts))
	for _, d := range drafts {
		if d.ID == "" {
			d.ID = uuid.NewString()
		}
		r, err := record.New(d.ID, base, now, d.Body)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// submission is one append on its way.
type submission struct {
	f       *Follower
	records []record.Record
	body    []byte
	base    platform.Offset
	unknown bool            // an append's answer was lost
	offset  platform.Offset // of an append that was answered; 0: none
	refused int             // appends in a row that the log refused
}

// maxRefused is how many refusals in a row end a submission of which nothing
// can have taken effect. An operator who is told at once can do something else;
// waiting for the log's return is no better done here than by coming back.
const maxRefused = 3

// run appends until an answer comes, and then reads back. Safeguard: when an
// answer is lost the same bytes are appended again; the fold passes over the
// second copy by its id, so that the records take effect once.
func (s *submission) run(ctx context.Context) (Result, error) {
	wait := backoffFirst
	for {
		if res, ok := s.readBack(); ok {
			return res, refusal(res)
		}
		if s.forgotten() {
			return s.late()
		}
		if s.offset == 0 {
			s.append(ctx)
		}
		if s.refused >= maxRefused && !s.unknown {
			return Result{}, fmt.Errorf("submit: %w", platform.ErrUnavailable)
		}
		changed := s.f.changes()
		if _, ok := s.readBack(); ok {
			continue
		}
		if err := s.pause(ctx, changed, wait); err != nil {
			return Result{}, err
		}
		wait = min(2*wait, backoffMost)
	}
}

func (s *submission) append(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, s.f.cfg.CallTimeout)
	defer cancel()
	offset, err := s.f.log.Append(call, record.Stream, s.body)
	switch {
	case err == nil:
		s.offset = offset
		s.refused = 0
	case errors.Is(err, platform.ErrUnavailable):
		s.refused++
	default:
		s.unknown = true
	}
}

// pause waits for a new state, the time of the next try, or the end of ctx.
func (s *submission) pause(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	if s.offset != 0 {
		t.Stop()
	}
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		if s.unknown || s.offset != 0 {
			return fmt.Errorf("submit: not read back: %w: %w", platform.ErrOutcomeUnknown, ctx.Err())
		}
		return fmt.Errorf("submit: %w: %w", platform.ErrUnavailable, ctx.Err())
	}
	return nil
}

// readBack gives the outcomes once this node's fold has all of them.
func (s *submission) readBack() (Result, bool) {
	state := s.f.State()
	var res Result
	for _, r := range s.records {
		o, ok := state.Outcome(r.ID)
		if !ok {
			return Result{}, false
		}
		res.Outcomes = append(res.Outcomes, o)
	}
	return res, true
}

// forgotten says that the state has passed the record without an outcome.
func (s *submission) forgotten() bool {
	now := s.f.State().Offset
	return (s.offset != 0 && now >= s.offset) || now > s.base+record.Window
}

// late tells what can be told of a record that came after its window: nothing
// happened if the one append that was made is known to stand beyond it.
func (s *submission) late() (Result, error) {
	if s.unknown || (s.offset != 0 && s.offset <= s.base+record.Window) {
		return Result{}, fmt.Errorf("submit: passed at offset %d: %w", s.f.State().Offset, platform.ErrOutcomeUnknown)
	}
	r := &fold.Refusal{Code: fold.Expired, Reason: fmt.Sprintf("made at offset %d, more than %d before it arrived", s.base, record.Window)}
	return Result{}, r
}

func refusal(res Result) error {
	for _, o := range res.Outcomes {
		if o.Refusal != nil {
			return o.Refusal
		}
	}
	return nil
}

// changes is closed at the next change of state.
func (f *Follower) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
