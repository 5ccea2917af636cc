package call

import (
	"context"
	"fmt"
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

// View gives the configuration in force.
type View interface {
	Catalogue() *catalogue.Catalogue
}

// Upstreams is what this process knows of the service instances.
type Upstreams interface {
	// Service gives the client of an instance of the configuration.
	Service(u config.Upstream) upstream.Service
	// Usable says whether the instance is thought to be up.
	Usable(now time.Time, name string) bool
}

// Guard frames each send with the limits, the ejection and the retry budget.
type Guard interface {
	// Excluded gives those instances that must not get a call now.
	Excluded(now time.Time, names []string) []string
	// Begin takes the place for one send; every true is followed by one End.
	Begin(now time.Time, name string) bool
	// End gives the place back and notes how the send ended.
	End(now time.Time, name string, s guard.Send)
	// Request notes a call's first send.
	Request(workspace, name string)
	// Decide says what becomes of a call after a failed send.
	Decide(now time.Time, a retry.Attempt) retry.Verdict
	// Opens is after how long the first of those that want nothing takes calls again;
	// 0: none has said so.
	Opens(now time.Time, names []string) time.Duration
	// InFlight is this node's own sends on the instance.
	InFlight(name string) int
}

// Admission holds back calls beyond this node's capacity, and refuses those
// that would wait for too long or are beyond their workspace's limits.
type Admission interface {
	// AdmitCall waits for a place; release gives it back. The error is a
	// *failure.Error with the time to come back.
	AdmitCall(ctx context.Context, now time.Time, r Request) (release func(), err error)
}

// Journal sees to it that a not-repeatable call runs once at most.
type Journal interface {
	// Begin claims the call's key, or gives the answer it got before. The
	// error is a *failure.Error.
	Begin(ctx context.Context, now time.Time, e journal.Entry) (*journal.Claim, *journal.Answer, error)
}

// Config bounds one call's life.
type Config struct {
	// Timeout bounds one send with its answer.
	Timeout time.Duration
}

// DefaultTimeout is Config's.
const DefaultTimeout = 30 * time.Second

// WithDefaults fills what is not set.
func (c Config) WithDefaults() Config {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	return c
}

// Router serves calls to plain services. It lives as long as the process.
type Router struct {
	Config    Config
	View      View
	Upstreams Upstreams
	Guard     Guard
	Admission Admission
	Journal   Journal
	Log       *zap.Logger
	// Quarantine keeps back requests that end the instances that run them; nil: none is.
	Quarantine *quarantine.Book
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
	s := &sending{rt: rt, r: r, content: r.content(), instances: instances}
	if !r.Key.Set() {
		return s.sendAll(ctx)
	}
	return s.sendClaimed(ctx, now)
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

// sending is one call on its way.
type sending struct {
	rt        *Router
	r         Request
	content   quarantine.Content
	instances catalogue.List
	claim     *journal.Claim // nil for a call that may be repeated
	attempts  int
	runs      int  // instances that may have run it
	sent      bool // it may have run
	tried     []string
	last      error // of the last send; nil: none failed
}

// sendClaimed claims the key before the send and tells the journal the end.
func (s *sending) sendClaimed(ctx context.Context, now time.Time) (upstream.Reply, error) {
	deduplicates := lo.EveryBy(s.instances.Upstreams, func(u config.Upstream) bool { return u.DeduplicatesKeys })
	c, earlier, err := s.rt.Journal.Begin(ctx, now, s.r.entry(deduplicates))
	if err != nil {
		return upstream.Reply{}, err
	}
	if earlier != nil {
		return *earlier, nil
	}
	s.claim = c
	defer func() { c.Close(time.Now()) }()
	reply, err := s.sendAll(ctx)
	switch {
	case err == nil:
		c.Ran(time.Now(), reply)
	case failure.From(err).Ran == failure.NotRun:
		c.NotSent(time.Now())
		if !c.Recorded() {
			// Without an answer of the log an earlier send of this key may have
			// run by way of another node.
			err = failure.From(err).WithRan(failure.Unknown)
		}
	default:
		c.UnknownOutcome(time.Now())
	}
	return reply, err
}

func (s *sending) sendAll(ctx context.Context) (upstream.Reply, error) {
	for {
		now := time.Now()
		if !s.r.Deadline.IsZero() && !now.Before(s.r.Deadline) {
			return upstream.Reply{}, s.refusal(failure.ErrDeadlineExceeded, nil)
		}
		if err := s.rt.Quarantine.Admit(now, s.content); err != nil {
			return upstream.Reply{}, retry.KeptBack(s.r.ID, s.sent, err)
		}
		u, ok := s.choose(now)
		if !ok {
			return upstream.Reply{}, retry.NoneLeft(s.r.ID, s.sent, s.rt.Guard.Opens(now, s.instances.Names), s.last)
		}
		if !s.rt.Guard.Begin(now, u.Name) {
			// Another call took the last place: nothing was sent.
			s.tried = append(s.tried, u.Name)
			continue
		}
		reply, err := s.send(ctx, now, u)
		if err == nil {
			return reply, nil
		}
		s.last = err
		if ctx.Err() != nil {
			return upstream.Reply{}, s.refusal(failure.Gone(ctx), err)
		}
		if err := s.again(ctx, u.Name, err); err != nil {
			return upstream.Reply{}, err
		}
	}
}

// choose takes the usable instance with the fewest of this node's calls,
// leaving out those that were tried.
func (s *sending) choose(now time.Time) (config.Upstream, bool) {
	excluded := append(s.rt.Guard.Excluded(now, s.instances.Names), s.tried...)
	present := s.rt.View.Catalogue().Config().Upstreams
	open := lo.Filter(s.instances.Upstreams, func(u config.Upstream, _ int) bool {
		// One may have left, or begun to leave, since the instances were listed.
		p, listed := present[u.Name]
		return listed && p.State == config.Active && !lo.Contains(excluded, u.Name)
	})
	usable := lo.Filter(open, func(u config.Upstream, _ int) bool {
		return s.rt.Upstreams.Usable(now, u.Name)
	})
	if len(usable) > 0 {
		open = usable
	}
	if len(open) == 0 {
		return config.Upstream{}, false
	}
	return lo.MinBy(open, s.before), true
}

// before orders instances by this node's calls on them. Equal ones, which they
// mostly are, go by a hash of the call: in the order of their names all nodes'
// calls would meet at the first one.
func (s *sending) before(a, b config.Upstream) bool {
	x, y := s.rt.Guard.InFlight(a.Name), s.rt.Guard.InFlight(b.Name)
	if x != y {
		return x < y
	}
	return xxhash.Sum64String(s.r.ID+a.Name) < xxhash.Sum64String(s.r.ID+b.Name)
}

// send makes one send in the place that was taken for it.
func (s *sending) send(ctx context.Context, now time.Time, u config.Upstream) (upstream.Reply, error) {
	s.attempts++
	if s.attempts == 1 {
		s.rt.Guard.Request(s.r.Workspace, u.Name)
	}
	event.Info(s.rt.Log, event.RequestPlaced, zap.String("Request", s.r.ID),
		zap.Stringer("Content", s.content), zap.String("Workspace", s.r.Workspace), zap.String("Service", s.r.Service),
		zap.String("Upstream", u.Name), zap.Int("Attempt", s.attempts))
	reply, err := s.do(ctx, now, u)
	took := time.Since(now)
	s.rt.Guard.End(time.Now(), u.Name, guard.Send{Err: err, FirstToken: took})
	s.rt.Quarantine.Sent(time.Now(), s.content, u.Name, err)
	if err != nil {
		if !retry.SurelyNotRun(err) {
			s.sent = true
			s.ran()
		}
		return reply, fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	return reply, nil
}

func (s *sending) do(ctx context.Context, now time.Time, u config.Upstream) (upstream.Reply, error) {
	if s.claim != nil && !s.claim.MayBegin(now) {
		return upstream.Reply{}, fmt.Errorf("claim is over: %w", upstream.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, s.patience(now))
	defer cancel()
	reply, err := s.rt.Upstreams.Service(u).Do(ctx, s.r.call())
	if s.claim != nil && err != nil && retry.SurelyNotRun(err) {
		s.claim.Reopen()
	}
	return reply, err
}

func (s *sending) patience(now time.Time) time.Duration {
	if s.r.Deadline.IsZero() {
		return s.rt.Config.Timeout
	}
	return min(s.rt.Config.Timeout, s.r.Deadline.Sub(now))
}

// again returns when the call may be sent once more after a failed send, or
// the caller's error if it may not.
func (s *sending) again(ctx context.Context, name string, cause error) error {
	v := s.rt.Guard.Decide(time.Now(), retry.Attempt{
		ID:         s.r.ID,
		Workspace:  s.r.Workspace,
		Upstream:   name,
		Tries:      s.attempts,
		Runs:       s.runs,
		MaxRuns:    s.r.MaxRuns,
		Repeatable: s.r.mayRepeat(),
		Fault:      retry.Classify(cause, 0),
		SentBefore: s.sent,
		Others:     s.others(name),
		Return:     upstream.HeldOff(cause),
		Doubted:    s.rt.Quarantine.Doubts(time.Now(), s.content, cause),
		Deadline:   s.r.Deadline,
		Cause:      cause,
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

func (s *sending) pause(ctx context.Context, wait time.Duration) error {
	if err := retry.Pause(ctx, wait); err != nil {
		return s.refusal(failure.Gone(ctx), err)
	}
	return nil
}

// others counts the instances that were not tried yet, but for name.
func (s *sending) others(name string) int {
	return lo.CountBy(s.instances.Names, func(n string) bool {
		return n != name && !lo.Contains(s.tried, n)
	})
}

func (s *sending) refusal(e *failure.Error, cause error) error {
	return retry.Refusal(s.r.ID, s.sent, e, cause)
}

// ran notes that one more instance may have run the call.
func (s *sending) ran() {
	s.runs++
	if s.runs > 1 && s.r.RunsAgain != nil {
		s.r.RunsAgain()
	}
}
