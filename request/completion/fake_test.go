package completion

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// words is the whole answer of every engine in these tests.
var words = []string{"the ", "next ", "hydrant ", "works."}

// script is how one engine behaves.
type script struct {
	generate error // instead of a stream
	version  string
	cutAfter int  // tokens of a new stream before it breaks; 0: never
	holds    bool // whether a cut stream can be resumed
	reborn   bool // whether a resumed stream is of another incarnation
	early    bool // whether the cut looks like an end
	frozen   bool // takes the request and never answers
	ends     bool // whether its process ends: at the cut, or before any answer

	export  error // instead of an export
	kv      int   // bytes of an export
	imports error // instead of an import
	hangs   bool  // whether exports and imports hang
}

// engine is a scripted upstream.Engine.
type engine struct {
	name string
	script

	mu        sync.Mutex
	sends     []upstream.Generation
	cancelled int
	exported  []upstream.Generation
	ended     bool
	imported  int  // successful imports
	unbounded bool // an export or import came without a time limit
}

func (e *engine) Generate(ctx context.Context, g upstream.Generation) (upstream.Stream, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
	}
	if e.frozen {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", upstream.ErrBroken, ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil, upstream.ErrNotSent
	}
	e.ended = e.ends
	e.sends = append(e.sends, g)
	if e.ends && e.cutAfter == 0 {
		return nil, errEnded
	}
	if e.generate != nil {
		return nil, e.generate
	}
	if e.version != "" && e.version != g.Version {
		return nil, fmt.Errorf("%w: %w", upstream.ErrWrongVersion, upstream.ErrRefused)
	}
	sent := 0
	for text := ""; text != g.Continue; sent++ {
		text += words[sent]
	}
	if g.After != "" {
		sent, _ = strconv.Atoi(g.After)
	}
	return &stream{e: e, id: g.StreamID, version: g.Version, rest: words[sent:], incarnation: 1, cut: e.cutAfter}, nil
}

func (e *engine) Resume(_ context.Context, id string, after int) (upstream.Stream, error) {
	if !e.holds {
		return nil, upstream.ErrUnknownStream
	}
	s := &stream{e: e, id: id, version: "v1", rest: words[after+1:], next: after + 1, incarnation: 1}
	if e.reborn {
		s.incarnation = 2
	}
	return s, nil
}

func (e *engine) Cancel(context.Context, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	return nil
}

func (e *engine) Report(context.Context) (upstream.Report, error) { return upstream.Report{}, nil }
func (e *engine) Events(context.Context, uint64) (upstream.CacheEvents, error) {
	return upstream.CacheEvents{}, nil
}
func (e *engine) Order(context.Context, upstream.Order) error { return nil }
func (e *engine) Export(ctx context.Context, g upstream.Generation) ([]byte, error) {
	e.exported = append(e.exported, g)
	if err := e.hang(ctx); err != nil {
		return nil, err
	}
	return make([]byte, e.kv), e.export
}
func (e *engine) Import(ctx context.Context, _ []byte) error {
	if err := e.hang(ctx); err != nil {
		return err
	}
	if e.script.imports == nil {
		e.imported++
	}
	return e.script.imports
}

// hang waits for the end of the call, if it has a limit.
func (e *engine) hang(ctx context.Context) error {
	if _, ok := ctx.Deadline(); !ok {
		e.unbounded = true
		return nil
	}
	if !e.hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// errEnded is what a send gives whose engine's process has ended.
var errEnded = fmt.Errorf("%w: %w", upstream.ErrBroken, upstream.ErrEnded)

type stream struct {
	e           *engine
	id          string
	version     string
	incarnation uint64
	rest        []string
	next        int
	cut         int
}

func (s *stream) Head() upstream.Head {
	return upstream.Head{StreamID: s.id, Version: s.version, Incarnation: s.incarnation, PromptTokens: 100, CachedTokens: 60}
}

func (s *stream) Next() (upstream.Token, error) {
	if s.cut > 0 && s.next == s.cut {
		if s.e.early {
			return upstream.Token{}, io.EOF
		}
		if s.e.ends {
			return upstream.Token{}, errEnded
		}
		return upstream.Token{}, upstream.ErrBroken
	}
	if len(s.rest) == 0 {
		return upstream.Token{}, io.EOF
	}
	t := upstream.Token{Index: s.next, Text: s.rest[0], Event: strconv.Itoa(len(words) - len(s.rest) + 1)}
	s.rest = s.rest[1:]
	s.next++
	if len(s.rest) == 0 {
		t.Finish = "stop"
	}
	return t, nil
}

func (s *stream) Close() error { return nil }

// site is a router over scripted engines; the first one is tried first.
type site struct {
	cfg      config.Config
	engines  map[string]*engine
	versions map[string]string // told by the engines' reports
	policy   *inTurn
	once     *onceJournal
	imports  []error // as the observer was told
}

func newSite(engines ...*engine) *site {
	s := &site{
		cfg: config.New().WithModel(config.Model{Name: "base", Version: "v1"}).
			WithWorkspace(config.Workspace{Name: "sofia"}),
		engines:  map[string]*engine{},
		versions: map[string]string{},
		policy:   &inTurn{},
		once:     &onceJournal{},
	}
	for _, e := range engines {
		s.engines[e.name] = e
		s.versions[e.name] = "v1"
		s.cfg = s.cfg.WithUpstream(config.Upstream{Name: e.name, Models: []string{"base"}})
		s.policy.names = append(s.policy.names, e.name)
	}
	return s
}

func (s *site) router() *Router {
	g, err := guard.New(guard.ForEngines)
	if err != nil {
		panic(err)
	}
	sh, err := shedding.New(shedding.Default)
	if err != nil {
		panic(err)
	}
	return &Router{
		Shedder: sh,
		Config:  Config{}.WithDefaults(), View: s, Upstreams: s, Policies: s, Admission: s,
		Guard: g, Journal: s.once, Recent: s, News: &cachenews.Book{}, Observer: s, Log: zap.NewNop(),
	}
}

func (s *site) Catalogue() *catalogue.Catalogue                   { return catalogue.New(s.cfg) }
func (s *site) Engine(u config.Upstream) upstream.Engine          { return s.engines[u.Name] }
func (s *site) Version(name, _ string) string                     { return s.versions[name] }
func (s *site) Holds(_ time.Time, name, _, version string)        { s.versions[name] = version }
func (s *site) Note(time.Time, prefix.Identity, []prefix.Message) {}
func (s *site) Answered(Request, Info, time.Duration)             {}
func (s *site) Judged(int, bool)                                  {}

func (s *site) Retried(Request, retry.Action) {}
func (s *site) Imported(_ Request, err error) { s.imports = append(s.imports, err) }
func (s *site) Policy(time.Time, catalogue.Group) placement.Policy {
	return s.policy
}
func (s *site) Admit(context.Context, time.Time, Request, int) (func(), error) {
	return func() {}, nil
}

// inTurn places on the first engine that is not excluded.
type inTurn struct {
	placement.Policy
	names    []string
	finished []bool
	source   string // of an import; empty: none
	reads    int    // tokens that others share and that are computed
	wait     time.Duration
}

func (p *inTurn) Place(_ time.Time, r placement.Request) (placement.Decision, error) {
	for _, n := range p.names {
		excluded := false
		for _, x := range r.Excluded {
			excluded = excluded || x == n
		}
		if !excluded {
			return placement.Decision{Upstream: n, Import: p.source != "", Source: p.source, Reads: p.reads, Wait: p.wait}, nil
		}
	}
	return placement.Decision{}, placement.ErrNoCandidate
}

func (p *inTurn) Sent(time.Time, placement.Request, placement.Decision) {}
func (p *inTurn) Answered(time.Time, placement.Request, placement.Decision, placement.Answer) {
}
func (p *inTurn) Finished(_ time.Time, _ placement.Request, _ placement.Decision, ok bool) {
	p.finished = append(p.finished, ok)
}

// onceJournal gives the claims of a journal without peers over a log that
// takes everything at once.
type onceJournal struct {
	journal *journal.Journal
}

func (j *onceJournal) Begin(ctx context.Context, now time.Time, e journal.Entry) (*journal.Claim, *journal.Answer, error) {
	return j.journal.Begin(ctx, now, e)
}
