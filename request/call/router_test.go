package call

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
)

// instance is a scripted service instance: its answers in turn, nil for a
// good one; the last one is given again and again.
type instance struct {
	name    string
	answers []error
	calls   int
}

func (i *instance) Do(context.Context, upstream.Call) (upstream.Reply, error) {
	err := i.answers[min(i.calls, len(i.answers)-1)]
	i.calls++
	if err != nil {
		return upstream.Reply{}, err
	}
	return upstream.Reply{Status: http.StatusOK, Body: []byte("logged")}, nil
}

// site is a router over scripted instances, tried in their order.
type site struct {
	cfg       config.Config
	instances []*instance
}

func newSite(deduplicates bool, instances ...*instance) *site {
	s := &site{cfg: config.New().WithWorkspace(config.Workspace{Name: "sofia"}), instances: instances}
	for _, i := range instances {
		s.cfg = s.cfg.WithUpstream(config.Upstream{
			Name: i.name, Kind: config.Service, Service: "records", DeduplicatesKeys: deduplicates,
		})
	}
	return s
}

func (s *site) Catalogue() *catalogue.Catalogue { return catalogue.New(s.cfg) }
func (s *site) Usable(time.Time, string) bool   { return true }
func (s *site) Service(u config.Upstream) upstream.Service {
	return s.instances[slices.IndexFunc(s.instances, func(i *instance) bool { return i.name == u.Name })]
}
func (s *site) AdmitCall(context.Context, time.Time, Request) (func(), error) {
	return func() {}, nil
}

func (s *site) router(t *testing.T, log *fakelog.Log) *Router {
	t.Helper()
	g, err := guard.New(guard.ForServices)
	if err != nil {
		t.Fatal(err)
	}
	settings := journal.DefaultSettings()
	settings.Node, settings.Incarnation, settings.DataCentre = "n1", 1, "dc"
	settings.ClaimTimeout = 200 * time.Millisecond
	j, err := journal.New(settings, log, journal.Alone{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return &Router{
		Config: Config{}.WithDefaults(), View: s, Upstreams: s, Guard: g, Admission: s, Journal: j, Log: zap.NewNop(),
	}
}

func request(method string) Request {
	return Request{ID: "r4", Workspace: "sofia", Service: "records", Method: method, Path: "/inspections"}
}

func withKey(t *testing.T, r Request) Request {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	r.Key = idempotency.Key{Value: key.String()}
	return r
}

// The caller of a call that changes something gets an error and has to decide
// whether to send it again. A call that may have run must neither be sent
// again by the router nor be called NotRun; the one exception is a method that
// changes nothing, or a caller who allows it.
func TestWhatIsSentAgain(t *testing.T) {
	broken, refused, unsent := upstream.ErrBroken, upstream.ErrRefused, upstream.ErrNotSent
	cases := []struct {
		name   string
		method string
		allow  bool    // the caller allows repeats
		first  []error // answers of the first instance
		want   error
		ran    failure.Ran
		calls  int // over both instances
	}{
		{"answered", http.MethodPost, false, []error{nil}, nil, 0, 1},
		{"no connection", http.MethodPost, false, []error{unsent}, nil, 0, 2},
		{"refused", http.MethodPost, false, []error{refused}, nil, 0, 2},
		{"broken", http.MethodPost, false, []error{broken}, failure.ErrUpstreamFailed, failure.Unknown, 1},
		{"broken, PUT", http.MethodPut, false, []error{broken}, failure.ErrUpstreamFailed, failure.Unknown, 1},
		{"broken, DELETE", http.MethodDelete, false, []error{broken}, failure.ErrUpstreamFailed, failure.Unknown, 1},
		{"broken, GET", http.MethodGet, false, []error{broken}, nil, 0, 2},
		{"broken, repeats allowed", http.MethodPost, true, []error{broken}, nil, 0, 2},
	}
	for _, c := range cases {
		a, b := &instance{name: "a", answers: c.first}, &instance{name: "b", answers: []error{nil}}
		r := request(c.method)
		r.Repeatable = c.allow
		_, err := newSite(false, a, b).router(t, &fakelog.Log{}).Do(context.Background(), r)
		if !errors.Is(err, c.want) || err != nil && failure.From(err).Ran != c.ran {
			t.Errorf("%s: %v, want %v, %v", c.name, err, c.want, c.ran)
		}
		if a.calls+b.calls != c.calls {
			t.Errorf("%s: %d calls, want %d", c.name, a.calls+b.calls, c.calls)
		}
	}
}

// The caller sends a call that may run once, and sends it again with the same
// key. It runs once at most, and the second try is told the truth: the first
// answer, or that nobody knows.
func TestKeyedCallRunsOnce(t *testing.T) {
	cases := []struct {
		name   string
		first  []error
		want   []error // of the two tries
		calls  int
		second string // body of the second answer
	}{
		{"answered", []error{nil}, []error{nil, nil}, 1, "logged"},
		{"no connection to the first", []error{upstream.ErrNotSent}, []error{nil, nil}, 2, "logged"},
		{"broken", []error{upstream.ErrBroken}, []error{failure.ErrUpstreamFailed, failure.ErrOutcomeUnknown}, 1, ""},
	}
	for _, c := range cases {
		a, b := &instance{name: "a", answers: c.first}, &instance{name: "b", answers: []error{nil}}
		rt := newSite(false, a, b).router(t, &fakelog.Log{})
		r := withKey(t, request(http.MethodPost))
		var reply upstream.Reply
		for i, want := range c.want {
			var err error
			if reply, err = rt.Do(context.Background(), r); !errors.Is(err, want) {
				t.Errorf("%s: try %d: %v, want %v", c.name, i+1, err, want)
			}
		}
		if a.calls+b.calls != c.calls || string(reply.Body) != c.second {
			t.Errorf("%s: %d calls, second answer %q; want %d, %q", c.name, a.calls+b.calls, reply.Body, c.calls, c.second)
		}
	}
}

// The log is down. A call goes through only if every instance runs a key once
// by itself; otherwise the caller is refused at once and told when to come
// back. No refusal says NotRun: an earlier try with the key may have run by
// way of a node that is gone, and only the log knows.
func TestKeyedCallWithoutLog(t *testing.T) {
	cases := []struct {
		name         string
		deduplicates bool
		answer       error
		want         error
		calls        int
	}{
		{"nobody keeps keys", false, nil, failure.ErrJournalUnavailable, 0},
		{"instances keep keys", true, nil, nil, 1},
		{"instances keep keys, none is reached", true, upstream.ErrNotSent, failure.ErrNoUpstream, 4},
	}
	for _, c := range cases {
		log := &fakelog.Log{}
		log.SetDown(true)
		a := &instance{name: "a", answers: []error{c.answer}}
		_, err := newSite(c.deduplicates, a).router(t, log).Do(context.Background(), withKey(t, request(http.MethodPost)))
		if !errors.Is(err, c.want) || a.calls != c.calls {
			t.Errorf("%s: %v and %d calls, want %v and %d", c.name, err, a.calls, c.want, c.calls)
			continue
		}
		if err == nil {
			continue
		}
		if got := failure.From(err); got.Ran == failure.NotRun || got.RetryAfter <= 0 {
			t.Errorf("%s: ran %v, come back in %s", c.name, got.Ran, got.RetryAfter)
		}
	}
}

// Many callers' calls come while no instance is busier than another. In the
// order of the instances' names all nodes' calls would meet at the first one;
// they have to spread, with no message between the nodes.
func TestCallsSpreadOverIdleInstances(t *testing.T) {
	instances := []*instance{{name: "a", answers: []error{nil}}, {name: "b", answers: []error{nil}}, {name: "c", answers: []error{nil}}}
	rt := newSite(false, instances...).router(t, &fakelog.Log{})
	for i := range 300 {
		r := request(http.MethodGet)
		r.ID = strconv.Itoa(i)
		if _, err := rt.Do(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range instances {
		if i.calls < 60 || i.calls > 140 {
			t.Errorf("%s got %d of 300 calls", i.name, i.calls)
		}
	}
}

// A caller's call that may run once, and that no other node has, breaks after
// the send. It needs no log to be kept from a second run.
func TestOnceIsNotSentAgain(t *testing.T) {
	log := &fakelog.Log{}
	log.SetDown(true)
	a, b := &instance{name: "a", answers: []error{upstream.ErrBroken}}, &instance{name: "b", answers: []error{upstream.ErrBroken}}
	r := request(http.MethodGet)
	r.Once = true
	_, err := newSite(false, a, b).router(t, log).Do(context.Background(), r)
	if got := failure.From(err); got.Ran != failure.Unknown || got.Code != failure.UpstreamFailed {
		t.Errorf("%v, %v", got, got.Ran)
	}
	if a.calls+b.calls != 1 {
		t.Errorf("%d calls", a.calls+b.calls)
	}
}

// An instance answers that it failed. A repeatable call is tried elsewhere; if
// that fails as well, the caller gets the instance's own answer, not one that
// the router made up.
func TestFailedAnswerIsTriedElsewhereAndPassedOn(t *testing.T) {
	failed := &upstream.FailedReply{Reply: upstream.Reply{Status: 500, Body: []byte("no disk")}}
	a, b := &instance{name: "a", answers: []error{failed}}, &instance{name: "b", answers: []error{failed}}
	r := request(http.MethodGet)
	r.MaxRuns = 2
	_, err := newSite(false, a, b).router(t, &fakelog.Log{}).Do(context.Background(), r)
	var got *upstream.FailedReply
	if !errors.As(err, &got) || string(got.Reply.Body) != "no disk" {
		t.Errorf("%v", err)
	}
	if a.calls != 1 || b.calls != 1 {
		t.Errorf("%d and %d calls", a.calls, b.calls)
	}
}

// closed keeps calls from one instance, as if it were ejected.
type closed struct {
	Guard
	name string
}

func (c closed) Excluded(now time.Time, names []string) []string {
	return append(c.Guard.Excluded(now, names), c.name)
}

// An instance answers that it failed, and the only other one is ejected: a cut
// has silenced it. The caller reads what the instance said, as it would if there
// were no other, and not that there is no instance.
func TestFailedAnswerIsPassedOnIfTheOthersAreEjected(t *testing.T) {
	failed := &upstream.FailedReply{Reply: upstream.Reply{Status: 500, Body: []byte("no disk")}}
	a, b := &instance{name: "a", answers: []error{failed}}, &instance{name: "b", answers: []error{nil}}
	rt := newSite(false, a, b).router(t, &fakelog.Log{})
	rt.Guard = closed{Guard: rt.Guard, name: "b"}
	r := request(http.MethodGet)
	r.MaxRuns = 2
	_, err := rt.Do(context.Background(), r)
	var got *upstream.FailedReply
	if !errors.As(err, &got) || b.calls != 0 {
		t.Errorf("%v, %d calls", err, b.calls)
	}
}

// The caller goes away while an instance works on its call. The call must not
// be sent anywhere again: nobody reads the answer, and the resend is paid for
// by others.
func TestCallOfACallerThatLeftIsNotSentAgain(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	leave()
	a, b := &instance{name: "a", answers: []error{upstream.ErrBroken}}, &instance{name: "b", answers: []error{nil}}
	_, err := newSite(false, a, b).router(t, &fakelog.Log{}).Do(ctx, request(http.MethodGet))
	if !errors.Is(err, failure.ErrCancelled) || a.calls+b.calls != 1 {
		t.Errorf("%v, %d calls", err, a.calls+b.calls)
	}
}
