// Package node assembles one process. It creates everything that lives as long as
// the process, in the order of dependencies, and stops it in the reverse order. The
// parts know each other only through small interfaces of their own.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dunlinmill/dunlinmill/connection/caller"
	"github.com/dunlinmill/dunlinmill/connection/intake"
	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/process/closer"
	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/settings"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/planner"
)

// firstConfigTimeout is how long startup waits for a configuration before it
// continues without one. A node without a configuration serves no requests yet, but
// it answers health checks and operators.
const firstConfigTimeout = 3 * time.Second

// Addresses are the addresses that a node listens on.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// Node holds the parts of one running process.
type Node struct {
	settings settings.Settings
	injector *do.RootScope
	log      *zap.Logger
	intake   *intake.Intake
	closers  closer.List
	stop     *drain.Stop

	callers   net.Listener
	operators net.Listener
	addresses Addresses
}

// Run serves until ctx ends and the requests in flight have ended. Log lines go to
// w.
func Run(ctx context.Context, s settings.Settings, w io.Writer) error {
	n, err := New(s, w)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// New creates a node and opens its listeners. Node.Run serves on them.
func New(s settings.Settings, w io.Writer) (*Node, error) {
	log, err := event.NewLogger(zapcore.AddSync(w), s.Log.Level, s.Node, s.DataCentre)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, injector: do.New(), log: log, intake: newIntake(s.Limits, log), stop: drain.New()}
	event.Info(log, event.ProcessStarting, zap.String("Callers", s.Listen.Callers.Address),
		zap.String("Operators", s.Listen.Operators.Address), zap.String("Peers", s.Listen.Peers.Address))
	n.provide()
	if err := n.build(); err != nil {
		n.closers.CloseAll(log)
		return nil, fmt.Errorf("node %s: %w", s.Node, err)
	}
	return n, nil
}

// build creates all parts and opens the listeners.
func (n *Node) build() error {
	if _, err := do.Invoke[*maintenance](n.injector); err != nil {
		return err
	}
	if _, err := do.Invoke[*planner.Planner](n.injector); err != nil {
		return err
	}
	if _, err := do.Invoke[*secretWatcher](n.injector); err != nil {
		return err
	}
	var err error
	callers := func(ln net.Listener) net.Listener {
		return n.intake.Listener(ln).WithStall(n.settings.Limits.WriteTimeout)
	}
	if n.callers, err = n.openListener("Callers", n.settings.Listen.Callers, callers); err != nil {
		return err
	}
	operators := func(ln net.Listener) net.Listener {
		return n.intake.OperatorListener(ln).WithStall(operatorStallTimeout)
	}
	if n.operators, err = n.openListener("Operators", n.settings.Listen.Operators, operators); err != nil {
		return err
	}
	n.addresses = Addresses{
		Callers:   n.callers.Addr().String(),
		Operators: n.operators.Addr().String(),
		Peers:     do.MustInvoke[*member.Runner](n.injector).Self().Address,
	}
	return nil
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses { return n.addresses }

// operatorStallTimeout limits how long an operator may take to read a part of an answer.
const operatorStallTimeout = 30 * time.Second

// openListener opens a listener. Bounded limits its connections.
func (n *Node) openListener(name string, l settings.Listener, bounded func(net.Listener) net.Listener) (net.Listener, error) {
	ln, err := transport.Listen(l.Address)
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", name, err)
	}
	ln, err = n.withTLS(bounded(ln), l.TLS)
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", name, err)
	}
	n.logListener(name, ln.Addr().String(), l.TLS.Enabled())
	return ln, nil
}

func (n *Node) logListener(name, address string, tls bool) {
	event.Info(n.log, event.ListenerOpen, zap.String("Listener", name),
		zap.String("Address", address), zap.Bool("TLS", tls))
}

// Run serves until ctx ends. Actors are stopped in the order in which they are
// added: callers first, as their requests need all other parts.
func (n *Node) Run(ctx context.Context) error {
	defer n.closers.CloseAll(n.log)
	defer n.stop.Close()
	stopped, cancel := context.WithCancel(context.Background())
	callers := do.MustInvoke[*caller.Listener](n.injector)
	operators := do.MustInvoke[*operator.Listener](n.injector)
	var g run.Group
	g.Add(func() error { return n.awaitStop(ctx, stopped) }, func(error) {})
	g.Add(func() error { return callers.Serve(n.callers) }, func(error) { n.drainCallers(callers) })
	g.Add(func() error { return operators.Serve(n.operators) }, func(error) {
		_ = operators.Shutdown(time.Second) // operators can repeat their calls
	})
	g.Add(func() error { <-stopped.Done(); return nil }, func(error) { cancel() })
	n.becomeReady(ctx)
	err := g.Run()
	if err != nil {
		event.Error(n.log, event.ProcessFailed, zap.Error(err))
		return err
	}
	event.Info(n.log, event.ProcessStopped)
	return nil
}

// becomeReady waits for a first configuration, marks the node as ready, and logs
// that it serves and what it lacks.
func (n *Node) becomeReady(ctx context.Context) {
	f := do.MustInvoke[*follower.Follower](n.injector)
	ctx, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	_ = f.Await(ctx) // a missing configuration is logged below
	do.MustInvoke[*presence](n.injector).ready.Store(true)
	s := do.MustInvoke[*statusReporter](n.injector).Status(ctx)
	event.Info(n.log, event.ProcessReady, zap.Uint64("Offset", uint64(s.Offset)),
		zap.Strings("Lacks", s.Lacks), zap.String("Callers", n.addresses.Callers),
		zap.String("Operators", n.addresses.Operators), zap.String("Peers", n.addresses.Peers))
}

// awaitStop waits until the node is to stop. It then announces that the node is
// leaving and returns after the notice, during which the load balancer and callers
// on keep-alive connections can learn of it before the listener closes.
func (n *Node) awaitStop(ctx, stopped context.Context) error {
	select {
	case <-stopped.Done():
		return nil
	case <-ctx.Done():
	}
	schedule := drain.ScheduleAfter(n.settings.Shutdown.Notice, n.settings.Shutdown.Grace)
	event.Info(n.log, event.ProcessLeaving, zap.Duration("Notice", schedule.Notice), zap.Duration("Finish", schedule.Finish), zap.Duration("Cut", schedule.Cut))
	n.stop.Begin(time.Now(), schedule)
	do.MustInvoke[*presence](n.injector).leaving.Store(true)
	do.MustInvoke[*member.Runner](n.injector).Leave()
	select {
	case <-stopped.Done():
	case <-time.After(n.settings.Shutdown.Notice):
	}
	return nil
}

// drainCallers lets the requests in flight run to their end, within the grace.
func (n *Node) drainCallers(l *caller.Listener) {
	grace := n.settings.Shutdown.Grace
	if finish, leaving := n.stop.FinishAt(); leaving {
		l.AwaitIdle(finish)
		cut, _ := n.stop.CutAt()
		grace = time.Until(cut)
	}
	if err := l.Shutdown(grace); err != nil {
		event.Warn(n.log, event.GraceExceeded, zap.Error(err))
	}
}
