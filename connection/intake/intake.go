package intake

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/memory"
	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

//go:generate go tool stringer -type=Reason -output=intake_string.go

// Reason is why a request or a connection was refused before the request was received whole.
type Reason uint8

const (
	// MemoryExhausted: no memory is left for the request.
	MemoryExhausted Reason = iota
	// GaveWay: the request had to give its memory to others.
	GaveWay
	// ConnectionReplaced: the connection was closed for a new one.
	ConnectionReplaced
	// ConnectionRefused: all connections that the process may have are serving requests.
	ConnectionRefused
	// ConnectionNotAccepted: the connection could not be accepted, usually for want of descriptors.
	ConnectionNotAccepted
)

// Limits on logging refusals: the first logBurst are logged, then one in each interval.
const (
	logBurst    = 10
	logInterval = time.Second
)

// retryAfter is the Retry-After of a request for which there is no memory. Another node probably has some.
const retryAfter = time.Second

// Intake is the account of one process for its clients. Its methods are safe for concurrent use.
type Intake struct {
	Limits Limits
	Budget *memory.Budget
	// Callers holds the connections of callers, Probes those for readiness checks and metrics, Operators those of
	// operators.
	Callers, Probes, Operators *transport.Table
	Drainer                    *transport.Drainer

	log                      *zap.Logger
	logLimit, acceptLogLimit rate.Sometimes
	refusals                 *prometheus.CounterVec
}

// New returns an Intake with the given limits.
func New(l Limits, log *zap.Logger) *Intake {
	return &Intake{
		Limits: l,
		Budget: memory.NewBudget(l.Budget, l.Reserve),
		// Each has a table of its own, so that none can take the places of others.
		Callers:   transport.NewTable(l.Callers),
		Probes:    transport.NewTable(l.Probes),
		Operators: transport.NewTable(l.Operators),
		Drainer:   transport.NewDrainer(),
		log:       log,
		logLimit:  rate.Sometimes{First: logBurst, Interval: logInterval}, acceptLogLimit: rate.Sometimes{First: logBurst, Interval: logInterval},
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "dunlinmill", Name: "intake_refusals_total",
			Help: "Requests and connections that were refused before the request was received whole, by reason.",
		}, []string{"reason"}),
	}
}

// Register registers the metrics.
func (i *Intake) Register(r prometheus.Registerer) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dunlinmill", Name: name, Help: help}, value)
	}
	return errors.Join(
		r.Register(i.refusals),
		r.Register(gauge("client_memory_bytes", "Memory held for clients' requests and for large answers.",
			func() float64 { return float64(i.Budget.Stats().Held) })),
		r.Register(gauge("client_memory_limit_bytes", "Limit of client_memory_bytes.",
			func() float64 { return float64(i.Limits.Budget) })),
		r.Register(gauge("client_connections", "Open connections of callers.",
			func() float64 { return float64(i.Callers.Stats().Open) })),
		r.Register(gauge("client_connections_limit", "Limit of client_connections.",
			func() float64 { return float64(i.Limits.Callers) })),
	)
}

// refused logs and counts a refusal of what the client at an address has sent.
func (i *Intake) refused(r Reason, from net.Addr, cause error) {
	i.refusals.WithLabelValues(r.String()).Inc()
	i.logLimit.Do(func() {
		s := i.Budget.Stats()
		event.Warn(i.log, event.IntakeRefused, zap.Stringer("Reason", r), zap.Stringer("Address", from),
			zap.Int("Connections", i.Callers.Stats().Open), zap.Int("MaxConnections", i.Limits.Callers),
			zap.Int64("Held", s.Held), zap.Int64("Limit", s.Limit),
			zap.String("TopWorkspace", s.TopOwner), zap.Int64("TopHeld", s.TopBytes), zap.Error(cause))
	})
}

// connectionEvents records what a listener does about connections that can't stay open.
type connectionEvents struct{ intake *Intake }

var _ transport.Events = connectionEvents{}

func (e connectionEvents) NotAccepted(err error) {
	e.intake.refusals.WithLabelValues(ConnectionNotAccepted.String()).Inc()
	e.intake.acceptLogLimit.Do(func() { event.Warn(e.intake.log, event.AcceptFailed, zap.Error(err)) })
}

func (e connectionEvents) Replaced(old net.Addr) { e.intake.refused(ConnectionReplaced, old, nil) }

func (e connectionEvents) Refused(from net.Addr) { e.intake.refused(ConnectionRefused, from, nil) }

// Listener returns a listener for the connections of callers.
func (i *Intake) Listener(ln net.Listener) *transport.Listener {
	return transport.NewListener(ln, i.Callers, connectionEvents{i})
}

// ProbeListener returns a listener for readiness checks and metrics.
func (i *Intake) ProbeListener(ln net.Listener) *transport.Listener {
	return transport.NewListener(ln, i.Probes, connectionEvents{i})
}

// OperatorListener returns a listener for the connections of operators.
func (i *Intake) OperatorListener(ln net.Listener) *transport.Listener {
	return transport.NewListener(ln, i.Operators, connectionEvents{i})
}

// Read calls read, which receives a request from an address, while the request may have to give way. It returns the failure
// for the caller if there is no memory for the request, and else the error of read.
func (i *Intake) Read(c *memory.Claim, now time.Time, from net.Addr, read func() error) error {
	c.AllowRevoke(now)
	err := read()
	if kept := c.Keep(); kept != nil {
		err = kept // the read that was interrupted has an error of its own
	}
	if e := i.MemoryFailure(from, err); e != nil {
		return e
	}
	return err
}

// ReadBody is memory.ReadAll with the errors of requests: one that a caller can mend is a *failure.Error, and one for want
// of memory is left to Read.
func ReadBody(r io.Reader, b memory.Body) ([]byte, error) {
	body, err := memory.ReadAll(r, b)
	var e *failure.Error
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		return nil, failure.ErrBodyTooLarge
	case errors.Is(err, memory.ErrExhausted) || errors.Is(err, memory.ErrRevoked) || errors.As(err, &e):
		return nil, err
	}
	return nil, failure.ErrMalformedRequest.WithCause(err)
}

// MemoryFailure returns the failure for the caller if err says that there is no memory for its request, and records it.
// It returns nil for any other error.
func (i *Intake) MemoryFailure(from net.Addr, err error) *failure.Error {
	switch {
	case errors.Is(err, memory.ErrExhausted):
		i.refused(MemoryExhausted, from, err)
	case errors.Is(err, memory.ErrRevoked):
		i.refused(GaveWay, from, err)
	default:
		return nil
	}
	return failure.ErrOverloaded.WithMessage("this node has no memory for the request now").WithRetryAfter(retryAfter).WithCause(err)
}
