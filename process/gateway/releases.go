package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/canary"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/release"
)

// ErrRecordsChanged means that a record was not written because others have been written since it was
// read what there is.
var ErrRecordsChanged = errors.New("gateway: the records have changed")

// ErrRecordUnreadable means that something that can't be read stands in a record's place.
var ErrRecordUnreadable = errors.New("gateway: the record can't be read")

// ReleaseRecords is the platform's store of the states of roll-outs.
type ReleaseRecords interface {
	// Read returns the records, by service, and the position of their end.
	Read(ctx context.Context) (map[string]release.Record, keyed.Position, error)
	// Write writes a record if no other one was written since the position. Otherwise the error is
	// ErrRecordsChanged.
	Write(ctx context.Context, at keyed.Position, r release.Record) error
}

// releases divides the requests of services between software versions, as far as operators have ordered
// their roll-out. It counts the answers of both for the node that decides.
type releases struct {
	enabled bool // operators order roll-outs on this platform
	tracker *release.Tracker
	book    *accepted.Tracker
	view    *view
	guards  guard.Pair
	metrics *metric.Metrics
	log     *zap.Logger
}

func (g *Gateway) newReleases(i do.Injector) (*releases, error) {
	return &releases{
		enabled: g.settings.Releases, tracker: release.NewTracker(g.seed()), book: do.MustInvoke[*accepted.Tracker](i), view: do.MustInvoke[*view](i),
		guards: do.MustInvoke[guard.Pair](i), metrics: do.MustInvoke[*metric.Metrics](i), log: g.log,
	}, nil
}

// putOrder records an order. atStart means that it was there when this node began to read.
func (r *releases) putOrder(now time.Time, o release.Order, atStart bool) {
	if !r.enabled || !r.tracker.PutOrder(now, o, atStart) {
		return
	}
	event.Info(r.log, event.ReleaseOrdered, zap.String("Service", o.Service), zap.String("Software", o.Software), zap.Duration("Duration", o.Duration),
		zap.Uint64("Order", o.ID), zap.String("Invalid", o.Invalid), zap.Bool("Withdrawn", o.Withdrawn))
}

// merge applies an update, and logs a new phase.
func (r *releases) merge(now time.Time, t release.Update) {
	if !r.tracker.Merge(now, t) {
		return
	}
	r.metrics.SetReleasePhase(t.Service, t.Software, int(t.Phase))
	fields := []zap.Field{zap.String("Service", t.Service), zap.String("Software", t.Software), zap.Uint64("Order", t.ID), zap.String("Reason", t.Reason)}
	switch t.Phase {
	case release.Complete:
		event.Info(r.log, event.ReleaseComplete, fields...)
	case release.RolledBack:
		event.Warn(r.log, event.ReleaseRolledBack, fields...)
	default:
		event.Info(r.log, event.ReleaseStep, append(fields, zap.Stringer("Phase", t.Phase), zap.Float64("Share", t.Share), zap.Int("Upstreams", t.Upstreams))...)
	}
}

// observe records which software versions the upstreams of each service have.
func (r *releases) observe(now time.Time, cfg config.Config) {
	if !r.enabled {
		return
	}
	versions := map[string][]string{}
	for _, u := range cfg.Upstreams {
		if u.Pool != "" && !slices.Contains(versions[u.Pool], u.Software) {
			versions[u.Pool] = append(versions[u.Pool], u.Software)
		}
	}
	r.tracker.Observe(now, versions)
}

// upstreamsOf returns those of the named upstreams that are configured, by service.
func (r *releases) upstreamsOf(names []string) map[string][]release.Upstream {
	upstreams, byService := r.view.Config().Upstreams, map[string][]release.Upstream{}
	for _, name := range names {
		if u, ok := upstreams[name]; ok {
			byService[u.Pool] = append(byService[u.Pool], release.Upstream{Name: u.Name, Software: u.Software})
		}
	}
	return byService
}

// active returns the upstreams of a service that take requests.
func (r *releases) active(service string) []release.Upstream {
	var all []release.Upstream
	for _, u := range r.view.Config().Upstreams {
		if u.Pool == service && u.State == config.Active && u.Kind != config.CacheStore {
			all = append(all, release.Upstream{Name: u.Name, Software: u.Software})
		}
	}
	return all
}

// withheld returns those of the named upstreams that must get no request.
func (r *releases) withheld(names []string) []string {
	if !r.enabled {
		return nil
	}
	now := clock.BoottimeNow()
	age, known := r.book.ProofAge(now)
	if !known {
		return nil // nothing is served yet
	}
	var all []string
	for service, upstreams := range r.upstreamsOf(names) {
		all = append(all, r.tracker.Withheld(now, now.Add(-age), service, upstreams)...)
	}
	return all
}

// divide counts a request of a service, and says which upstreams it is not to be sent to.
func (r *releases) divide(service string) release.Division {
	if !r.enabled || !r.tracker.HasOrder(service) {
		return release.Division{}
	}
	return r.tracker.Divide(clock.BoottimeNow(), service, r.active(service))
}

var (
	_ completion.SendObserver = (*releases)(nil)
	_ call.SendObserver       = (*releases)(nil)
)

// SendEnded counts the answer of an engine.
func (r *releases) SendEnded(_ time.Time, s completion.Send) {
	r.record(s.Pool, canary.Answer{Route: s.Kind, Upstream: s.Upstream, Outcome: canary.OutcomeOf(s.Err, s.CallerGone), First: s.FirstToken, Pause: s.Pause})
}

// CallEnded counts the answer of an instance of a plain service.
func (r *releases) CallEnded(_ time.Time, s call.Send) {
	r.record(s.Service, canary.Answer{Route: s.Kind, Upstream: s.Upstream, Outcome: canary.OutcomeOf(s.Err, s.CallerGone), First: s.Took})
}

func (r *releases) record(service string, a canary.Answer) {
	if !r.enabled || !r.tracker.HasOrder(service) {
		return
	}
	software := r.view.Config().Upstreams[a.Upstream].Software
	if goesOn, fromNew := r.tracker.Record(clock.BoottimeNow(), service, software, a); goesOn {
		r.metrics.RecordReleaseSend(service, fromNew)
	}
}

// report returns what this node has counted for an order; false if it does not know the order.
func (r *releases) report(now time.Time, o releaseOrder) (release.Report, bool) {
	total, recent, ok := r.tracker.Evidence(now, o.Service, o.ID)
	if !ok {
		return release.Report{}, false
	}
	return release.Report{Total: total, Recent: recent, ServingInFlight: r.servingInFlight(o)}, true
}

// servingInFlight returns the number of requests that this node has under way at upstreams of other
// versions than the ordered one, those that are leaving included.
func (r *releases) servingInFlight(o releaseOrder) int {
	n := 0
	for _, u := range r.view.Config().Upstreams {
		if u.Pool != o.Service || u.Software == o.Software {
			continue
		}
		n += r.guards.Engines.InFlight(u.Name) + r.guards.Services.InFlight(u.Name)
	}
	return n
}

// releaseGuard is a guard that also keeps requests from the upstreams that are withheld.
type releaseGuard[G interface {
	Excluded(now time.Time, names []string) []string
}] struct {
	inner    G
	releases *releases
}

// Excluded returns the upstreams that must not get a request now. The other reasons to exclude upstreams
// are weighed among those that are not withheld.
func (g releaseGuard[G]) Excluded(now time.Time, names []string) []string {
	withheld := g.releases.withheld(names)
	if len(withheld) == 0 {
		return g.inner.Excluded(now, names)
	}
	return append(withheld, g.inner.Excluded(now, lo.Without(names, withheld...))...)
}

// engineGuard is the guard of the completion path.
type engineGuard struct {
	weightsGuard
	releases *releases
}

// Excluded returns the upstreams that must not get a request now.
func (g engineGuard) Excluded(now time.Time, names []string) []string {
	return releaseGuard[weightsGuard]{g.weightsGuard, g.releases}.Excluded(now, names)
}

// serviceGuard is the guard of calls to plain services.
type serviceGuard struct {
	*guard.Guard
	releases *releases
}

// Excluded returns the instances that must not get a call now.
func (g serviceGuard) Excluded(now time.Time, names []string) []string {
	return releaseGuard[*guard.Guard]{g.Guard, g.releases}.Excluded(now, names)
}

// releaseOrder identifies an order between nodes.
type releaseOrder struct {
	Service, Software string
	ID                uint64
}

// ReleaseQuery tells a node the states of roll-outs, and asks it for its reports.
type ReleaseQuery struct {
	From    string // node that decides
	Updates []release.Update
	Orders  []releaseOrder
	// Forward makes the node ask the others of its data centre as well.
	Forward bool
}

// ReleaseAnswer is the answer of a node, or of the nodes of a data centre.
type ReleaseAnswer struct {
	Reports []ReleaseReport
	// Known are the states that the nodes know.
	Known []release.Update
	// Missed is the number of nodes that did not answer, or that the deciding node does not know yet.
	Missed int
}

// ReleaseReport is a report for an order.
type ReleaseReport struct {
	Service string
	release.Report
}

// answer applies a query to this node, and answers it.
func (r *releases) answer(now time.Time, q ReleaseQuery) ReleaseAnswer {
	a := ReleaseAnswer{Known: r.tracker.Updates(now)}
	for _, t := range q.Updates {
		r.merge(now, t)
	}
	for _, o := range q.Orders {
		if report, ok := r.report(now, o); ok {
			a.Reports = append(a.Reports, ReleaseReport{o.Service, report})
		}
	}
	return a
}

// sumReleaseAnswers returns the sum of the answers of several nodes.
func sumReleaseAnswers(all []ReleaseAnswer) ReleaseAnswer {
	var sum ReleaseAnswer
	reports, known := map[string][]release.Report{}, map[string]release.Update{}
	for _, a := range all {
		sum.Missed += a.Missed
		for _, r := range a.Reports {
			reports[r.Service] = append(reports[r.Service], r.Report)
		}
		for _, t := range a.Known {
			if k, ok := known[t.Service]; !ok || t.Supersedes(k) {
				known[t.Service] = t
			}
		}
	}
	for service, list := range reports {
		sum.Reports = append(sum.Reports, ReleaseReport{service, release.Sum(list)})
	}
	sum.Known = lo.Values(known)
	return sum
}

// waitAll runs f for each value at the same time and returns the results.
func waitAll[T, R any](values []T, f func(T) R) []R {
	results := make([]R, len(values))
	var work sync.WaitGroup
	for i, v := range values {
		work.Go(func() { results[i] = f(v) })
	}
	work.Wait()
	return results
}
