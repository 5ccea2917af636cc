package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/quota"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// busyLife is how long an engine counts as changing if its end is not told: the
// holder of the duty may have died.
const busyLife = 8 * time.Second

// EngineNews is what the holder of the duty tells of one engine.
type EngineNews struct {
	Engine string
	Model  string
	Held   uint64 // version; 0: not known
	Busy   bool   // it changes its weights and takes no requests
}

// Heard answers a peer that has told something.
type Heard struct{}

// tellEngine gives the news to all live nodes, and returns when they have it or
// the time for it is over. One that is missed hears by the register or the engine.
func (p *peers) tellEngine(news EngineNews) {
	if missed := p.toAll("Engine", news); len(missed) > 0 {
		event.Info(p.log, event.NewsNotHeard, zap.Strings("Peers", missed), zap.String("Upstream", news.Engine))
	}
}

// tellRegister gives the others what this node has just read of the register.
func (p *peers) tellRegister(r RegisterRead) { p.toAll("Register", r) }

// tellHolder gives the others a sign that this node has the duty.
func (p *peers) tellHolder() { p.toAll("Holder", Heard{}) }

// tellResigned tells the others that this node has the duty no longer.
func (p *peers) tellResigned(r duty.Resignation) { p.toAll("Resigned", r) }

// enginesHandler takes the news of a peer.
type enginesHandler struct {
	peers *peers
}

// Register takes in what a peer has read of the register.
func (h *enginesHandler) Register(r RegisterRead, _ *Heard) error {
	h.peers.learner.told(clock.Boot(), r)
	if f := h.peers.register.Load(); f != nil {
		f.Told(r.From, r.Next)
	}
	return nil
}

// Exchange takes in what a peer tells of its traffic, as young as the call.
func (h *enginesHandler) Exchange(v Values, _ *Heard) error {
	now := time.Now()
	h.peers.policies.Merge(now, now, v.Node, v.Placement)
	h.peers.policies.Heard(now, v.Caches)
	h.peers.endings.take(now, v.Endings)
	return nil
}

// Share answers a node that asks this one as its data centre's aggregator.
func (h *enginesHandler) Share(q Share, a *Shared) error {
	if s := h.peers.sharer.Load(); s != nil {
		*a = s.answer(time.Now(), q)
		return nil
	}
	return errNotJoined
}

// Quota answers a node that asks this one for what its workspaces may use.
func (h *enginesHandler) Quota(q quota.Ask, r *quota.Reply) error {
	s := h.peers.quotas.Load()
	if s == nil {
		return errNotJoined
	}
	var err error
	*r, err = s.answer(clock.Boot(), q)
	return err
}

// Known is what a node knows that one that has just started can't read.
type Known struct {
	Namings    []accepted.Naming
	Quarantine []quarantine.News
}

// Known gives what this node knows.
func (h *enginesHandler) Known(_ Heard, k *Known) error {
	k.Namings = h.peers.book.Namings(clock.Boot())
	k.Quarantine = h.peers.endings.held.Known(time.Now())
	return nil
}

// Newest gives what this node knows of the configuration.
func (h *enginesHandler) Newest(from uint64, w *keyed.Word) error {
	if f := h.peers.configuration.Load(); f != nil {
		*w = f.Word(clock.Boot(), from)
	}
	return nil
}

// Engine takes in the news of one engine. They are no sign of the duty, which may
// have been lost while the engine changed.
func (h *enginesHandler) Engine(n EngineNews, _ *Heard) error {
	take(h.peers.roster, time.Now(), n)
	return nil
}

// Holder takes in the sign of the duty's holder.
func (h *enginesHandler) Holder(_ Heard, _ *Heard) error {
	h.peers.heardHolder(clock.Boot())
	h.peers.keeper.HeardHolder()
	return nil
}

// Resigned takes in what a former holder tells; the first node by rank asks for
// the duty at once.
func (h *enginesHandler) Resigned(r duty.Resignation, _ *Heard) error {
	now := clock.Boot()
	h.peers.keeper.Resigned(now, r)
	h.peers.heardHolder(now.Add(-holderQuiet))
	return nil
}

func take(r *roster.Roster, now time.Time, n EngineNews) {
	if n.Held > 0 {
		r.Holds(n.Engine, n.Model, n.Held)
	}
	until := time.Time{}
	if n.Busy {
		until = now.Add(busyLife)
	}
	r.SetBusy(n.Engine, until)
}
