package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
)

// spreadTimeout bounds a call to a node that passes news on: its own calls take up to peerCallTimeout.
const spreadTimeout = 2 * peerCallTimeout

// News is what one node tells all others.
type News struct {
	Engine   *EngineNews       // nil: none
	Holder   bool              // the sender holds the duty
	Resigned *duty.Resignation // nil: none
	LastAct  *duty.LastAct     // what the sender knows of the last act of a holder; nil: nothing
	// PassOn makes a node tell the others of its data centre, but for From, which has told it.
	PassOn bool
	From   string
}

// SpreadResult is how far news has been passed on.
type SpreadResult struct {
	Missed []string // nodes that did not answer
}

// spread tells all nodes, stopping ones as well, and returns the names of those that did not answer when
// the others have or the time is over. In a large fleet one node of each data centre tells the others
// there: with calls to all of a thousand nodes at once, most of them are over time at a small VM.
func (p *peers) spread(n News) (missed []string) {
	n.From = p.name
	now := clock.BoottimeNow()
	if !p.roles.isLarge(now) {
		return p.tellEach(roleNodesOf(p.running()), n)
	}
	return lo.Flatten(waitAll(p.roles.dataCentres(now), func(dataCentre string) []string { return p.tellDataCentre(now, dataCentre, n) }))
}

func roleNodesOf(members []member.Member) []roleNode {
	return lo.Map(members, func(m member.Member, _ int) roleNode {
		return roleNode{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
	})
}

// tellEach tells each node.
func (p *peers) tellEach(nodes []roleNode, n News) (missed []string) {
	return lo.Compact(waitAll(nodes, func(m roleNode) string {
		err := p.call(context.Background(), m.Address, "News", n, &SpreadResult{})
		if errors.Is(err, peer.ErrRemote) {
			err = p.tellOlder(m, n)
		}
		if err != nil {
			return m.Name
		}
		return ""
	}))
}

// tellOlder tells a node of an older build, which has a method for each kind of news.
func (p *peers) tellOlder(m roleNode, n News) error {
	ctx := context.Background()
	switch {
	case n.Engine != nil:
		return p.call(ctx, m.Address, "Engine", *n.Engine, &Heard{})
	case n.Resigned != nil:
		return p.call(ctx, m.Address, "Resigned", *n.Resigned, &Heard{})
	}
	return p.call(ctx, m.Address, "Holder", Heard{}, &Heard{})
}

// tellDataCentre tells the nodes of one data centre through one of those with roles there. If neither of
// the first two answers, as after a cut or in a fleet that still runs an older build, it tells each node.
func (p *peers) tellDataCentre(now time.Time, dataCentre string, n News) (missed []string) {
	all := p.near(now, dataCentre, n.From)
	n.PassOn = true
	for _, first := range all[:min(len(all), aggregatorsPerDataCentre)] {
		var result SpreadResult
		if p.callWithin(context.Background(), spreadTimeout, first.Address, "News", n, &result) == nil {
			return result.Missed
		}
	}
	n.PassOn = false
	return p.tellEach(all, n)
}

// near returns the nodes of a data centre but for this one and the one from which news comes.
func (p *peers) near(now time.Time, dataCentre, from string) []roleNode {
	all, _ := p.roles.nodes(now, dataCentre)
	return lo.Reject(all, func(m roleNode, _ int) bool { return m.Name == p.name || m.Name == from })
}

// News applies what another node tells, and passes it on if that node asks for it.
func (h *enginesHandler) News(n News, r *SpreadResult) error {
	h.apply(n)
	if !n.PassOn {
		return nil
	}
	n.PassOn = false
	r.Missed = h.peers.tellEach(h.peers.near(clock.BoottimeNow(), h.peers.dataCentre, n.From), n)
	return nil
}

func (h *enginesHandler) apply(n News) {
	now := clock.BoottimeNow()
	if n.Engine != nil {
		// This is no sign that the sender holds the duty, which may have lapsed while the engine changed
		// its weights.
		applyEngineNews(h.peers.roster, time.Now(), *n.Engine)
	}
	if n.Holder {
		h.peers.noteHolderSign(now)
	}
	if n.LastAct != nil {
		h.peers.keeper.RecordLastAct(now, *n.LastAct)
	}
	if n.Resigned != nil {
		h.peers.noteHolderSign(now.Add(-holderSilence)) // the first node by rank asks for the duty at once
	}
}

// spreadEngine sends the news of an engine to all live nodes and returns when they have it or the time
// for it is over. A node that misses it learns from the register or from the engine.
func (p *peers) spreadEngine(n EngineNews) {
	if missed := p.spread(News{Engine: &n}); len(missed) > 0 {
		event.Info(p.log, event.NewsNotHeard, zap.Strings("Peers", missed), zap.String("Upstream", n.Engine))
	}
}

// spreadHolder sends the other nodes a sign that this node holds the duty, with what it knows of the last act:
// nodes that take the duty after its sudden end go on with its wait.
func (p *peers) spreadHolder() { p.spread(News{Holder: true, LastAct: p.lastAct()}) }

// spreadResignation tells the other nodes that this node no longer holds the duty.
func (p *peers) spreadResignation(r duty.Resignation) {
	p.spread(News{Resigned: &r, LastAct: p.lastAct()})
}
