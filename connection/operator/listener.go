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

	"github.com/dunlinmill/dunlinmill/connection/intake"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/refusal"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Planner makes plans from intents. It refuses a call with a *failure.Error.
type Planner interface {
	Propose(ctx context.Context, operator string, intent record.Intent) (fold.Plan, error)
	Plans(ctx context.Context) ([]fold.Plan, error)
	Plan(ctx context.Context, id string) (fold.Plan, error)
	// Confirm accepts a plan if base is the offset that the plan was made from and
	// nothing that the plan affects has changed since.
	Confirm(ctx context.Context, operator, id string, base platform.Offset) (fold.Plan, error)
}

// View provides the configuration in force on this node.
type View interface {
	Config() config.Config
	// CaughtUp reports whether this node has read the log to its end since it started.
	// Until then an empty configuration only means that the configuration is not known.
	CaughtUp() bool
}

// Reporter reports the status of this node.
type Reporter interface {
	Status(ctx context.Context) Status
}

// Config limits the resources that one operator's call can use.
type Config struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// CallTimeout limits how long a call may wait for the log.
	CallTimeout time.Duration
	// BootstrapToken is accepted as long as no operator is configured. If it is empty,
	// no bootstrap token is accepted.
	BootstrapToken string
}

// Defaults of Config. The intent that sets up a large deployment holds 1,500 workspaces
// and 1,700 upstreams of about 400 bytes each.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 8 << 10
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultCallTimeout    = 15 * time.Second
)

// maxConnections limits the number of operators' connections.
const maxConnections = 256

// Limits on logging refused calls: the first refusalBurst calls are logged, then one in
// each interval.
const (
	refusalBurst    = 10
	refusalInterval = time.Second
)

// Services holds the dependencies of a Listener.
type Services struct {
	Planner  Planner
	View     View
	Reporter Reporter
	Intake   *intake.Intake // nil: clients are not bounded
	Log      *zap.Logger
}

// Listener serves the operators' HTTP API.
type Listener struct {
	cfg             Config
	services        Services
	auth            *authenticator
	log             *zap.Logger
	refusalLogLimit rate.Sometimes
	app             *fiber.App
}

// NewListener returns a listener that accepts connections once Serve is called.
func NewListener(cfg Config, s Services) *Listener {
	cfg = cfg.withDefaults()
	if s.Intake == nil {
		s.Intake = intake.New(intake.Unlimited(), s.Log)
	}
	l := &Listener{
		cfg:             cfg,
		services:        s,
		auth:            newAuthenticator(cfg.BootstrapToken, s.View),
		log:             s.Log,
		refusalLogLimit: rate.Sometimes{First: refusalBurst, Interval: refusalInterval},
	}
	l.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             cfg.MaxBodyBytes,
		ReadBufferSize:        cfg.MaxHeaderBytes,
		ReadTimeout:           cfg.HeaderTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		Concurrency:           maxConnections,
		// Plan IDs and names are kept after the handler returns. Without Immutable,
		// fiber would reuse their memory for the next call.
		Immutable:    true,
		ErrorHandler: l.handleError,
	})
	s.Intake.StreamBodies(l.app)
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

// Serve accepts connections from ln until Shutdown is called.
func (l *Listener) Serve(ln net.Listener) error { return l.app.Listener(ln) }

// Shutdown stops accepting connections and waits up to grace for the calls in flight.
func (l *Listener) Shutdown(grace time.Duration) error {
	return l.app.ShutdownWithTimeout(grace)
}

func (l *Listener) status(c *fiber.Ctx) error {
	ctx, cancel := l.context(c)
	defer cancel()
	return c.JSON(l.services.Reporter.Status(ctx))
}

func (l *Listener) propose(c *fiber.Ctx) error {
	body, release, err := l.receive(c)
	if err != nil {
		return err
	}
	defer release()
	var intent record.Intent
	if err := decodeStrict(body, &intent); err != nil {
		return failure.ErrMalformedIntent.WithMessage("the intent could not be read: %v", err)
	}
	ctx, cancel := l.context(c)
	defer cancel()
	p, err := l.services.Planner.Propose(ctx, callingOperator(c), intent)
	if err != nil {
		event.Info(l.log, event.IntentRefused, zap.String("Operator", callingOperator(c)), zap.Error(err))
		return err
	}
	event.Info(l.log, event.IntentStated, zap.String("Operator", callingOperator(c)), zap.String("Plan", p.ID))
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
	body, release, err := l.receive(c)
	if err != nil {
		return err
	}
	defer release()
	var confirmation Confirmation
	if err := decodeStrict(body, &confirmation); err != nil {
		return failure.ErrMalformedRequest.WithMessage("the confirmation could not be read: %v", err)
	}
	ctx, cancel := l.context(c)
	defer cancel()
	id, operator := c.Params("id"), callingOperator(c)
	p, err := l.services.Planner.Confirm(ctx, operator, id, confirmation.Base)
	if err != nil {
		event.Info(l.log, event.ConfirmationRefused, zap.String("Operator", operator), zap.String("Plan", id), zap.Error(err))
		return err
	}
	event.Info(l.log, event.PlanConfirmed, zap.String("Operator", operator), zap.String("Plan", id), zap.Uint64("Offset", uint64(p.Confirmed)))
	return c.JSON(PlanOf(p))
}

// copiesOfIntent is how many times an intent is held: as it was received, decoded, and encoded for the log.
const copiesOfIntent = 3

// receive reads the body of an operator's call. The caller calls release at the end of the call.
func (l *Listener) receive(c *fiber.Ctx) (body []byte, release func(), err error) {
	return l.services.Intake.Receive(c, time.Now(), intake.Reception{Workspace: callingOperator(c), Limit: l.cfg.MaxBodyBytes, Copies: copiesOfIntent})
}

func (l *Listener) context(c *fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.UserContext(), l.cfg.CallTimeout)
}

// handleError answers a call with the typed form of its error.
func (l *Listener) handleError(c *fiber.Ctx, err error) error {
	e := refusal.FromError(err)
	refusal.DrainOversized(c, e, l.services.Intake.Drainer)
	if e.Code == failure.Internal {
		event.Error(l.log, event.OperatorCallFailed, zap.String("Path", c.Path()), zap.Error(e))
	}
	return refusal.Write(c, e, failureOf(e))
}

// decodeStrict decodes exactly one JSON value and refuses unknown names. Otherwise a
// misspelt intent would be decoded as an empty one.
func decodeStrict(body []byte, into any) error {
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
