package measure

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Eight nodes exchange what they know directly, once a second. One of them polls each
// engine for its load twice a second, and the others receive the result with its next
// message. The two delays are a quarter and half a second on average, 750 ms
// together.
const (
	loadPollPeriod = time.Second
	loadPollLag    = 750 * time.Millisecond
)

// recordLoad passes an engine's load report to a node: at once, or, on the serving
// path, at the pace and with the delay at which load spreads among nodes.
func (n *node) recordLoad(f *fleet, upstream string, l placement.Load) {
	if n.servingPath == nil {
		n.policy.RecordLoad(f.clock.Now(), upstream, l)
		return
	}
	f.loadReports++
	if f.loadReports/len(f.nodes)%int(loadPollPeriod/loadPeriod) != 0 {
		return
	}
	f.clock.After(loadPollLag, func() { n.policy.RecordLoad(f.clock.Now(), upstream, l) })
}

// recordCacheNews stores what an answer said about its engine's cache, for the node's
// peers.
func (n *node) recordCacheNews(now time.Time, upstream string, chain prefix.Chain, a placement.Answer) {
	if n.servingPath != nil {
		n.cacheNews.AddAnswer(now, upstream, chain, a)
	}
}

// sendCacheNews sends each peer what the node's answers said about caches. Only nodes
// on the serving path send it: nodes without it read the event streams of the
// engines, which the serving path does not.
func (f *fleet) sendCacheNews(n *node) {
	if n.servingPath == nil || f.scenario.NoSummaries {
		return
	}
	value := n.cacheNews.EncodeNewest(f.clock.Now(), cachenews.MaxValueBytes)
	entries, err := cachenews.Decode(value)
	if err != nil {
		panic(fmt.Errorf("measure: news of %s: %w", n.name, err))
	}
	names := lo.SliceToMap(f.engines, func(e *engine.Engine) (cachenews.UpstreamID, string) {
		return cachenews.IDOf(e.Config().Name), e.Config().Name
	})
	for _, peer := range f.nodes {
		if peer == n || !f.reaches(n.dataCentre, peer.dataCentre) {
			continue
		}
		f.summaryBytes += len(value)
		f.clock.After(latency(n.dataCentre, peer.dataCentre), func() {
			for _, e := range entries {
				peer.policy.RecordCacheEvent(f.clock.Now(), names[e.Upstream], e.Event())
			}
		})
	}
}
