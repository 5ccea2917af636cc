package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/release"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// Inbound is a caller's request, read whole. Nothing in it points into a connection's buffers.
type Inbound struct {
	ID     string // the caller's own for this attempt
	Method string
	Host   string
	Path   string
	Target string           // request target of the request line, unchanged
	Header []upstream.Field // fields that are passed on
	Body   []byte
	Key    string // empty: none
	// Grant is how long the caller will wait; 0: not stated.
	Grant time.Duration
	// The following are declared by requests for generated text.
	Model       string
	Parts       []prefix.Part
	Declared    DeclaredTokens
	LastEventID string // id of the last event that the caller has received
	// FirstAttempt is the ID of the caller's attempt that brought the first event of a resumed
	// stream; empty: not stated.
	FirstAttempt string
}

// DeclaredTokens is what a request declares about its tokens.
type DeclaredTokens struct {
	Prompt, Output int // Output is the maximum
	Stated         bool
	Unreadable     bool // stated, but not as two numbers
}

// Sink receives an answer that is passed through. An error from it that is no *failure.Error means
// that the caller can't be reached any more.
type Sink interface {
	// WriteReply writes a whole answer.
	WriteReply(r upstream.Reply) error
	// BeginStream writes the head of a streamed answer.
	BeginStream(p upstream.PassthroughHead) error
	// WriteEvents writes whole events.
	WriteEvents(text string) error
	// EndStream ends a streamed answer that is complete.
	EndStream() error
}

// ErrAnswerCut means that an answer has begun and was not passed on whole. The connection has to be
// closed in a way that shows it, unless the sink still holds all of the answer.
var ErrAnswerCut = errors.New("gateway: answer was cut off")

// servedRequest is one request while this node serves it.
type servedRequest struct {
	g         *Gateway
	in        Inbound
	out       Sink
	began     time.Time
	route     route.Route
	workspace accepted.Workspace // of the key; the zero value on a public route
	service   accepted.Service
	// cacheScope is the scope within which the request may use cached prefixes of others.
	cacheScope string
	content    quarantine.Digest
	status     int // status passed on; 0: none yet
	charged    quotaCharge

	configVersion uint64        // of the configuration that decided on the request; 0: none known
	proofAge      time.Duration // age of the proof that the configuration is the newest
}

// Serve serves one request. The error is a *failure.Error, which ErrAnswerCut wraps if part of an answer
// has reached the sink. The end of ctx means that the caller went away.
func (g *Gateway) Serve(ctx context.Context, now time.Time, in Inbound, out Sink) error {
	g.metrics.RequestStarted()
	g.limiter.RecordRequest(now)
	defer g.metrics.RequestEnded()
	x := &servedRequest{g: g, in: in, out: out, began: now}
	// Ends a request that outlasts the grace while a failure can still be answered. A closed
	// connection would give the caller no reason.
	ctx, release := g.stop.BoundContext(ctx)
	defer release()
	err := x.serve(ctx)
	if err == nil {
		g.metrics.RecordAnswer(x.workspace.Name)
		g.durations.Record(x.route.Name, time.Since(now))
		event.Info(g.log, event.RequestServed, zap.String("Request", in.ID), zap.String("Workspace", x.workspace.Name),
			zap.String("Route", x.route.Name), zap.Int("Status", x.status), zap.Duration("Took", time.Since(now)))
		return nil
	}
	return x.reportFailure(err)
}

// Check returns the failure with which Serve would refuse a request whatever its body is, or the workspace of its key. It
// is for requests whose body is long and not received yet. A request that fails the check counts as served.
func (g *Gateway) Check(now time.Time, in Inbound) (workspace string, err error) {
	x := &servedRequest{g: g, in: in, began: now}
	if err := x.admit(Boot()); err != nil {
		g.metrics.RequestStarted()
		defer g.metrics.RequestEnded()
		g.limiter.RecordRequest(now)
		return "", x.reportFailure(err)
	}
	return x.workspace.Name, nil
}

func (x *servedRequest) serve(ctx context.Context) error {
	if err := x.admit(Boot()); err != nil {
		return err
	}
	if err := x.chargeQuota(ctx); err != nil {
		return err
	}
	err := x.send(ctx)
	x.refundIfNotRun(err)
	return err
}

// send passes the request to an upstream.
func (x *servedRequest) send(ctx context.Context) error {
	x.content = quarantine.DigestOf([]byte(x.in.Method), []byte(x.in.Host), []byte(x.in.Path), []byte(x.workspace.Name), x.in.Body)
	if x.service.Engine != nil {
		return x.generate(ctx)
	}
	return x.call(ctx)
}

// admit finds the request's route, workspace and service. It reports them as missing only while the
// configuration is known to be the newest, as they may just have been added.
func (x *servedRequest) admit(boot time.Time) error {
	f := x.g.book.InForce()
	age, known := x.g.book.ProofAge(boot)
	if f == nil || !known || !x.g.view.Complete() {
		return x.unavailable()
	}
	x.configVersion, x.proofAge = f.Version, age
	r, ok := f.Route(x.in.Host, x.in.Path)
	if !ok {
		return x.notFound(failure.ErrNotFound)
	}
	x.route = r
	if f.NeedsKey(r) {
		if life := x.g.bounds.Load().KeyLife; life > 0 && age >= life {
			return x.unavailable()
		}
		if x.workspace, ok = f.Owner(x.in.Key); !ok {
			return x.notFound(failure.ErrUnauthenticated)
		}
	}
	x.cacheScope = f.CacheScope(x.workspace)
	if x.service, ok = f.Services[r.Choose(x.in.ID)]; !ok {
		return x.unavailable()
	}
	if x.mayOutlastNode() {
		return failure.ErrShuttingDown
	}
	return nil
}

// durationMargin is by how much the usual duration of a request may be exceeded.
const durationMargin = 1.1

// mayOutlastNode reports whether the request came after the begin of the node's stop and may not end before the
// node does. Another node has the time for it. During the notice, callers can't know of the stop yet, and only those
// are refused that usually take too long; after it, the time that the caller has granted has to fit.
func (x *servedRequest) mayOutlastNode() bool {
	if finish, noticed := x.g.stop.NoticeOver(x.began); noticed {
		end := x.answerEnd()
		return end.IsZero() || end.After(finish)
	}
	finish, leaving := x.g.stop.FinishAt()
	usual := time.Duration(durationMargin * float64(x.g.durations.Usual(x.route.Name)))
	return leaving && x.began.Add(usual).After(finish)
}

// unavailable returns the failure of a node that does not know enough to decide. Other nodes do, so
// the caller is asked to retry soon.
func (x *servedRequest) unavailable() *failure.Error {
	return failure.ErrPlatformUnavailable.WithRetryAfter(limit.AddJitter(0, x.in.ID, retrySoon))
}

// retrySoon is the time after which to retry if another node will probably serve the request.
const retrySoon = 100 * time.Millisecond

// notFoundLagFactor multiplies ConfigLag: a proof below the product is young enough to report that
// something does not exist. In normal operation a proof is 0.2 to 2.2 s old, as given by the pace
// of the queries, with limits of 2 s. A change accepted in the meantime would have ended the held
// query, unless the platform can't be reached.
const notFoundLagFactor = 1.25

// notFound returns the failure of a request whose route or key does not exist here.
func (x *servedRequest) notFound(err *failure.Error) *failure.Error {
	if float64(x.proofAge) >= notFoundLagFactor*float64(x.g.bounds.Load().ConfigLag) {
		return x.unavailable()
	}
	return err
}

// deadline returns when a request without an answer is given up: when its answer would reach the
// caller too late, the route's timeout is over, or the node closes its connections, whichever is
// first. A request that is not expected to begin by then is refused before it is sent. The node's
// stop ends requests before it closes connections, so those requests don't count as late.
func (x *servedRequest) deadline() time.Time {
	granted := x.in.Grant
	if granted > 0 {
		granted = max(granted-x.g.bounds.Load().Transit, granted/2)
	}
	at := x.grantEnd(granted)
	if cut, leaving := x.g.stop.CutAt(); leaving && (at.IsZero() || cut.Before(at)) {
		return cut
	}
	return at
}

// answerEnd returns when an answer under way is given up. Nothing is subtracted for its transfer:
// by then the caller has all but the last bytes.
func (x *servedRequest) answerEnd() time.Time { return x.grantEnd(x.in.Grant) }

// grantEnd returns the end of the time granted by the caller, or of the route's timeout if that is
// earlier; zero if there is neither.
func (x *servedRequest) grantEnd(granted time.Duration) time.Time {
	if t := x.route.Timeout; t > 0 && (granted == 0 || t < granted) {
		granted = t
	}
	if granted == 0 {
		return time.Time{}
	}
	return x.began.Add(granted)
}

// withDeadline returns a context that also ends at a time; the zero time means no deadline.
func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

func (x *servedRequest) priority() int {
	if x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// generate serves a request for generated text.
func (x *servedRequest) generate(ctx context.Context) error {
	deadline, end := x.deadline(), x.answerEnd()
	ctx, cancel := withDeadline(ctx, end)
	defer cancel()
	pin, err := x.resumePin(ctx)
	if err != nil {
		return err
	}
	var division release.Division
	if x.in.LastEventID == "" {
		division = x.g.releases.divide(x.service.Name)
		if x.route.Stream && x.route.Resumable {
			unlisted := x.g.origins.avoided(clock.BoottimeNow(), routeOf(x.route), x.service.Name, x.g.view.Config())
			division.First = lo.Union(division.First, unlisted)
		}
	}
	a, err := x.g.completions.Start(ctx, completion.Request{
		ID:            x.in.ID,
		Content:       x.content,
		Workspace:     x.workspace.Name,
		Model:         x.model(),
		MaxTokens:     x.in.Declared.Output,
		Priority:      engineRank(x.priority(), x.in.Parts, x.g.policies.SlowestRate(x.service.Name)),
		Class:         x.priority(),
		Kind:          x.route.Name,
		Goal:          x.route.Goal,
		Grant:         x.in.Grant,
		Deadline:      deadline,
		RunOnce:       !x.route.MayRepeat(),
		Passage:       x.upstreamCall(end),
		DeclaredParts: x.in.Parts,
		Pool:          x.service.Name,
		CacheScope:    x.cacheScope,
		MaxRuns:       max(1, x.route.MaxRuns),
		LastEventID:   x.in.LastEventID,
		Software:      pin,
		OnFurtherRun:  x.chargeExtraRun,
		Avoid:         division.First,
		AvoidLater:    division.Later,
	})
	if err != nil {
		return x.relayFailedReply(err)
	}
	defer a.Close()
	if x.in.LastEventID == "" {
		x.recordOrigin(ctx, a.Info())
	}
	return x.relay(a)
}

// resumePin returns the restriction of a request that resumes a stream; none for any other request.
func (x *servedRequest) resumePin(ctx context.Context) (completion.SoftwarePin, error) {
	if x.in.LastEventID == "" {
		return completion.SoftwarePin{}, nil
	}
	o, err := x.g.origins.resolve(ctx, x.in, x.workspace.Name, routeOf(x.route))
	if err != nil {
		return completion.SoftwarePin{}, err
	}
	s, ok := x.g.book.InForce().Services[o.Pool]
	if !ok || s.Engine == nil || !x.route.LeadsTo(o.Pool) {
		return completion.SoftwarePin{}, errServiceGone
	}
	x.service = s // a route with several services chooses one by the attempt's ID
	return completion.PinTo(o.Software), nil
}

// errServiceGone means that a stream began at a service to which its route does not lead any more.
var errServiceGone = failure.ErrNotResumable.WithMessage("requests don't go to the service that began the stream any more; begin the request anew")

// resumeTime returns how long the stream may be resumed, from its begin on.
func (x *servedRequest) resumeTime() time.Duration {
	if end := x.answerEnd(); !end.IsZero() {
		return end.Sub(x.began)
	}
	return origin.MaxLife
}

// recordOrigin records where the stream has begun, if its caller may resume it.
func (x *servedRequest) recordOrigin(ctx context.Context, i completion.Info) {
	if !x.route.Stream || !x.route.Resumable {
		return
	}
	r := origin.Record{
		Key: origin.KeyOf(x.workspace.Name, x.in.ID), Origin: origin.Origin{Pool: x.service.Name, Software: i.Software}, Life: x.resumeTime(),
	}
	if i.SoftwareUnknown {
		r.Origin = origin.Unknown
	}
	x.g.origins.begin(ctx, clock.BoottimeNow(), routeOf(x.route), r)
}

// model returns the model that the request names, or the service's only one.
func (x *servedRequest) model() string {
	if x.in.Model == "" && len(x.service.Engine.Models) == 1 {
		return x.service.Engine.Models[0]
	}
	return x.in.Model
}

func (x *servedRequest) upstreamCall(deadline time.Time) *upstream.Call {
	return &upstream.Call{
		Method: x.in.Method, Header: x.in.Header, Body: x.in.Body,
		ID: x.in.ID, Host: x.in.Host, Target: x.in.Target,
		Workspace: x.workspace.Name, Priority: x.priority(), Deadline: deadline,
	}
}

// relay passes an answer on, event by event.
func (x *servedRequest) relay(a *completion.Answer) error {
	head := *a.Info().Passage
	x.status = head.Status
	if err := x.out.BeginStream(head); err != nil {
		return x.cancelledBySink(err)
	}
	for {
		t, err := a.Next()
		if errors.Is(err, io.EOF) {
			return x.cancelledBySink(x.out.EndStream())
		}
		if err != nil {
			return err
		}
		if t.Text == "" {
			continue
		}
		if err := x.out.WriteEvents(t.Text); err != nil {
			return x.cancelledBySink(err)
		}
	}
}

// cancelledBySink returns the failure of a request whose sink has returned an error.
func (x *servedRequest) cancelledBySink(err error) error {
	var e *failure.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e):
		return e
	}
	return failure.ErrCancelled.WithRan(failure.Unknown).WithCause(err)
}

// errNoPlaceInService means that a stream of a plain service can't be resumed: it would begin anew, at any
// instance.
var errNoPlaceInService = failure.ErrNotResumable.WithMessage("a plain service's stream can't be resumed; begin the request anew")

// call serves a call to a plain service.
func (x *servedRequest) call(ctx context.Context) error {
	if x.route.Stream && x.in.LastEventID != "" {
		return errNoPlaceInService
	}
	deadline := x.deadline()
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	division := x.g.releases.divide(x.service.Name)
	reply, err := x.g.calls.Do(ctx, call.Request{
		ID:           x.in.ID,
		Content:      x.content,
		Workspace:    x.workspace.Name,
		Service:      x.service.Name,
		Method:       x.in.Method,
		Header:       x.in.Header,
		Body:         x.in.Body,
		Priority:     x.priority(),
		Deadline:     deadline,
		Repeatable:   x.route.MayRepeat(),
		RunOnce:      !x.route.MayRepeat(),
		MaxRuns:      max(1, x.route.MaxRuns),
		Host:         x.in.Host,
		Target:       x.in.Target,
		OnFurtherRun: x.chargeExtraRun,
		Kind:         x.route.Name,
		Avoid:        division.First,
		AvoidLater:   division.Later,
	})
	if err != nil {
		return x.relayFailedReply(err)
	}
	return x.writeReply(reply)
}

// relayFailedReply passes on the upstream's own answer if that is the reason of the failure, so
// that the caller reads what the upstream said. A service without any upstream is reported as such
// and not as unknown, as the configuration has it.
func (x *servedRequest) relayFailedReply(err error) error {
	var failed *upstream.FailedReply
	switch {
	case errors.As(err, &failed):
		return x.writeReply(failed.Reply)
	case errors.Is(err, failure.ErrUnknownService):
		return retry.Refusal(x.in.ID, false, failure.ErrNoUpstream, err)
	}
	return err
}

func (x *servedRequest) writeReply(r upstream.Reply) error {
	x.status = r.Status
	return x.cancelledBySink(x.out.WriteReply(r))
}

// reportFailure logs and counts a failure and returns the one for the caller.
func (x *servedRequest) reportFailure(err error) error {
	e := failure.FromError(err)
	x.g.metrics.RecordFailure(x.workspace.Name, e)
	fields := []zap.Field{
		zap.String("Request", x.in.ID), zap.String("Workspace", x.workspace.Name), zap.String("Route", x.route.Name),
		zap.Stringer("Content", x.content), zap.Stringer("Code", e.Code), zap.String("Ran", e.Ran.Text()), zap.Duration("Took", time.Since(x.began)),
		zap.Duration("Grant", x.in.Grant), zap.Uint64("ConfigVersion", x.configVersion), zap.Duration("ConfigAge", x.proofAge), zap.Error(err),
	}
	if beganAt, leaving := x.g.stop.BeganAt(); leaving {
		fields = append(fields, zap.Duration("BegunAfterLeaving", x.began.Sub(beganAt)), zap.Duration("Leaving", time.Since(beganAt)))
	}
	if x.status != 0 {
		event.Info(x.g.log, event.RequestFailed, append(fields, zap.Int("Status", x.status))...)
		return fmt.Errorf("%w: %w", ErrAnswerCut, e)
	}
	e = e.WithRetryAfter(x.retryAfter(e))
	event.Info(x.g.log, event.RequestRefused, append(fields, zap.Duration("RetryAfter", e.RetryAfter))...)
	return e
}

// maxRetryAfterFraction limits the time after which a caller is asked to retry, as a fraction of
// its remaining time. After a longer wait its next attempt would have too little time left.
const maxRetryAfterFraction = 0.25

func (x *servedRequest) retryAfter(e *failure.Error) time.Duration {
	if errors.Is(e, failure.ErrShuttingDown) {
		return limit.AddJitter(0, x.in.ID, retrySoon)
	}
	if x.in.Grant == 0 || e.RetryAfter == 0 {
		return e.RetryAfter
	}
	remaining := time.Until(x.began.Add(x.in.Grant))
	return min(e.RetryAfter, max(0, time.Duration(maxRetryAfterFraction*float64(remaining))))
}
