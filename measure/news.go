package measure

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// newsLag is how old a value is when a peer has it, about the middle of what
// docs/design/membership.md gives for eight nodes.
const newsLag = 1500 * time.Millisecond

// noteNews keeps what an answer said about its engine's cache for the peers.
func (n *node) noteNews(now time.Time, upstream string, chain prefix.Chain, a placement.Answer) {
	if n.serving != nil {
		n.news.Note(now, upstream, chain, a)
	}
}

// tellNews sends what the node's answers said about caches to each peer. Only
// nodes on the whole path do; those with a bare policy read the engines' own
// events, which serve does not.
func (f *fleet) tellNews(n *node) {
	if n.serving == nil || f.scenario.Silent {
		return
	}
	value := n.news.Value(f.clock.Now(), member.MaxBlobBytes)
	entries, err := cachenews.Decode(value)
	if err != nil {
		panic(fmt.Errorf("measure: news of %s: %w", n.name, err))
	}
	names := lo.SliceToMap(f.engines, func(e *engine.Engine) (cachenews.UpstreamID, string) {
		return cachenews.IDOf(e.Config().Name), e.Config().Name
	})
	for _, peer := range f.nodes {
		if peer == n || !f.reaches(n.centre, peer.centre) {
			continue
		}
		f.bytes += len(value)
		f.clock.After(newsLag, func() {
			for _, e := range entries {
				peer.policy.Cached(f.clock.Now(), names[e.Upstream], e.Event())
			}
		})
	}
}
