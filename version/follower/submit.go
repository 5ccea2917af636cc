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

// Draft is a record before it is appended. A caller that may repeat it sets an ID;
// records with the same ID take effect once.
type Draft struct {
	ID   string // empty: a new one is generated
	Body record.Body
}

// Result holds the outcomes of a submission.
type Result struct {
	Outcomes []fold.Outcome // one for each draft
}

// Submit appends drafts as one log record and waits until this node has read them
// back and applied them. A nil error means that all were accepted. A *fold.Refusal is
// the first refusal; the result holds all outcomes. Any other error means that
// nothing was read back: platform.ErrUnavailable if nothing can have taken effect,
// platform.ErrOutcomeUnknown if the records may have taken effect or may yet do so
// within record.Window offsets.
func (f *Follower) Submit(ctx context.Context, now time.Time, drafts ...Draft) (Result, error) {
	base := f.State().Offset
	records, err := makeRecords(base, now, drafts)
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

func makeRecords(base platform.Offset, now time.Time, drafts []Draft) ([]record.Record, error) {
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

// submission is one call of Submit in progress.
type submission struct {
	f              *Follower
	records        []record.Record
	body           []byte
	base           platform.Offset
	outcomeUnknown bool            // an append's answer was lost
	offset         platform.Offset // offset of an append that was answered; 0: none
	refusals       int             // consecutive appends that the log refused
}

// maxRefusals is how many consecutive refusals by the log end a submission of which
// nothing can have taken effect. An operator who gets the error at once can do
// something else, and retrying here until the log returns is no better than
// submitting again.
const maxRefusals = 3

// run appends until the log answers, and then waits for the records to be read back.
//
// Safeguard: when an answer is lost the same bytes are appended again. The fold skips
// the second copy by its id, so that the records take effect once.
func (s *submission) run(ctx context.Context) (Result, error) {
	wait := backoffFirst
	for {
		if res, ok := s.readBack(); ok {
			return res, firstRefusal(res)
		}
		if s.expired() {
			return s.expiredResult()
		}
		if s.offset == 0 {
			s.append(ctx)
		}
		if s.refusals >= maxRefusals && !s.outcomeUnknown {
			return Result{}, fmt.Errorf("submit: %w", platform.ErrUnavailable)
		}
		changed := s.f.nextChange()
		if _, ok := s.readBack(); ok {
			continue
		}
		if err := s.awaitRetry(ctx, changed, wait); err != nil {
			return Result{}, err
		}
		wait = min(2*wait, backoffMax)
	}
}

func (s *submission) append(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, s.f.cfg.CallTimeout)
	defer cancel()
	offset, err := s.f.log.Append(call, record.Stream, s.body)
	switch {
	case err == nil:
		s.offset = offset
		s.refusals = 0
	case errors.Is(err, platform.ErrUnavailable):
		s.refusals++
	default:
		s.outcomeUnknown = true
	}
}

// awaitRetry waits for a new state, the time of the next try, or the end of ctx.
func (s *submission) awaitRetry(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	if s.offset != 0 {
		t.Stop()
	}
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		if s.outcomeUnknown || s.offset != 0 {
			return fmt.Errorf("submit: the record was not read back: %w: %w", platform.ErrOutcomeUnknown, ctx.Err())
		}
		return fmt.Errorf("submit: %w: %w", platform.ErrUnavailable, ctx.Err())
	}
	return nil
}

// readBack returns the outcomes once this node's state holds all of them.
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

// expired reports whether the state has passed the records without an outcome.
func (s *submission) expired() bool {
	now := s.f.State().Offset
	return (s.offset != 0 && now >= s.offset) || now > s.base+record.Window
}

// expiredResult returns the result for records without an outcome. They are refused
// as expired if the only append that was made is known to lie beyond the window;
// otherwise the outcome is unknown.
func (s *submission) expiredResult() (Result, error) {
	if s.outcomeUnknown || (s.offset != 0 && s.offset <= s.base+record.Window) {
		return Result{}, fmt.Errorf("submit: the state reached offset %d without an outcome of the record: %w", s.f.State().Offset, platform.ErrOutcomeUnknown)
	}
	r := &fold.Refusal{Code: fold.Expired, Reason: fmt.Sprintf("made at offset %d, more than %d before it arrived", s.base, record.Window)}
	return Result{}, r
}

func firstRefusal(res Result) error {
	for _, o := range res.Outcomes {
		if o.Refusal != nil {
			return o.Refusal
		}
	}
	return nil
}

// nextChange returns a channel that is closed at the next change of state.
func (f *Follower) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
