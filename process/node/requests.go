package node

import (
	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/connection/caller"
	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/recent"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// provideRequests registers the constructors of the request paths and of the
// listeners that call them.
func (n *Node) provideRequests() {
	do.Provide(n.injector, n.newQuarantine)
	do.Provide(n.injector, n.newCompletions)
	do.Provide(n.injector, n.newCalls)
	do.Provide(n.injector, n.newCallers)
	do.Provide(n.injector, n.newOperators)
}

func (n *Node) newQuarantine(i do.Injector) (*quarantine.Tracker, error) {
	return quarantine.NewTracker(n.settings.Node, n.log, do.MustInvoke[*metric.Metrics](i)), nil
}

func (n *Node) newCompletions(i do.Injector) (*completion.Router, error) {
	return &completion.Router{
		Config:        completion.Config{DataCentre: n.settings.DataCentre}.WithDefaults(),
		View:          do.MustInvoke[*catalogue.Current](i),
		Upstreams:     do.MustInvoke[*inventory.Inventory](i),
		Policies:      do.MustInvoke[*policy.Table](i),
		Admission:     do.MustInvoke[*admission](i),
		Guard:         do.MustInvoke[guard.Pair](i).Engines,
		Shedder:       do.MustInvoke[*shedding.Shedder](i),
		Journal:       do.MustInvoke[*journal.Journal](i),
		RecentPrompts: do.MustInvoke[*recent.Table](i),
		CacheNews:     do.MustInvoke[*cachenews.EntryBuffer](i),
		Observer:      metric.Observer{Metrics: do.MustInvoke[*metric.Metrics](i)},
		Log:           n.log,

		Quarantine: do.MustInvoke[*quarantine.Tracker](i),
	}, nil
}

func (n *Node) newCalls(i do.Injector) (*call.Router, error) {
	return &call.Router{
		Config:    call.Config{}.WithDefaults(),
		View:      do.MustInvoke[*catalogue.Current](i),
		Upstreams: do.MustInvoke[*inventory.Inventory](i),
		Guard:     do.MustInvoke[guard.Pair](i).Services,
		Admission: do.MustInvoke[*admission](i),
		Journal:   do.MustInvoke[*journal.Journal](i),
		Log:       n.log,

		Quarantine: do.MustInvoke[*quarantine.Tracker](i),
	}, nil
}

func (n *Node) newCallers(i do.Injector) (*caller.Listener, error) {
	l := n.settings.Limits
	return caller.NewListener(caller.Config{
		MaxBodyBytes:   l.MaxBodyBytes,
		MaxHeaderBytes: l.MaxHeaderBytes,
		HeaderTimeout:  l.HeaderTimeout,
		IdleTimeout:    l.IdleTimeout,
		StallTimeout:   l.WriteTimeout,
		MaxConnections: l.MaxConnections,
	}, caller.Services{
		Completions: do.MustInvoke[*completion.Router](i),
		Calls:       do.MustInvoke[*call.Router](i),
		Directory:   do.MustInvoke[directory](i),
		Presence:    do.MustInvoke[*presence](i),
		Counter:     do.MustInvoke[*metric.Metrics](i),
		Stop:        n.stop,
		Intake:      n.intake,
		Metrics:     do.MustInvoke[*metric.Metrics](i).Registry(),
		Log:         n.log,
	}), nil
}

func (n *Node) newOperators(i do.Injector) (*operator.Listener, error) {
	return operator.NewListener(operator.Config{
		BootstrapToken: n.settings.Operators.BootstrapToken,
	}, operator.Services{
		Planner:  &planService{follower: do.MustInvoke[*follower.Follower](i), weights: do.MustInvoke[platform.WeightStore](i)},
		View:     operatorView{configView: do.MustInvoke[configView](i)},
		Reporter: do.MustInvoke[*statusReporter](i),
		Intake:   n.intake,
		Log:      n.log,
	}), nil
}
