package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// Inbound is a caller's request, read whole. Nothing in it points into a
// connection's buffers.
type Inbound struct {
	ID     string // the caller's own for this try
	Method string
	Host   string
	Path   string
	Target string           // of the request line, as it came
	Header []upstream.Field // what is passed on
	Body   []byte
	Key    string // empty: none
	// Grant is how long the caller will wait; 0: it does not say.
	Grant time.Duration
	// What a request for generated text declares.
	Model    string
	Parts    []prefix.Part
	Declared Declared
	After    string // id of the last event that the caller has
}

// Declared is what a request says of its tokens.
type Declared struct {
	Prompt, Output int // Output: at most
	Stated         bool
	Unreadable     bool // stated, but not as two numbers
}

// Sink takes an answer that is passed through. An error of it means that the
// caller can't be reached any more.
type Sink interface {
	// Whole gives a whole answer.
	Whole(r upstream.Reply) error
	// Begin gives the head of an answer in pieces.
	Begin(p upstream.Passage) error
	// Piece gives whole events.
	Piece(text string) error
	// End says that the answer is whole.
	End() error
}

// ErrCut means that an answer has begun and was not passed on whole. The
// connection has to be closed in a way that shows it.
var ErrCut = errors.New("gateway: answer cut")

// serving is one request on its way.
type serving struct {
	g       *Gateway
	in      Inbound
	out     Sink
	began   time.Time
	route   route.Route
	owner   accepted.Workspace // of the key; the zero one on a public route
	service accepted.Service
	content quarantine.Content
	status  int // passed on; 0: none yet
	charged charged

	version uint64        // of the configuration that decided; 0: none known
	age     time.Duration // of the proof that it is the newest
}

// Serve serves one request. The error is a *failure.Error if nothing has
// reached the sink, ErrCut if some of an answer has. The end of ctx means that
// the caller went away.
func (g *Gateway) Serve(ctx context.Context, now time.Time, in Inbound, out Sink) error {
	g.metrics.Began()
	defer g.metrics.Ended()
	x := &serving{g: g, in: in, out: out, began: now}
	// A request that outlasts the grace is ended here while its answer can still be
	// given; the end of its connection would tell the caller nothing.
	ctx, release := g.stop.Bound(ctx)
	defer release()
	err := x.serve(ctx)
	if err == nil {
		g.metrics.Answered(x.owner.Name)
		event.Info(g.log, event.RequestServed, zap.String("Request", in.ID), zap.String("Workspace", x.owner.Name),
			zap.String("Route", x.route.Name), zap.Int("Status", x.status), zap.Duration("Took", time.Since(now)))
		return nil
	}
	return x.failed(err)
}

func (x *serving) serve(ctx context.Context) error {
	if err := x.admit(Boot()); err != nil {
		return err
	}
	if err := x.charge(ctx); err != nil {
		return err
	}
	err := x.send(ctx)
	x.settle(err)
	return err
}

// send has an upstream serve the request.
func (x *serving) send(ctx context.Context) error {
	x.content = quarantine.ContentOf([]byte(x.in.Method), []byte(x.in.Host), []byte(x.in.Path), []byte(x.owner.Name), x.in.Body)
	if x.service.Engine != nil {
		return x.generate(ctx)
	}
	return x.call(ctx)
}

// admit finds the request's route, workspace and service. What is not found is
// refused as such only while the configuration is known to be the newest; it
// may just have been added.
func (x *serving) admit(boot time.Time) error {
	f := x.g.book.InForce()
	age, known := x.g.book.Age(boot)
	if f == nil || !known || !x.g.view.Whole() {
		return x.unsure()
	}
	x.version, x.age = f.Version, age
	r, ok := f.Route(x.in.Host, x.in.Path)
	if !ok {
		return x.missing(failure.ErrNotFound)
	}
	x.route = r
	if !r.Public && len(f.Workspaces) > 0 {
		if life := x.g.bounds.Load().KeyLife; life > 0 && age >= life {
			return x.unsure()
		}
		if x.owner, ok = f.Owner(x.in.Key); !ok {
			return x.missing(failure.ErrUnauthenticated)
		}
	}
	if x.service, ok = f.Services[r.Choose(x.in.ID)]; !ok {
		return x.unsure()
	}
	if x.outlasts() {
		return failure.ErrShuttingDown
	}
	return nil
}

// outlasts says that the request came after the notice of the node's stop and might
// not end before the node does. Another node has the time for it.
func (x *serving) outlasts() bool {
	finish, noticed := x.g.stop.Noticed(x.began)
	end := x.end()
	return noticed && (end.IsZero() || end.After(finish))
}

// unsure is the answer of a node that does not know enough. Others do: the
// caller is to come back soon.
func (x *serving) unsure() *failure.Error {
	return failure.ErrPlatformUnavailable.WithRetryAfter(limit.Spread(0, x.in.ID, soon))
}

// soon is when to come back if another node is likely to serve.
const soon = 100 * time.Millisecond

// missingPart is the part of ConfigLag up to which a proof is young enough to
// say that something does not exist. A proof in calm is 0.2 to 2.2 s old, by the
// pace of the questions, with bounds of 2 s; what was accepted meanwhile has
// ended the question, unless the platform can't be reached.
const missingPart = 1.25

// missing is the answer to a request whose route or key does not exist here.
func (x *serving) missing(err *failure.Error) *failure.Error {
	if float64(x.age) >= missingPart*float64(x.g.bounds.Load().ConfigLag) {
		return x.unsure()
	}
	return err
}

// deadline is when a request without an answer is given up: when the caller would
// get an answer too late, the route's time is over, or the node cuts its connections,
// whichever is first. What can't be expected to begin by then is refused before it is
// sent. The stop ends requests before the cut, so that none is taken for late by it.
func (x *serving) deadline() time.Time {
	granted := x.in.Grant
	if granted > 0 {
		granted = max(granted-x.g.bounds.Load().Transit, granted/2)
	}
	at := x.within(granted)
	if cut, leaving := x.g.stop.CutAt(); leaving && (at.IsZero() || cut.Before(at)) {
		return cut
	}
	return at
}

// end is when an answer under way is given up. Nothing is kept back for its way: all
// but its last bytes are with the caller by then.
func (x *serving) end() time.Time { return x.within(x.in.Grant) }

// within is the end of a time granted by the caller, or the route's if that is sooner;
// zero if neither grants one.
func (x *serving) within(granted time.Duration) time.Time {
	if t := x.route.Timeout; t > 0 && (granted == 0 || t < granted) {
		granted = t
	}
	if granted == 0 {
		return time.Time{}
	}
	return x.began.Add(granted)
}

// until gives a context that ends at a time as well; the zero time is no end.
func until(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

func (x *serving) priority() int {
	if x.owner.HasPriority {
		return x.owner.Priority
	}
	return x.route.Priority
}

// shared is the scope of the workspaces that may use each other's prefixes. No
// workspace can have this name: the operators' begin with a letter.
const shared = "*"

func (x *serving) scope() string {
	if x.owner.Isolated {
		return x.owner.Name
	}
	return shared
}

// generate serves a request for generated text.
func (x *serving) generate(ctx context.Context) error {
	deadline, end := x.deadline(), x.end()
	ctx, cancel := until(ctx, end)
	defer cancel()
	a, err := x.g.completions.Start(ctx, completion.Request{
		ID:        x.in.ID,
		Content:   x.content,
		Workspace: x.owner.Name,
		Model:     x.model(),
		MaxTokens: x.in.Declared.Output,
		Priority:  engineRank(x.priority(), x.in.Parts, x.g.policies.Rate(x.service.Name)),
		Class:     x.priority(),
		Deadline:  deadline,
		Once:      !x.route.MayRepeat(),
		Passage:   x.passage(end),
		Declared:  x.in.Parts,
		Pool:      x.service.Name,
		Scope:     x.scope(),
		MaxRuns:   max(1, x.route.MaxRuns),
		After:     x.in.After,
		RunsAgain: x.owe,
	})
	if err != nil {
		return x.orFailedReply(err)
	}
	defer a.Close()
	return x.relay(a)
}

// model is the one that the request names, or the service's only one.
func (x *serving) model() string {
	if x.in.Model == "" && len(x.service.Engine.Models) == 1 {
		return x.service.Engine.Models[0]
	}
	return x.in.Model
}

func (x *serving) passage(deadline time.Time) *upstream.Call {
	return &upstream.Call{
		Method: x.in.Method, Header: x.in.Header, Body: x.in.Body,
		ID: x.in.ID, Host: x.in.Host, Target: x.in.Target,
		Workspace: x.owner.Name, Priority: x.priority(), Deadline: deadline,
	}
}

// relay passes an answer on, event by event.
func (x *serving) relay(a *completion.Answer) error {
	head := *a.Info().Passage
	x.status = head.Status
	if err := x.out.Begin(head); err != nil {
		return x.callerGone(err)
	}
	for {
		t, err := a.Next()
		if errors.Is(err, io.EOF) {
			return x.callerGone(x.out.End())
		}
		if err != nil {
			return err
		}
		if t.Text == "" {
			continue
		}
		if err := x.out.Piece(t.Text); err != nil {
			return x.callerGone(err)
		}
	}
}

func (x *serving) callerGone(err error) error {
	if err == nil {
		return nil
	}
	return failure.ErrCancelled.WithRan(failure.Unknown).WithCause(err)
}

// call serves a call to a plain service.
func (x *serving) call(ctx context.Context) error {
	deadline := x.deadline()
	ctx, cancel := until(ctx, deadline)
	defer cancel()
	reply, err := x.g.calls.Do(ctx, call.Request{
		ID:         x.in.ID,
		Content:    x.content,
		Workspace:  x.owner.Name,
		Service:    x.service.Name,
		Method:     x.in.Method,
		Header:     x.in.Header,
		Body:       x.in.Body,
		Priority:   x.priority(),
		Deadline:   deadline,
		Repeatable: x.route.MayRepeat(),
		Once:       !x.route.MayRepeat(),
		MaxRuns:    max(1, x.route.MaxRuns),
		Host:       x.in.Host,
		Target:     x.in.Target,
		RunsAgain:  x.owe,
	})
	if err != nil {
		return x.orFailedReply(err)
	}
	return x.whole(reply)
}

// orFailedReply passes on the upstream's own answer if it is the reason of a
// failure, so that the caller reads what the upstream said. A service without
// any upstream is one that the configuration has all the same.
func (x *serving) orFailedReply(err error) error {
	var failed *upstream.FailedReply
	switch {
	case errors.As(err, &failed):
		return x.whole(failed.Reply)
	case errors.Is(err, failure.ErrUnknownService):
		return retry.Refusal(x.in.ID, false, failure.ErrNoUpstream, err)
	}
	return err
}

func (x *serving) whole(r upstream.Reply) error {
	x.status = r.Status
	return x.callerGone(x.out.Whole(r))
}

// failed logs and counts what went wrong, and gives what the caller is told.
func (x *serving) failed(err error) error {
	e := failure.From(err)
	x.g.metrics.Failed(x.owner.Name, e)
	fields := []zap.Field{
		zap.String("Request", x.in.ID), zap.String("Workspace", x.owner.Name), zap.String("Route", x.route.Name),
		zap.Stringer("Content", x.content), zap.Stringer("Code", e.Code), zap.String("Ran", e.Ran.Text()), zap.Duration("Took", time.Since(x.began)),
		zap.Duration("Grant", x.in.Grant), zap.Uint64("ConfigVersion", x.version), zap.Duration("ConfigAge", x.age), zap.Error(err),
	}
	if left, leaving := x.g.stop.Began(); leaving {
		fields = append(fields, zap.Duration("BegunAfterLeaving", x.began.Sub(left)), zap.Duration("Leaving", time.Since(left)))
	}
	if x.status != 0 {
		event.Info(x.g.log, event.RequestFailed, append(fields, zap.Int("Status", x.status))...)
		return ErrCut
	}
	e = e.WithRetryAfter(x.comeBack(e))
	event.Info(x.g.log, event.RequestRefused, append(fields, zap.Duration("RetryAfter", e.RetryAfter))...)
	return e
}

// comeBackPart is the part of its remaining time that a caller is asked to wait
// at most: later, its next try would have too little left to be of use.
const comeBackPart = 0.25

func (x *serving) comeBack(e *failure.Error) time.Duration {
	if errors.Is(e, failure.ErrShuttingDown) {
		return limit.Spread(0, x.in.ID, soon)
	}
	if x.in.Grant == 0 || e.RetryAfter == 0 {
		return e.RetryAfter
	}
	left := time.Until(x.began.Add(x.in.Grant))
	return min(e.RetryAfter, max(0, time.Duration(comeBackPart*float64(left))))
}
