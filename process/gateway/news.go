package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
)

// busyLife is how long an engine counts as changing if its end is not told: the
// holder of the duty may have died.
const busyLife = 8 * time.Second

// EngineNews is what the holder of the duty tells of one engine.
type EngineNews struct {
	Engine string // empty: nothing but that there is a holder
	Model  string
	Held   uint64 // version; 0: not known
	Busy   bool   // it changes its weights and takes no requests
	// Resigned is told by a holder that gives the duty back.
	Resigned *duty.Resignation
}

// Heard answers a peer that has told something.
type Heard struct{}

// tell gives the news to all live nodes, and returns when they have it or the
// time for it is over. One that is missed hears by the register or the engine.
func (p *peers) tell(news EngineNews) {
	missed := p.toAll("Tell", news)
	if len(missed) > 0 && news.Engine != "" {
		event.Info(p.log, event.NewsNotHeard, zap.Strings("Peers", missed), zap.String("Upstream", news.Engine))
	}
}

// tellRegister gives the others what this node has just read of the register.
func (p *peers) tellRegister(r RegisterRead) { p.toAll("Register", r) }

// tellHolder gives the others a sign that this node has the duty.
func (p *peers) tellHolder() { p.tell(EngineNews{}) }

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
	return nil
}

// Known is what a node knows that one that has just started can't read.
type Known struct {
	Namings []accepted.Naming
}

// Known gives what this node knows.
func (h *enginesHandler) Known(_ Heard, k *Known) error {
	k.Namings = h.peers.book.Namings(clock.Boot())
	return nil
}

// Tell takes in the news of one engine.
func (h *enginesHandler) Tell(n EngineNews, _ *Heard) error {
	now := clock.Boot()
	if n.Resigned != nil {
		h.peers.keeper.Resigned(now, *n.Resigned)
		h.peers.heardHolder(now.Add(-holderQuiet)) // the first by rank asks for it at once
		return nil
	}
	if n.Engine != "" {
		// No sign of the duty: it may have been lost while the engine changed.
		take(h.peers.roster, time.Now(), n)
		return nil
	}
	h.peers.heardHolder(now)
	h.peers.keeper.HeardHolder()
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
