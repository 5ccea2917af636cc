package completion

import (
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
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Answer is a streamed answer. It must be used from one goroutine only.
type Answer struct {
	state      *requestState
	send       *engineSend
	engine     config.Upstream
	generation upstream.Generation
	stream     upstream.Stream
	cancel     context.CancelFunc
	release    func()
	info       Info

	pending      *upstream.Token // read from the stream, not yet returned by Next
	lastIndex    int             // index within the current stream of the last token returned; -1: none
	delivered    deliveredOutput
	resumes      int
	finished     bool
	finishReason string           // Finish of the last token
	replayed     *journaledAnswer // journaled answer of an earlier request; nil: this request ran itself
	// resumeFailed says that the engine did not resume the current stream.
	resumeFailed bool
	streamErr    error // error that ended the answer early
	closed       bool
}

// deliveredOutput is what was returned over all streams of an answer, as far as
// a continuation on another engine needs it.
type deliveredOutput struct {
	count int             // tokens
	text  strings.Builder // all text; empty for a passthrough answer
	place string          // in a passthrough answer, see upstream.Token.Event
}

func newAnswer(state *requestState, send *engineSend, engine config.Upstream, generation upstream.Generation, stream upstream.Stream, cancel context.CancelFunc) *Answer {
	h := stream.Head()
	return &Answer{
		state: state, send: send, engine: engine, generation: generation, stream: stream, cancel: cancel, lastIndex: -1,
		release: func() {},
		info: Info{
			Upstream:     engine.Name,
			Version:      h.Version,
			Software:     engine.Software,
			PromptTokens: h.PromptTokens,
			CachedTokens: h.CachedTokens,
			Attempts:     state.attempts,
			CacheUnknown: h.CacheUnknown,
			Passage:      h.Passage,
		},
	}
}

// Info returns what the head of the answer says.
func (a *Answer) Info() Info { return a.info }

// readFirstToken reads the first token and keeps it for Next.
func (a *Answer) readFirstToken() error {
	t, err := a.stream.Next()
	if err != nil {
		return fmt.Errorf("first token: %w", err)
	}
	a.pending = &t
	return nil
}

// Next returns the next token, and io.EOF after the token that carries Finish.
// Any other error is a *failure.Error: the answer is incomplete and must not
// look complete to the caller.
func (a *Answer) Next() (Token, error) {
	if a.finished {
		return Token{}, io.EOF
	}
	if a.replayed != nil {
		return a.nextReplayed(), nil
	}
	for {
		t, err := a.readToken()
		if err == nil {
			a.reportAnswering(time.Now())
			return a.deliver(t), nil
		}
		if err := a.recoverStream(err); err != nil {
			a.streamErr = err
			return Token{}, err
		}
	}
}

func (a *Answer) readToken() (upstream.Token, error) {
	if a.pending != nil {
		t := *a.pending
		a.pending = nil
		return t, nil
	}
	t, err := a.stream.Next()
	if errors.Is(err, io.EOF) {
		// A stream that ends without a token that carries Finish was cut.
		// Returning io.EOF would make half an answer look whole.
		return t, upstream.ErrFailedAfterSend
	}
	return t, err
}

// reportAnswering clears the parts of the prompt once the engine has answered for long enough.
func (a *Answer) reportAnswering(now time.Time) {
	if a.send.partsSurvived || a.send.answeringFor(now) < quarantine.PartSurvival {
		return
	}
	a.send.partsSurvived = true
	a.state.rt.Quarantine.ReportAnswering(now, a.state.content)
}

// reportResult tells the quarantine how the current send has ended.
func (a *Answer) reportResult(now time.Time, err error) {
	a.state.rt.Quarantine.ReportResult(now, a.state.content, quarantine.Result{Upstream: a.engine.Name, Err: err, Answering: a.send.answeringFor(now)})
}

func (a *Answer) deliver(t upstream.Token) Token {
	a.lastIndex = t.Index
	out := Token{Index: a.delivered.count, Text: t.Text, Finish: t.Finish}
	a.delivered.count++
	if a.state.r.Passage == nil {
		a.delivered.text.WriteString(t.Text)
	}
	a.delivered.place = t.Event
	a.finishReason = t.Finish
	a.finished = t.Finish != ""
	return out
}

// errNoPlace means that a broken answer has no place after which an engine could go on. One that began
// anew would repeat what the caller has.
var errNoPlace = errors.New("completion: the answer has no event to go on after")

// recoverStream replaces a broken stream. It first resumes the stream on the
// same engine, which still holds it if only the connection broke. Otherwise it
// continues the answer on another engine after the text already returned.
func (a *Answer) recoverStream(cause error) error {
	a.reportResult(time.Now(), cause)
	if err := a.state.ctx.Err(); err != nil {
		return failure.FromContext(a.state.ctx).WithRan(failure.Unknown).WithCause(err)
	}
	if errors.Is(cause, upstream.ErrOverlong) && a.delivered.count > 0 {
		// Another engine would go on after text that belongs to no answer.
		return a.cutError(cause)
	}
	// The engine of a passthrough answer holds no stream to resume.
	canResume := a.state.r.Passage == nil && a.resumes < a.state.rt.Config.MaxResumes && !a.resumeFailed
	if !a.state.r.mayRepeat() {
		// Resuming the stream that the engine holds runs nothing again; any
		// other recovery would run the request a second time.
		if canResume && a.resume() {
			return nil
		}
		return a.cutError(cause)
	}
	if a.state.r.Passage != nil && a.delivered.place == "" {
		return a.cutError(errors.Join(cause, errNoPlace))
	}
	v := a.state.decideRetry(a.engine.Name, cause, a.delivered.count, canResume)
	switch v.Action {
	case retry.Resume:
		if a.resume() {
			return nil
		}
		return a.recoverStream(cause)
	case retry.ContinueElsewhere, retry.RetryElsewhere:
		return a.continueElsewhere(cause)
	}
	return a.cutError(v.Err)
}

// cutError returns the error of an incomplete answer. Callers of Next take io.EOF
// for the end of the answer. The cause often wraps io.EOF, as the end of a
// connection does, and would make a cut answer look whole.
func (a *Answer) cutError(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = fmt.Errorf("%w: %v", io.ErrUnexpectedEOF, cause)
	}
	return retry.Refusal(a.state.r.ID, true, failure.ErrStreamCut, cause)
}

// resume requests the rest of the stream from the same engine. A restarted
// engine has the same address but another incarnation and does not hold the
// stream; the incarnation check covers one that claims to hold it.
func (a *Answer) resume() bool {
	a.resumes++
	a.resumeFailed = true
	ctx, cancel := context.WithCancel(a.state.ctx)
	timer := time.AfterFunc(a.state.rt.Config.ResumeTimeout, cancel)
	stream, err := a.state.rt.Upstreams.Engine(a.engine).Resume(ctx, a.generation.StreamID, a.lastIndex)
	if err != nil || !timer.Stop() {
		cancel()
		return false
	}
	h := stream.Head()
	if h.Incarnation != a.send.incarnation || h.Version != a.info.Version {
		_ = stream.Close()
		cancel()
		return false
	}
	a.replaceStream(stream, cancel)
	a.resumeFailed = false
	event.Info(a.state.rt.Log, event.StreamResumed, zap.String("Request", a.state.r.ID),
		zap.String("Upstream", a.engine.Name), zap.Int("After", a.lastIndex))
	return true
}

// continueElsewhere continues the answer on another engine with the same weights,
// after the text already returned. It must not be called for a request that may
// not be repeated, as the request would run twice.
func (a *Answer) continueElsewhere(cause error) error {
	a.send.events = a.delivered.count
	a.send.end(time.Now(), cause)
	a.state.failedUpstreams = append(a.state.failedUpstreams, a.engine.Name)
	a.state.excluded = slices.Clone(a.state.failedUpstreams)
	next, err := a.state.startContinuation(&a.delivered, a.info.Version)
	if err != nil {
		return a.cutError(errors.Join(cause, err))
	}
	formerSoftware := a.engine.Software
	a.send, a.engine, a.generation = next.send, next.engine, next.generation
	a.replaceStream(next.stream, next.cancel)
	a.pending = next.pending
	a.lastIndex = -1
	a.resumeFailed = false
	event.Info(a.state.rt.Log, event.StreamContinued, zap.String("Request", a.state.r.ID),
		zap.String("Upstream", a.engine.Name), zap.Int("Tokens", a.delivered.count),
		zap.String("Software", a.engine.Software), zap.String("FormerSoftware", formerSoftware),
		zap.Bool("EndsWithConnection", a.stream.Head().EndsWithConnection), zap.Bool("Relayed", a.stream.Head().Relayed))
	return nil
}

func (a *Answer) replaceStream(stream upstream.Stream, cancel context.CancelFunc) {
	a.closeStream()
	a.stream, a.cancel = stream, cancel
}

func (a *Answer) closeStream() {
	_ = a.stream.Close()
	a.cancel()
}

// abandon closes a stream that nobody reads and cancels the engine's work on it.
func (a *Answer) abandon() {
	a.closeStream()
	a.state.cancelOnEngine(a.engine, a.generation.StreamID)
}

// Close ends the answer, complete or not, and releases its resources. It may be
// called more than once. A caller that went away does not count as a failure of
// the upstream.
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
		a.closeStream()
	} else {
		a.abandon()
	}
	now := time.Now()
	if a.finished {
		a.reportResult(now, nil)
	}
	a.send.events, a.send.abandoned = a.delivered.count, !a.finished && a.streamErr == nil
	a.send.end(now, a.streamErr)
	if a.state.claim != nil {
		a.settleClaim(now)
	}
}

// settleClaim records in the journal how the request ended.
func (a *Answer) settleClaim(now time.Time) {
	answer, err := a.journalAnswer()
	if !a.finished || err != nil {
		a.state.claim.EndUnclear(now)
		return
	}
	a.state.claim.EndRan(now, answer)
}
