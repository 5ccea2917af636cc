package gateway

import (
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
)

// Endings is what nodes tell each other of upstreams that have ended, are about to end or limit
// their requests.
type Endings struct {
	Quarantine []quarantine.Update // requests during which upstreams have ended
	Leaving    []string            // upstreams whose recent answers have announced that they are leaving
	Limits     []ratelimit.Report  // rates that upstreams have stated recently
	Rejects    []ratelimit.Report  // limits of rejections that upstreams have stated recently
}

// endingsStore reads and merges Endings.
type endingsStore struct {
	quarantine *quarantine.Tracker
	notices    *noticeHandler
}

func newEndingsStore(i do.Injector) endingsStore {
	return endingsStore{quarantine: do.MustInvoke[*quarantine.Tracker](i), notices: do.MustInvoke[*noticeHandler](i)}
}

// unsent returns what this node has found itself and not yet sent to its peers.
func (e endingsStore) unsent(now time.Time) Endings {
	return Endings{Quarantine: e.quarantine.UnsentUpdates(now), Leaving: e.notices.recent(clock.BoottimeNow()), Limits: e.notices.limiter.Reports(now), Rejects: e.notices.rejects.Reports(now)}
}

// recent returns what this node has found or received recently, for a peer that asks.
func (e endingsStore) recent(now time.Time) Endings {
	return Endings{Quarantine: e.quarantine.RecentUpdates(now), Leaving: e.notices.recent(clock.BoottimeNow()), Limits: e.notices.limiter.Reports(now), Rejects: e.notices.rejects.Reports(now)}
}

// merge adds what a peer has sent.
func (e endingsStore) merge(now time.Time, received Endings) {
	e.quarantine.Merge(now, received.Quarantine)
	e.notices.leavingByPeer(clock.BoottimeNow(), received.Leaving)
	e.notices.limitsByPeer(now, received.Limits)
	e.notices.rejectLimitsByPeer(now, received.Rejects)
}
