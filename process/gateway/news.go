package gateway

import (
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/quota"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// busyTimeout is how long an engine counts as changing its weights if no end is reported. The
// holder of the duty may have died.
const busyTimeout = 8 * time.Second

// EngineNews is a report of the duty's holder about one engine.
type EngineNews struct {
	Engine string
	Model  string
	Held   uint64 // version; 0: not known
	Busy   bool   // it is changing its weights and takes no requests
}

// Heard is the empty reply, or argument, of a call between peers.
type Heard struct{}

// reportRegister sends the other nodes what this node has just read from the register. In a large fleet
// they ask for it.
func (p *peers) reportRegister(r RegisterRead) {
	if !p.roles.isLarge(clock.BoottimeNow()) {
		p.callAll("RegisterRead", r)
	}
}

// enginesHandler serves the peers' calls.
type enginesHandler struct {
	peers *peers
}

// RegisterRead applies what a peer has read from the register. Nodes of an older build, whose offsets lack
// the store's era, call another method, so that during a rolling update each node reads by itself.
func (h *enginesHandler) RegisterRead(r RegisterRead, _ *Heard) error {
	h.peers.learner.applyPeerRead(clock.BoottimeNow(), r)
	if f := h.peers.register.Load(); f != nil {
		f.RecordPeerRead(r.From, r.Next)
	}
	return nil
}

// Exchange applies a peer's report of its traffic. The report is as recent as the call.
func (h *enginesHandler) Exchange(v Values, _ *Heard) error {
	now := time.Now()
	h.peers.policies.MergeSummary(now, now, v.Node, v.Placement)
	h.peers.policies.MergeCacheNews(now, v.Caches)
	h.peers.endings.merge(now, v.Endings)
	if v.Demand != nil {
		h.peers.endings.notices.limiter.MergeDemand(now, v.Node, *v.Demand)
	}
	if v.Lengths != nil {
		h.peers.lengths.MergeLengthCounts(now, v.Node, v.Lengths)
	}
	if v.Rates != nil {
		h.peers.policies.MergeRates(now, v.Node, v.Rates)
	}
	if v.Use != nil {
		h.peers.fleet.Merge(now, v.Node, *v.Use)
	}
	return nil
}

// Share answers a node that uses this one as the aggregator of its data centre.
func (h *enginesHandler) Share(q Share, a *Shared) error {
	if s := h.peers.sharer.Load(); s != nil {
		*a = s.answer(time.Now(), q)
		return nil
	}
	return errNotJoined
}

// Quota answers a node that uses this one as the allocator of quotas.
func (h *enginesHandler) Quota(q quota.Ask, r *quota.Reply) error {
	s := h.peers.quotas.Load()
	if s == nil {
		return errNotJoined
	}
	var err error
	*r, err = s.answer(clock.BoottimeNow(), q)
	return err
}

// Origins records where streams of another node have begun.
func (h *enginesHandler) Origins(r OriginRecords, _ *Heard) error {
	o := h.peers.origins.Load()
	if o == nil {
		return errNotJoined
	}
	o.tracker.Merge(clock.BoottimeNow(), r.Records)
	return nil
}

// Origin answers a node at which a stream is resumed.
func (h *enginesHandler) Origin(q OriginQuery, r *OriginReply) error {
	o := h.peers.origins.Load()
	if o == nil {
		return errNotJoined
	}
	*r = o.answer(clock.BoottimeNow(), q)
	return nil
}

// Listing answers a node that can't read the ledger.
func (h *enginesHandler) Listing(r origin.Route, l *Listing) error {
	o := h.peers.origins.Load()
	if o == nil {
		return errNotJoined
	}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	*l = o.ownListing(ctx, r)
	return nil
}

// Known is what a node knows that a node that has just started can't read.
type Known struct {
	Namings    []accepted.VersionAge
	Quarantine []quarantine.Update
	LastAct    *duty.LastAct // of the duty's holders; nil: not known
}

// Known returns what this node knows.
func (h *enginesHandler) Known(_ Heard, k *Known) error {
	k.Namings = h.peers.book.VersionAges(clock.BoottimeNow())
	k.Quarantine = h.peers.endings.quarantine.KnownUpdates(time.Now())
	k.LastAct = h.peers.lastAct()
	return nil
}

// Configuration returns what this node knows of the configuration. Nodes of an older build, whose offsets
// lack the store's era, call another method.
func (h *enginesHandler) Configuration(from keyed.Position, w *keyed.PeerAnswer) error {
	if f := h.peers.configuration.Load(); f != nil {
		*w = f.AnswerPeer(clock.BoottimeNow(), from)
	}
	return nil
}

// Engine applies the news of one engine, from a node of an older build.
func (h *enginesHandler) Engine(n EngineNews, _ *Heard) error {
	h.apply(News{Engine: &n})
	return nil
}

// Holder records a sign of the duty's holder, from a node of an older build.
func (h *enginesHandler) Holder(_ Heard, _ *Heard) error {
	h.apply(News{Holder: true})
	return nil
}

// Resigned records a former holder's resignation, from a node of an older build.
func (h *enginesHandler) Resigned(r duty.Resignation, _ *Heard) error {
	h.apply(News{Resigned: &r})
	return nil
}

func applyEngineNews(r *roster.Roster, now time.Time, n EngineNews) {
	if n.Held > 0 {
		r.RecordWeights(n.Engine, n.Model, n.Held)
	}
	until := time.Time{}
	if n.Busy {
		until = now.Add(busyTimeout)
	}
	r.SetBusy(n.Engine, until)
}
