package call

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// View provides the configuration in force.
type View interface {
	Catalogue() *catalogue.Catalogue
}

// Upstreams is what this process knows of the service instances.
type Upstreams interface {
	// Service returns the client of a configured instance.
	Service(u config.Upstream) upstream.Service
	// Usable reports whether the instance is believed to be up.
	Usable(now time.Time, name string) bool
}

// Guard applies the concurrency limits, the ejection of instances and the retry
// budget to each send.
type Guard interface {
	// Excluded returns the instances that must not get a call now.
	Excluded(now time.Time, names []string) []string
	// Begin takes a slot for one send; each true must be followed by one End.
	Begin(now time.Time, name string) bool
	// End frees the slot and records how the send ended.
	End(now time.Time, name string, s guard.SendResult)
	// RecordRequest records the first send of a call.
	RecordRequest(workspace, name string)
	// Decide returns what to do with a call after a failed send.
	Decide(now time.Time, a retry.Attempt) retry.Verdict
	// ShortestHoldOff returns the time until the first instance that asked for a
	// hold-off accepts calls again; 0 if none asked.
	ShortestHoldOff(now time.Time, names []string) time.Duration
	// InFlight returns the number of this node's own sends on the instance.
	InFlight(name string) int
}

// Admission queues calls beyond this node's capacity. It refuses calls that would
// wait too long or that exceed the limits of their workspace.
type Admission interface {
	// AdmitCall waits for a slot; release frees it. The error is a *failure.Error
	// that says when to retry.
	AdmitCall(ctx context.Context, now time.Time, r Request) (release func(), err error)
}

// Journal ensures that a call that may not be repeated runs at most once.
type Journal interface {
	// Begin claims the call's key, or returns the answer to an earlier call with
	// that key. The error is a *failure.Error.
	Begin(ctx context.Context, now time.Time, e journal.KeyedRequest) (*journal.Claim, *journal.Answer, error)
}

// Config bounds the processing of one call.
type Config struct {
	// Timeout bounds one send, including its reply.
	Timeout time.Duration
}

// DefaultTimeout is the default of Config.Timeout.
const DefaultTimeout = 30 * time.Second

// WithDefaults returns the configuration with defaults for unset fields.
func (c Config) WithDefaults() Config {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	return c
}

// Send is how one send to an instance has ended.
type Send struct {
	Service, Kind string // of the call
	Upstream      string
	Took          time.Duration
	Err           error
	// CallerGone says that the caller went away before the end.
	CallerGone bool
}

// SendObserver is told how each send has ended.
type SendObserver interface {
	CallEnded(now time.Time, s Send)
}

// Router serves calls to plain services for the lifetime of the process.
type Router struct {
	Config    Config
	View      View
	Upstreams Upstreams
	Guard     Guard
	Admission Admission
	Journal   Journal
	Log       *zap.Logger
	// Sends is told how each send has ended; nil: nobody is.
	Sends SendObserver
	// Quarantine holds back requests that crash the instances that run them; nil:
	// no request is held back.
	Quarantine *quarantine.Tracker
}

// Do serves one call. The error is always a *failure.Error.
func (rt *Router) Do(ctx context.Context, r Request) (upstream.Reply, error) {
	now := time.Now()
	instances, err := rt.instances(r)
	if err != nil {
		return upstream.Reply{}, err
	}
	release, err := rt.Admission.AdmitCall(ctx, now, r)
	if err != nil {
		return upstream.Reply{}, err
	}
	defer release()
	s := &callState{rt: rt, r: r, content: r.content(), instances: instances}
	if !r.Key.IsSet() {
		return s.sendUntilAnswered(ctx)
	}
	return s.sendWithClaim(ctx, now)
}

func (rt *Router) instances(r Request) (catalogue.List, error) {
	l, known := rt.View.Catalogue().Services(r.Service)
	switch {
	case !known:
		return l, failure.ErrUnknownService.WithMessage("no service %q", r.Service)
	case len(l.Names) == 0:
		return l, retry.Refusal(r.ID, false, failure.ErrNoUpstream, nil)
	}
	return l, nil
}

// callState is the state of one call over all its sends.
type callState struct {
	rt         *Router
	r          Request
	content    quarantine.Content
	instances  catalogue.List
	claim      *journal.Claim // nil for a call without a key
	attempts   int
	runs       int // instances that may have run the call
	mayHaveRun bool
	tried      []string
	// firstTryOver says that no instance took the first try, so that Request.AvoidLater applies.
	firstTryOver bool
	lastErr      error // error of the last failed send; nil: none failed
}

// sendWithClaim claims the key before the first send and records the outcome in the
// journal.
func (s *callState) sendWithClaim(ctx context.Context, now time.Time) (upstream.Reply, error) {
	deduplicates := lo.EveryBy(s.instances.Upstreams, func(u config.Upstream) bool { return u.DeduplicatesKeys })
	c, earlier, err := s.rt.Journal.Begin(ctx, now, s.r.journalEntry(deduplicates))
	if err != nil {
		return upstream.Reply{}, err
	}
	if earlier != nil {
		return *earlier, nil
	}
	s.claim = c
	defer func() { c.Close(time.Now()) }()
	reply, err := s.sendUntilAnswered(ctx)
	switch {
	case err == nil:
		c.EndRan(time.Now(), reply)
	case failure.FromError(err).Ran == failure.NotRun:
		c.EndNotSent(time.Now())
		if !c.InLog() {
			// The claim has no record in the log, so an earlier call with this key
			// may have run through another node.
			err = failure.FromError(err).WithRan(failure.Unknown)
		}
	default:
		c.EndUnclear(time.Now())
	}
	return reply, err
}

func (s *callState) sendUntilAnswered(ctx context.Context) (upstream.Reply, error) {
	for {
		now := time.Now()
		if !s.r.Deadline.IsZero() && !now.Before(s.r.Deadline) {
			return upstream.Reply{}, s.refusal(failure.ErrDeadlineExceeded, nil)
		}
		if err := s.rt.Quarantine.Admit(now, s.content); err != nil {
			return upstream.Reply{}, retry.QuarantineRefusal(s.r.ID, s.mayHaveRun, err)
		}
		u, ok := s.chooseInstance(now)
		if !ok && s.giveUpFirstTry() {
			continue
		}
		if !ok {
			return upstream.Reply{}, retry.NoUpstreamRefusal(s.r.ID, s.mayHaveRun, s.rt.Guard.ShortestHoldOff(now, s.instances.Names), s.lastErr)
		}
		if !s.rt.Guard.Begin(now, u.Name) {
			// Another call took the last slot. Nothing was sent.
			s.tried = append(s.tried, u.Name)
			continue
		}
		reply, err := s.send(ctx, now, u)
		if err == nil {
			return reply, nil
		}
		s.lastErr = err
		if ctx.Err() != nil {
			return upstream.Reply{}, s.refusal(failure.FromContext(ctx), err)
		}
		if err := s.prepareRetry(ctx, u.Name, err); err != nil {
			return upstream.Reply{}, err
		}
	}
}

// chooseInstance returns the usable instance with the fewest of this node's calls in
// flight, without those that were tried. If none is usable, it chooses among the others.
func (s *callState) chooseInstance(now time.Time) (config.Upstream, bool) {
	excluded := slices.Concat(s.rt.Guard.Excluded(now, s.instances.Names), s.tried, s.avoided())
	upstreams := s.rt.View.Catalogue().Config().Upstreams
	eligible := lo.Filter(s.instances.Upstreams, func(u config.Upstream, _ int) bool {
		// The instance may have been removed or started to drain since the
		// instances were listed.
		current, listed := upstreams[u.Name]
		return listed && current.State == config.Active && !lo.Contains(excluded, u.Name)
	})
	usable := lo.Filter(eligible, func(u config.Upstream, _ int) bool {
		return s.rt.Upstreams.Usable(now, u.Name)
	})
	if len(usable) > 0 {
		eligible = usable
	}
	if len(eligible) == 0 {
		return config.Upstream{}, false
	}
	return lo.MinBy(eligible, s.lessLoaded), true
}

// avoided returns the instances that the current try must not go to, as the call is to be served by
// another software version.
func (s *callState) avoided() []string {
	if s.attempts > 0 || s.firstTryOver {
		return s.r.AvoidLater
	}
	return s.r.Avoid
}

// giveUpFirstTry makes the call look for an instance again, without the restriction of its first try. It
// returns false if there was none, or if it has been tried.
func (s *callState) giveUpFirstTry() bool {
	if s.attempts > 0 || s.firstTryOver || len(s.r.Avoid) == 0 {
		return false
	}
	s.firstTryOver, s.tried = true, nil
	return true
}

// lessLoaded orders instances by this node's calls in flight. Most often the numbers are
// equal; a hash of the call and the instance then decides. In the order of the names, the
// calls of all nodes would go to the first instance.
func (s *callState) lessLoaded(a, b config.Upstream) bool {
	x, y := s.rt.Guard.InFlight(a.Name), s.rt.Guard.InFlight(b.Name)
	if x != y {
		return x < y
	}
	return xxhash.Sum64String(s.r.ID+a.Name) < xxhash.Sum64String(s.r.ID+b.Name)
}

// send makes one send in the slot taken for it.
func (s *callState) send(ctx context.Context, now time.Time, u config.Upstream) (upstream.Reply, error) {
	s.attempts++
	if s.attempts == 1 {
		s.rt.Guard.RecordRequest(s.r.Workspace, u.Name)
	}
	event.Info(s.rt.Log, event.RequestPlaced, zap.String("Request", s.r.ID),
		zap.Stringer("Content", s.content.Request), zap.String("Workspace", s.r.Workspace), zap.String("Service", s.r.Service),
		zap.String("Upstream", u.Name), zap.Int("Attempt", s.attempts))
	reply, err := s.callInstance(ctx, now, u)
	took := time.Since(now)
	s.rt.Guard.End(time.Now(), u.Name, guard.SendResult{Err: err, FirstToken: took})
	s.rt.Quarantine.ReportResult(time.Now(), s.content, quarantine.Result{Upstream: u.Name, Err: err})
	if s.rt.Sends != nil {
		s.rt.Sends.CallEnded(time.Now(), Send{Service: s.r.Service, Kind: s.r.Kind, Upstream: u.Name, Took: took, Err: err, CallerGone: errors.Is(ctx.Err(), context.Canceled)})
	}
	if err != nil {
		if !retry.SurelyNotRun(err) {
			s.mayHaveRun = true
			s.countRun()
		}
		return reply, fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	return reply, nil
}

func (s *callState) callInstance(ctx context.Context, now time.Time, u config.Upstream) (upstream.Reply, error) {
	if s.claim != nil && !s.claim.BeginSend(now) {
		return upstream.Reply{}, fmt.Errorf("journal claim has ended: %w", upstream.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, s.sendTimeout(now))
	defer cancel()
	reply, err := s.rt.Upstreams.Service(u).Do(ctx, s.r.upstreamCall())
	if s.claim != nil && err != nil && retry.SurelyNotRun(err) {
		s.claim.UndoBeginSend()
	}
	return reply, err
}

func (s *callState) sendTimeout(now time.Time) time.Duration {
	if s.r.Deadline.IsZero() {
		return s.rt.Config.Timeout
	}
	return min(s.rt.Config.Timeout, s.r.Deadline.Sub(now))
}

// prepareRetry returns nil when the call may be sent again after a failed send, or the
// error for the caller if it may not.
func (s *callState) prepareRetry(ctx context.Context, name string, cause error) error {
	v := s.rt.Guard.Decide(time.Now(), retry.Attempt{
		ID:               s.r.ID,
		Workspace:        s.r.Workspace,
		Upstream:         name,
		Tries:            s.attempts,
		Runs:             s.runs,
		MaxRuns:          s.r.MaxRuns,
		Repeatable:       s.r.mayRepeat(),
		Fault:            retry.Classify(cause, 0),
		SentBefore:       s.mayHaveRun,
		UntriedUpstreams: s.countUntried(name),
		RetryAfter:       upstream.HoldOffDuration(cause),
		CrashesUpstreams: s.rt.Quarantine.ForbidsRetryAfter(time.Now(), s.content, cause),
		Deadline:         s.r.Deadline,
		Cause:            cause,
	})
	event.Info(s.rt.Log, event.RequestRetried, zap.String("Request", s.r.ID),
		zap.String("Upstream", name), zap.Int("Attempt", s.attempts),
		zap.Stringer("Action", v.Action), zap.String("Reason", v.Reason), zap.Error(cause))
	switch v.Action {
	case retry.RetryElsewhere:
		s.tried = append(s.tried, name)
		return nil
	case retry.RetrySame:
		return s.pause(ctx, v.Wait)
	}
	return v.Err
}

func (s *callState) pause(ctx context.Context, wait time.Duration) error {
	if err := retry.Pause(ctx, wait); err != nil {
		return s.refusal(failure.FromContext(ctx), err)
	}
	return nil
}

// countUntried counts the instances that were not tried yet, without the named one.
func (s *callState) countUntried(name string) int {
	return lo.CountBy(s.instances.Names, func(n string) bool {
		return n != name && !lo.Contains(s.tried, n) && !lo.Contains(s.avoided(), n)
	})
}

func (s *callState) refusal(e *failure.Error, cause error) error {
	return retry.Refusal(s.r.ID, s.mayHaveRun, e, cause)
}

// countRun counts one more instance that may have run the call.
func (s *callState) countRun() {
	s.runs++
	if s.runs > 1 && s.r.OnFurtherRun != nil {
		s.r.OnFurtherRun()
	}
}
