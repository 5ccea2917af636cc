package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/refusal"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Planner answers intents with plans. Refusals are *failure.Error.
type Planner interface {
	Propose(ctx context.Context, operator string, intent record.Intent) (fold.Plan, error)
	Plans(ctx context.Context) ([]fold.Plan, error)
	Plan(ctx context.Context, id string) (fold.Plan, error)
	// Confirm accepts a plan if base is the offset that it was made from and
	// nothing that it touches has changed since.
	Confirm(ctx context.Context, operator, id string, base platform.Offset) (fold.Plan, error)
}

// View is the configuration in force on this node.
type View interface {
	Config() config.Config
	// CaughtUp says whether this node has read the log to its end since it
	// started. Until then an empty configuration only means "not known".
	CaughtUp() bool
}

// Reporter describes this node.
type Reporter interface {
	Status(ctx context.Context) Status
}

// Config bounds what one operator's call may cost.
type Config struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// CallTimeout bounds the time that a call may wait for the log.
	CallTimeout time.Duration
	// BootstrapToken is accepted as long as no operator is configured; empty
	// accepts none.
	BootstrapToken string
}

// Defaults of Config. An intent that sets up a large deployment holds 1,500
// workspaces and 1,700 upstreams, about 400 bytes each.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 8 << 10
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultCallTimeout    = 15 * time.Second
)

// maxConnections bounds the operators' connections.
const maxConnections = 256

// Refused calls that are logged: so many at once, then one in each interval.
const (
	refusalBurst    = 10
	refusalInterval = time.Second
)

// Services are what a Listener serves from.
type Services struct {
	Planner  Planner
	View     View
	Reporter Reporter
	Log      *zap.Logger
}

// Listener is the operators' listener.
type Listener struct {
	cfg      Config
	services Services
	keys     *authority
	log      *zap.Logger
	refusals rate.Sometimes
	app      *fiber.App
}

// NewListener builds a listener; Serve starts it.
func NewListener(cfg Config, s Services) *Listener {
	cfg = cfg.withDefaults()
	l := &Listener{
		cfg:      cfg,
		services: s,
		keys:     newAuthority(cfg.BootstrapToken, s.View),
		log:      s.Log,
		refusals: rate.Sometimes{First: refusalBurst, Interval: refusalInterval},
	}
	l.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             cfg.MaxBodyBytes,
		ReadBufferSize:        cfg.MaxHeaderBytes,
		ReadTimeout:           cfg.HeaderTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		Concurrency:           maxConnections,
		// Plan ids and names outlive the handler; fiber would use their
		// memory again for the next call.
		Immutable:    true,
		ErrorHandler: l.failed,
	})
	l.routes()
	return l
}

func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, DefaultHeaderTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	return c
}

func (l *Listener) routes() {
	l.app.Use(l.authorize)
	l.app.Get("/status", l.status)
	l.app.Post("/intents", l.propose)
	l.app.Get("/plans", l.plans)
	l.app.Get("/plans/:id", l.plan)
	l.app.Post("/plans/:id/confirm", l.confirm)
	l.app.Use(func(*fiber.Ctx) error { return failure.ErrNotFound })
}

// Serve takes connections from ln until Shutdown.
func (l *Listener) Serve(ln net.Listener) error { return l.app.Listener(ln) }

// Shutdown stops taking connections and waits for the calls in flight, for
// up to grace.
func (l *Listener) Shutdown(grace time.Duration) error {
	return l.app.ShutdownWithTimeout(grace)
}

func (l *Listener) status(c *fiber.Ctx) error {
	ctx, cancel := l.context(c)
	defer cancel()
	return c.JSON(l.services.Reporter.Status(ctx))
}

func (l *Listener) propose(c *fiber.Ctx) error {
	var intent record.Intent
	if err := decode(c.Body(), &intent); err != nil {
		return failure.ErrMalformedIntent.WithMessage("the intent could not be read: %v", err)
	}
	ctx, cancel := l.context(c)
	defer cancel()
	p, err := l.services.Planner.Propose(ctx, operatorOf(c), intent)
	if err != nil {
		event.Info(l.log, event.IntentRefused, zap.String("Operator", operatorOf(c)), zap.Error(err))
		return err
	}
	event.Info(l.log, event.IntentStated, zap.String("Operator", operatorOf(c)), zap.String("Plan", p.ID))
	return c.Status(fiber.StatusCreated).JSON(PlanOf(p))
}

func (l *Listener) plans(c *fiber.Ctx) error {
	ctx, cancel := l.context(c)
	defer cancel()
	all, err := l.services.Planner.Plans(ctx)
	if err != nil {
		return err
	}
	answer := Plans{Plans: make([]Plan, 0, len(all))}
	for _, p := range all {
		answer.Plans = append(answer.Plans, PlanOf(p))
	}
	return c.JSON(answer)
}

func (l *Listener) plan(c *fiber.Ctx) error {
	ctx, cancel := l.context(c)
	defer cancel()
	p, err := l.services.Planner.Plan(ctx, c.Params("id"))
	if err != nil {
		return err
	}
	return c.JSON(PlanOf(p))
}

func (l *Listener) confirm(c *fiber.Ctx) error {
	var confirmation Confirmation
	if err := decode(c.Body(), &confirmation); err != nil {
		return failure.ErrMalformedRequest.WithMessage("the confirmation could not be read: %v", err)
	}
	ctx, cancel := l.context(c)
	defer cancel()
	id, operator := c.Params("id"), operatorOf(c)
	p, err := l.services.Planner.Confirm(ctx, operator, id, confirmation.Base)
	if err != nil {
		event.Info(l.log, event.ConfirmationRefused, zap.String("Operator", operator), zap.String("Plan", id), zap.Error(err))
		return err
	}
	event.Info(l.log, event.PlanConfirmed, zap.String("Operator", operator), zap.String("Plan", id), zap.Uint64("Offset", uint64(p.Confirmed)))
	return c.JSON(PlanOf(p))
}

func (l *Listener) context(c *fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.UserContext(), l.cfg.CallTimeout)
}

// failed answers every error with its typed form.
func (l *Listener) failed(c *fiber.Ctx, err error) error {
	e := refusal.Of(err)
	refusal.Drain(c, e)
	if e.Code == failure.Internal {
		event.Error(l.log, event.OperatorCallFailed, zap.String("Path", c.Path()), zap.Error(e))
	}
	return refusal.Write(c, e, failureOf(e))
}

// decode reads one JSON value and refuses unknown names, so that a misspelt
// intent is an error and not an empty one.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}
