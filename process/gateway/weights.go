package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/rollout"
)

// upstreams gives the completion path the engines' clients, and their weights as reported to the
// register or with answers.
type upstreams struct {
	*inventory.Inventory
	roster *roster.Roster
}

// Version returns the weights version that an engine holds; empty if not known.
func (u upstreams) Version(name, model string) string {
	v := u.roster.WeightsVersion(name, model)
	if v == 0 {
		return ""
	}
	return strconv.FormatUint(v, 10)
}

// Holds records the version that an engine has shown to hold. A version that is no number is not
// from this platform and is ignored.
func (u upstreams) Holds(_ time.Time, name, model, version string) {
	if v, err := strconv.ParseUint(version, 10, 64); err == nil {
		u.roster.RecordWeights(name, model, v)
	}
}

// Reported records the version that an engine has reported itself.
func (u upstreams) Reported(_ time.Time, name, model, version string) {
	if v, err := strconv.ParseUint(version, 10, 64); err == nil {
		u.roster.SetWeights(name, model, v)
	}
}

// fleet gives the roll-out of weights access to the engines.
type fleet struct {
	view      *view
	roster    *roster.Roster
	book      *accepted.Tracker
	inventory *inventory.Inventory
	policies  *policy.Table
	peers     *peers
}

// Engines returns the engines that are not leaving, with their weights of each model.
func (f *fleet) Engines() []rollout.Engine {
	var all []rollout.Engine
	inFlight := f.policies.InFlight(time.Now())
	for name, u := range f.view.Config().Upstreams {
		if u.Kind != config.Engine || u.State != config.Active {
			continue
		}
		for _, m := range u.Models {
			all = append(all, rollout.Engine{Name: name, Model: m, Held: f.roster.WeightsVersion(name, m), InFlight: inFlight[name]})
		}
	}
	return all
}

// Newest returns the newest version that was named.
func (f *fleet) Newest(model string) uint64 { return f.book.Weights()[model] }

// NamedWithin reports whether this node knows that the newest version was named less than d ago.
func (f *fleet) NamedWithin(model string, d time.Duration) bool {
	newest := f.Newest(model)
	if newest == 0 {
		return false
	}
	age, known := f.book.OutdatedFor(clock.BoottimeNow(), model, newest-1)
	return known && age < d
}

// Client returns an engine's client.
func (f *fleet) Client(name string) (upstream.Engine, bool) {
	u, ok := f.view.Config().Upstreams[name]
	if !ok || u.Kind != config.Engine {
		return nil, false
	}
	return f.inventory.Engine(u), true
}

// RecordHeld records the version that an engine has reported.
func (f *fleet) RecordHeld(name, model string, version uint64) {
	f.roster.RecordWeights(name, model, version)
}

// AnnounceChange stops all nodes from sending requests to an engine while it changes its weights. The engine
// would refuse them, and each refusal costs the request time and the fleet a resend.
func (f *fleet) AnnounceChange(name, model string, busy bool) {
	n := EngineNews{Engine: name, Model: model, Held: f.roster.WeightsVersion(name, model), Busy: busy}
	applyEngineNews(f.roster, time.Now(), n)
	f.peers.spreadEngine(n)
}

// weightsGuard is a guard that also excludes engines that are changing their weights, and those
// whose weights were replaced too long ago.
type weightsGuard struct {
	*guard.Guard
	roster *roster.Roster
	book   *accepted.Tracker
	view   *view
	bounds *atomic.Pointer[Bounds]
}

// Excluded returns the upstreams that must not get a request now. If no other upstream is left, it
// admits engines that are busy, which refuse requests themselves, and engines whose weights were
// replaced an unknown time ago. It never admits engines past the life of their weights, which would
// not refuse, nor an engine whose weights were replaced an unknown time ago and are older than
// those of another engine. After all nodes had been lost, one such engine held weights that had
// been replaced 16 s before.
func (a weightsGuard) Excluded(now time.Time, names []string) []string {
	w := a.classifyWeights(clock.BoottimeNow(), names)
	blocked := lo.Union(a.Guard.Excluded(now, names), w.expired, w.olderThanOthers)
	busy := lo.Intersect(a.roster.BusyUpstreams(now), names)
	if all := lo.Union(blocked, busy, w.unknownAge); len(all) < len(names) {
		return all
	}
	if all := lo.Union(blocked, busy); len(all) < len(names) {
		return all
	}
	return blocked
}

// sendLifeFraction is the fraction of the life of replaced weights during which requests are still
// sent to them. The rest, 3 s of 10, covers the wait in the engine's queue, which reaches 2.4 s;
// with 0.85 requests began too late.
const sendLifeFraction = 0.7

// unknownAgeLifeFraction replaces sendLifeFraction for weights that were replaced an unknown time
// before this node started, counted from its start. After a loss of all nodes it excludes them
// while the first engines load, about 6 s after the start. Weights that were replaced in the last 6
// s before the start are then not used for too long.
const unknownAgeLifeFraction = 0.4

// outdatedEngines lists the engines whose weights were replaced, except those on which requests may
// begin.
type outdatedEngines struct {
	expired         []string // too long ago
	unknownAge      []string // an unknown time ago
	olderThanOthers []string // those of unknownAge that hold an older version than another engine
}

// classifyWeights sorts the engines by the time since their weights were replaced.
func (a weightsGuard) classifyWeights(boot time.Time, names []string) outdatedEngines {
	var w outdatedEngines
	life := a.bounds.Load().WeightsLife
	if life == 0 {
		return w
	}
	anyUnknown := false
	upstreams := a.view.Config().Upstreams
	for _, name := range names {
		for _, model := range upstreams[name].Models {
			age, known := a.outdatedFor(boot, name, model)
			switch {
			case age > time.Duration(sendLifeFraction*float64(life)), !known && age > time.Duration(unknownAgeLifeFraction*float64(life)):
				w.expired = append(w.expired, name)
			case !known:
				w.unknownAge = append(w.unknownAge, name)
			}
			anyUnknown = anyUnknown || !known
		}
	}
	if anyUnknown {
		w.olderThanOthers = a.olderThanOthers(boot, names, upstreams)
	}
	return w
}

// olderThanOthers returns the engines whose weights were replaced an unknown time ago and are older
// than those of another engine.
func (a weightsGuard) olderThanOthers(boot time.Time, names []string, upstreams map[string]config.Upstream) []string {
	newest := map[string]uint64{} // by model: newest version that any engine holds
	for _, name := range names {
		for _, model := range upstreams[name].Models {
			newest[model] = max(newest[model], a.roster.WeightsVersion(name, model))
		}
	}
	return lo.Filter(names, func(name string, _ int) bool {
		return lo.SomeBy(upstreams[name].Models, func(model string) bool {
			_, known := a.outdatedFor(boot, name, model)
			return !known && a.roster.WeightsVersion(name, model) < newest[model]
		})
	})
}

// beginWithin returns the time within which a request sent to an engine now has to begin there; 0:
// at any time.
func (a weightsGuard) beginWithin(boot time.Time, name, model string) time.Duration {
	life := a.bounds.Load().WeightsLife
	age, _ := a.outdatedFor(boot, name, model)
	if life == 0 || age == 0 {
		return 0
	}
	return max(1, life-age)
}

// outdatedFor returns how long ago an engine's weights were replaced, and whether that time is
// known.
func (a weightsGuard) outdatedFor(boot time.Time, name, model string) (time.Duration, bool) {
	held := a.roster.WeightsVersion(name, model)
	if held == 0 {
		return 0, true // it has not reported any, and refuses requests that expect other weights
	}
	return a.book.OutdatedFor(boot, model, held)
}
