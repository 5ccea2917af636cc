// Package caller implements the HTTP listener for callers: the OpenAI-compatible
// endpoints for text generation, a path that forwards calls to plain services, and the
// health, readiness and metrics paths.
package caller

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/head"
	"github.com/dunlinmill/dunlinmill/connection/intake"
	"github.com/dunlinmill/dunlinmill/connection/refusal"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Completions serves requests for generated text.
type Completions interface {
	Start(ctx context.Context, r completion.Request) (*completion.Answer, error)
}

// Calls serves requests to plain services.
type Calls interface {
	Do(ctx context.Context, r call.Request) (upstream.Reply, error)
}

// Directory authenticates callers and lists the models that they can request.
type Directory interface {
	// Workspace returns the name of the workspace that an API key belongs to.
	Workspace(secret string) (name string, ok bool)
	Models() []string
	// Configured reports whether this node has a configuration.
	Configured() bool
}

// Presence reports whether this node should receive new connections.
type Presence interface {
	// Ready reports whether the load balancer should choose this node.
	Ready() bool
	// Leaving reports whether callers should close their connections.
	Leaving() bool
}

// Stop ends requests that are still running when the process stops.
type Stop interface {
	// BoundContext returns a context that ends with ctx, or earlier when the process
	// stops and the time it allows for requests is over. The caller calls release at
	// the end of the request.
	BoundContext(ctx context.Context) (bounded context.Context, release func())
	// NoticeOver reports whether the notice period of a stop is over, so that callers
	// have had time to learn that the process leaves. Requests that arrive nevertheless
	// have to end before finish.
	NoticeOver(now time.Time) (finish time.Time, noticed bool)
}

// Counter counts requests for the metrics.
type Counter interface {
	RequestStarted()
	RequestEnded()
	// RecordAnswer and RecordFailure count the end of a request, once for each
	// request.
	RecordAnswer(workspace string)
	RecordFailure(workspace string, e *failure.Error)
}

// Config limits the resources that one connection can use.
type Config struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request, including its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept-alive connection may stay open without a request.
	IdleTimeout time.Duration
	// StallTimeout limits how long a caller may take to read one write.
	StallTimeout time.Duration
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// DefaultMaxTokens limits the answer to a request that sets no maximum.
	DefaultMaxTokens int
}

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 20 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultStallTimeout   = 30 * time.Second
	DefaultMaxConnections = 64 << 10
	DefaultMaxTokens      = 256
)

// WithDefaults returns a copy of c in which the zero fields have their default values.
func (c Config) WithDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, DefaultHeaderTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.StallTimeout = cmp.Or(c.StallTimeout, DefaultStallTimeout)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.DefaultMaxTokens = cmp.Or(c.DefaultMaxTokens, DefaultMaxTokens)
	return c
}

// Listener serves the callers' HTTP API.
type Listener struct {
	cfg         Config
	completions Completions
	calls       Calls
	directory   Directory
	presence    Presence
	counter     Counter
	stop        Stop
	intake      *intake.Intake
	log         *zap.Logger
	app         *fiber.App
	watcher     disconnectWatcher
	inFlight    atomic.Int64
}

// Services holds the dependencies of a Listener.
type Services struct {
	Completions Completions
	Calls       Calls
	Directory   Directory
	Presence    Presence
	Counter     Counter
	Stop        Stop
	Intake      *intake.Intake
	Metrics     prometheus.Gatherer
	Log         *zap.Logger
}

// NewListener returns a listener that accepts connections once Serve is called.
func NewListener(cfg Config, s Services) *Listener {
	cfg = cfg.WithDefaults()
	l := &Listener{
		cfg:         cfg,
		completions: s.Completions,
		calls:       s.Calls,
		directory:   s.Directory,
		presence:    s.Presence,
		counter:     s.Counter,
		stop:        s.Stop,
		intake:      s.Intake,
		log:         s.Log,
	}
	l.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             cfg.MaxBodyBytes,
		ReadBufferSize:        cfg.MaxHeaderBytes,
		ReadTimeout:           cfg.HeaderTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		Concurrency:           cfg.MaxConnections,
		ErrorHandler:          l.handleError,
		UnescapePath:          false,
		CaseSensitive:         true,
	})
	l.intake.StreamBodies(l.app)
	l.routes(s.Metrics)
	return l
}

func (l *Listener) routes(metrics prometheus.Gatherer) {
	l.app.Use(l.closeWhenLeaving, refuseMalformedHead)
	l.app.Get("/health", l.health)
	l.app.Get("/ready", l.ready)
	l.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})))
	l.app.Get("/v1/models", l.models)
	l.app.Post("/v1/chat/completions", l.chat)
	l.app.Post("/v1/completions", l.complete)
	l.app.All("/services/:name/*", l.service)
	l.app.Use(func(*fiber.Ctx) error { return failure.ErrNotFound })
}

// Serve accepts connections from ln until Shutdown is called.
func (l *Listener) Serve(ln net.Listener) error { return l.app.Listener(ln) }

// receive reads the body of a request, which is held so many times once it is decoded. The caller calls release at the end
// of the request.
func (l *Listener) receive(c *fiber.Ctx, now time.Time, workspace string, copies int) (body []byte, release func(), err error) {
	return l.intake.Receive(c, now, intake.Reception{Workspace: workspace, Limit: l.cfg.MaxBodyBytes, Copies: copies})
}

// shutdownRetryAfter is the Retry-After of a node that is shutting down. It is short
// because the load balancer sends the next attempt to another node.
const shutdownRetryAfter = time.Second

// AwaitIdle waits until no request is in flight, or until the given time. The listener
// stays open meanwhile: callers who arrive get an error answer, which a closed listener
// could not give them.
func (l *Listener) AwaitIdle(until time.Time) {
	drain.AwaitIdle(func() bool { return l.inFlight.Load() > 0 }, until)
}

// beginRequest counts a request as in flight. A request that arrives after the notice
// period of a stop is refused and no longer counted.
func (l *Listener) beginRequest(now time.Time, id, workspace string) error {
	l.inFlight.Add(1)
	l.counter.RequestStarted()
	if _, noticed := l.stop.NoticeOver(now); !noticed {
		return nil
	}
	err := failure.ErrShuttingDown.WithRetryAfter(shutdownRetryAfter)
	l.recordRefusal(id, workspace, err)
	return err
}

// recordRefusal counts and logs the end of a request that failed before any part of an
// answer was sent.
func (l *Listener) recordRefusal(id, workspace string, err error, more ...zap.Field) {
	l.recordEnd(workspace, err)
	fields := []zap.Field{zap.String("Request", id), zap.String("Workspace", workspace)}
	event.Info(l.log, event.RequestRefused, append(append(fields, more...), zap.Error(err))...)
}

// Shutdown stops accepting connections and waits up to grace for the requests in
// flight.
func (l *Listener) Shutdown(grace time.Duration) error {
	return l.app.ShutdownWithTimeout(grace)
}

// closeWhenLeaving closes a kept-alive connection after the current answer while the
// node leaves. Otherwise a caller could send its next request on a connection that is
// about to close.
func (l *Listener) closeWhenLeaving(c *fiber.Ctx) error {
	if l.presence.Leaving() {
		c.Context().Response.SetConnectionClose()
	}
	return c.Next()
}

// refuseMalformedHead refuses requests whose fields the library has parsed although they are malformed. A plain service
// that they were forwarded to could read them otherwise.
func refuseMalformedHead(c *fiber.Ctx) error {
	if err := head.CheckFields(c.Request().Header.RawHeaders()); err != nil {
		c.Context().Response.SetConnectionClose() // the body may end elsewhere
		return failure.ErrMalformedRequest.WithMessage("%v", err)
	}
	return c.Next()
}

func (l *Listener) health(c *fiber.Ctx) error { return c.SendString("ok\n") }

func (l *Listener) ready(c *fiber.Ctx) error {
	if !l.presence.Ready() || !l.directory.Configured() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// handleError answers a request with the typed form of its error.
func (l *Listener) handleError(c *fiber.Ctx, err error) error {
	if errors.Is(err, fiber.ErrRequestTimeout) && len(c.Request().Header.RawHeaders()) == 0 {
		return l.handleReadTimeout(c)
	}
	e := refusal.FromError(err)
	refusal.DrainOversized(c, e, l.intake.Drainer)
	return writeFailure(c, e)
}

// handleReadTimeout handles a connection on which no request was read in time. Client
// libraries open connections in advance, and would take an error sent on such a
// connection for the answer to the request that they are just sending, so the
// connection is closed without an answer. If data is waiting to be read, this node was
// stopped while the request arrived. It then answers with an error, because a reset
// connection would leave the caller unsure whether the request ran.
func (l *Listener) handleReadTimeout(c *fiber.Ctx) error {
	conn := c.Context().Conn()
	if !hasUnreadData(conn) {
		return conn.Close()
	}
	l.intake.Drainer.Body(conn, 0)
	return writeFailure(c, failure.ErrOverloaded.WithMessage("this node was too late to read the request").
		WithRetryAfter(readTimeoutRetryAfter))
}

// readTimeoutRetryAfter is the Retry-After of a node that was stopped too long to read
// a request in time.
const readTimeoutRetryAfter = time.Second
