package completion

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Answer is one answer on its way to the caller. It belongs to one goroutine.
type Answer struct {
	s       *start
	visit   *visit
	up      config.Upstream
	gen     upstream.Generation
	stream  upstream.Stream
	cancel  context.CancelFunc
	release func()
	info    Info

	pending  *upstream.Token // read ahead, not given out yet
	last     int             // index in the present stream of the last token given out
	given    given
	resumes  int
	finished bool
	finish   string // the last token's Finish
	replayed *held  // an earlier request's answer; nil: this one's own
	// resumeFailed says that the engine did not give the present stream back.
	resumeFailed bool
	failed       error // why the answer ended without its end
	closed       bool
}

// given is what was given out over all streams of an answer, as far as a
// continuation elsewhere needs it.
type given struct {
	count int             // tokens
	text  strings.Builder // all text; empty for an answer passed through
	event string          // id of the last event of an answer passed through
}

func newAnswer(s *start, v *visit, u config.Upstream, g upstream.Generation, stream upstream.Stream, cancel context.CancelFunc) *Answer {
	h := stream.Head()
	return &Answer{
		s: s, visit: v, up: u, gen: g, stream: stream, cancel: cancel, last: -1,
		release: func() {},
		info: Info{
			Upstream:     u.Name,
			Version:      h.Version,
			PromptTokens: h.PromptTokens,
			CachedTokens: h.CachedTokens,
			Attempts:     s.attempts,
			CacheUnknown: h.CacheUnknown,
			Passage:      h.Passage,
		},
	}
}

// Info tells about the answer's head.
func (a *Answer) Info() Info { return a.info }

// first reads the first token ahead.
func (a *Answer) first() error {
	t, err := a.stream.Next()
	if err != nil {
		return fmt.Errorf("first token: %w", err)
	}
	a.pending = &t
	return nil
}

// Next gives the next token; io.EOF after the one that carried Finish. Any
// other error is a *failure.Error: the answer is not whole and must not look
// so to the caller.
func (a *Answer) Next() (Token, error) {
	if a.finished {
		return Token{}, io.EOF
	}
	if a.replayed != nil {
		return a.nextReplayed(), nil
	}
	for {
		t, err := a.read()
		if err == nil {
			return a.give(t), nil
		}
		if err := a.mend(err); err != nil {
			a.failed = err
			return Token{}, err
		}
	}
}

func (a *Answer) read() (upstream.Token, error) {
	if a.pending != nil {
		t := *a.pending
		a.pending = nil
		return t, nil
	}
	t, err := a.stream.Next()
	if errors.Is(err, io.EOF) {
		// The engine's end without a token that carries Finish is a cut:
		// passed on as an end, half an answer would look whole.
		return t, upstream.ErrBroken
	}
	return t, err
}

func (a *Answer) give(t upstream.Token) Token {
	a.last = t.Index
	out := Token{Index: a.given.count, Text: t.Text, Finish: t.Finish}
	a.given.count++
	if a.s.r.Passage == nil {
		a.given.text.WriteString(t.Text)
	}
	a.given.event = cmp.Or(t.Event, a.given.event)
	a.finish = t.Finish
	a.finished = t.Finish != ""
	return out
}

// mend brings a broken stream back: first on the same engine, which still
// holds it if only the connection broke, then on another one that goes on
// after the text given out.
func (a *Answer) mend(cause error) error {
	a.s.rt.Quarantine.Sent(time.Now(), a.s.content, a.up.Name, cause)
	if err := a.s.ctx.Err(); err != nil {
		return failure.Gone(a.s.ctx).WithRan(failure.Unknown).WithCause(err)
	}
	// The engine of an answer passed through holds no stream.
	canResume := a.s.r.Passage == nil && a.resumes < a.s.rt.Config.MaxResumes && !a.resumeFailed
	if !a.s.r.mayRepeat() {
		// Going on with the stream that the engine holds runs nothing again;
		// anything else would.
		if canResume && a.resume() {
			return nil
		}
		return a.cut(cause)
	}
	v := a.s.decide(a.up.Name, cause, a.given.count, canResume)
	switch v.Action {
	case retry.Resume:
		if a.resume() {
			return nil
		}
		return a.mend(cause)
	case retry.ContinueElsewhere, retry.RetryElsewhere:
		return a.continueElsewhere(cause)
	}
	return a.cut(v.Err)
}

// cut gives the error of an answer that is not whole. Whoever reads an answer
// takes io.EOF for its end; inside the cause, as a connection's end mostly is,
// it would give a cut answer the looks of a whole one.
func (a *Answer) cut(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = fmt.Errorf("%w: %v", io.ErrUnexpectedEOF, cause)
	}
	return retry.Refusal(a.s.r.ID, true, failure.ErrStreamCut, cause)
}

// resume asks the same engine for the rest of the same stream. An engine
// that came back under its address has another incarnation and does not hold
// the stream; the check here is for one that would claim so all the same.
func (a *Answer) resume() bool {
	a.resumes++
	a.resumeFailed = true
	ctx, cancel := context.WithCancel(a.s.ctx)
	timer := time.AfterFunc(a.s.rt.Config.ResumeTimeout, cancel)
	stream, err := a.s.rt.Upstreams.Engine(a.up).Resume(ctx, a.gen.StreamID, a.last)
	if err != nil || !timer.Stop() {
		cancel()
		return false
	}
	h := stream.Head()
	if h.Incarnation != a.visit.incarnation || h.Version != a.info.Version {
		_ = stream.Close()
		cancel()
		return false
	}
	a.replace(stream, cancel)
	a.resumeFailed = false
	event.Info(a.s.rt.Log, event.StreamResumed, zap.String("Request", a.s.r.ID),
		zap.String("Upstream", a.up.Name), zap.Int("After", a.last))
	return true
}

// continueElsewhere has another engine go on after the text that was given
// out, under the same weights. Never for a not-repeatable request, which
// would run twice.
func (a *Answer) continueElsewhere(cause error) error {
	a.visit.end(time.Now(), cause)
	a.s.failed = append(a.s.failed, a.up.Name)
	a.s.excluded = slices.Clone(a.s.failed)
	next, err := a.s.goOn(&a.given, a.info.Version)
	if err != nil {
		return a.cut(errors.Join(cause, err))
	}
	a.visit, a.up, a.gen = next.visit, next.up, next.gen
	a.replace(next.stream, next.cancel)
	a.pending = next.pending
	a.last = -1
	a.resumeFailed = false
	event.Info(a.s.rt.Log, event.StreamContinued, zap.String("Request", a.s.r.ID),
		zap.String("Upstream", a.up.Name), zap.Int("Tokens", a.given.count))
	return nil
}

func (a *Answer) replace(stream upstream.Stream, cancel context.CancelFunc) {
	a.drop()
	a.stream, a.cancel = stream, cancel
}

func (a *Answer) drop() {
	_ = a.stream.Close()
	a.cancel()
}

// abandon ends a stream nobody reads, and the engine's work on it.
func (a *Answer) abandon() {
	a.drop()
	a.s.cancelWork(a.up, a.gen.StreamID)
}

// Close ends the answer, whole or not, and gives back what it held. It may
// be called more than once. A caller that went away is no failure of the
// upstream and is not counted as one.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	defer a.release()
	if a.replayed != nil {
		return
	}
	if a.finished {
		a.drop()
	} else {
		a.abandon()
	}
	now := time.Now()
	if a.finished {
		a.s.rt.Quarantine.Sent(now, a.s.content, a.up.Name, nil)
	}
	a.visit.end(now, a.failed)
	if a.s.claim != nil {
		a.settle(now)
	}
}

// settle tells the journal how the request ended.
func (a *Answer) settle(now time.Time) {
	whole, err := a.hold()
	if !a.finished || err != nil {
		a.s.claim.UnknownOutcome(now)
		return
	}
	a.s.claim.Ran(now, whole)
}
