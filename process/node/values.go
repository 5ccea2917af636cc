package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Values are what one node sends its peers once a second, each value in a compact
// format of its own.
type Values struct {
	Node       string
	DataCentre string
	Placement  []byte // see policy.EncodeSummary
	Engines    []byte // see encodeStatuses
	Caches     []byte // see cachenews.EntryBuffer
	Evidence   []byte // upstreams that failed this node's requests; see member.EncodeReports
	Quarantine []byte // requests while upstream processes ended; see quarantine.Encode
}

// Names under which the values are published on heartbeats.
const (
	placementValue  = "Placement"
	enginesValue    = "Engines"
	cachesValue     = "Caches"
	evidenceValue   = "Upstreams"
	quarantineValue = "Quarantine"
)

const (
	// maxDirectNodes is the largest number of live nodes at which each node sends
	// its values to every other one directly. On the heartbeats of a small fleet a
	// value would be two and a half seconds old when it arrives, and too many
	// requests would be placed on the same engines.
	maxDirectNodes = 16
	// maxFleetWideNodes is the largest number of live nodes at which values on
	// heartbeats go to all data centres. In a larger fleet they stay within their
	// own data centre, as they would be too old by the time they had reached all
	// nodes.
	maxFleetWideNodes = 32
	// sendTimeout bounds one call to a peer. The next call follows a second later.
	sendTimeout = 500 * time.Millisecond
)

// collectValues returns the values to send. Each call takes the next of this node's
// groups of engines, and another part of its engines' statuses if not all of them
// fit.
func (m *maintenance) collectValues(now time.Time) Values {
	m.rotation++
	return Values{
		Node:       m.node,
		DataCentre: m.members.Self().DataCentre,
		Placement:  m.policies.EncodedSummary(now, m.node, m.rotation),
		Engines:    encodeStatuses(m.ownStatuses(now)),
		Caches:     m.cacheNews.EncodeNewest(now, cachenews.MaxValueBytes),
		Evidence:   member.EncodeReports(m.upstreams.Reports(now)),
		Quarantine: quarantine.Encode(m.quarantine.UnsentUpdates(now), member.MaxBlobBytes),
	}
}

// ownStatuses returns the statuses of the engines that this node queries, beginning
// with another one in each rotation.
func (m *maintenance) ownStatuses(now time.Time) []inventory.Status {
	o := owner{members: m.members}
	var own []inventory.Status
	for _, u := range m.catalogue.Catalogue().Config().Upstreams {
		if s, ok := m.inventory.Status(u.Name); ok && u.Kind == config.Engine && o.Owns(now, u) {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortFunc(own, func(a, b inventory.Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	start := m.rotation % len(own)
	return append(append([]inventory.Status{}, own[start:]...), own[:start]...)
}

// sendValues sends this node's values to its peers: directly in a small fleet, on
// heartbeats otherwise.
func (m *maintenance) sendValues(ctx context.Context, now time.Time, live []member.Member) {
	v := m.collectValues(now)
	if len(live) > maxDirectNodes {
		m.publish(now, len(live), v)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range live {
		if peer.Name == m.node {
			continue
		}
		calls.Go(func() {
			// The next call makes up for one that fails.
			_ = m.client.Call(ctx, peer.Address, valuesService+".Tell", v, &Told{})
		})
	}
	calls.Wait()
}

// publish publishes the values on heartbeats.
func (m *maintenance) publish(now time.Time, live int, v Values) {
	publish := m.members.Publish
	if live > maxFleetWideNodes {
		publish = m.members.PublishLocal
	}
	for _, value := range []struct {
		name  string
		value []byte
	}{{placementValue, v.Placement}, {enginesValue, v.Engines}, {cachesValue, v.Caches}, {evidenceValue, v.Evidence}, {quarantineValue, v.Quarantine}} {
		if value.name == evidenceValue && !m.shouldPublishEvidence(v.Evidence) {
			continue
		}
		if value.name == quarantineValue && len(v.Quarantine) == 0 {
			continue // peers keep what they have received
		}
		_ = publish(now, value.name, value.value) // each value is bounded below the limit
	}
}

// shouldPublishEvidence reports whether to publish evidence on heartbeats: if there
// is any, or once more to withdraw the previous evidence. In a large fleet, empty
// values would delay the others.
func (m *maintenance) shouldPublishEvidence(evidence []byte) bool {
	previous := m.hadEvidence
	m.hadEvidence = len(evidence) > 0
	return previous || m.hadEvidence
}

// applyPublished applies the values that arrived on heartbeats.
func (m *maintenance) applyPublished(now time.Time) {
	previous := m.latestPublished
	m.latestPublished = map[valueKey]time.Time{} // only of nodes still heard from; it would otherwise grow with each replaced node
	for _, name := range []string{placementValue, enginesValue, cachesValue, evidenceValue, quarantineValue} {
		for _, v := range m.members.LatestValues(name) {
			key := valueKey{node: v.Node, name: name}
			if !v.PublishedAt.After(previous[key]) {
				m.latestPublished[key] = previous[key]
				continue // already applied
			}
			m.latestPublished[key] = v.PublishedAt
			values := singleValue(v, name)
			m.applyValues(now, v.PublishedAt, values)
			if name == evidenceValue {
				m.applyEvidence(v.PublishedAt, values)
			}
		}
	}
}

// valueKey identifies a value of a node.
type valueKey struct {
	node string
	name string
}

// singleValue returns Values that hold only the value published under name.
func singleValue(published member.Value, name string) Values {
	v := Values{Node: published.Node, DataCentre: published.DataCentre}
	switch name {
	case placementValue:
		v.Placement = published.Value
	case enginesValue:
		v.Engines = published.Value
	case cachesValue:
		v.Caches = published.Value
	case evidenceValue:
		v.Evidence = published.Value
	case quarantineValue:
		v.Quarantine = published.Value
	}
	return v
}

// applyValues applies a peer's values; at is their time by this node's clock. Values
// in the format of a newer version are skipped.
func (m *maintenance) applyValues(now, at time.Time, v Values) {
	names := m.policies.UpstreamNames()
	if statuses, err := decodeStatuses(v.Engines, names); err == nil {
		for _, s := range statuses {
			s.At = at
			m.inventory.UpdateStatus(now, s)
		}
	}
	m.policies.MergeSummary(now, at, v.Node, v.Placement)
	m.policies.MergeCacheNews(now, v.Caches)
	if news, err := quarantine.Decode(v.Quarantine); err == nil {
		m.quarantine.Merge(at, news)
	}
}

// applyEvidence replaces a peer's evidence on the upstreams that failed its
// requests. An empty value withdraws the former evidence.
func (m *maintenance) applyEvidence(at time.Time, v Values) {
	if reports, err := member.DecodeReports(v.Evidence); err == nil {
		m.upstreams.MergeReports(at, v.Node, v.DataCentre, reports)
	}
}

// Told is the empty answer to a peer that has sent its values.
type Told struct{}

// valuesHandler receives the values that peers send directly.
type valuesHandler struct {
	maintenance *maintenance
}

// Tell applies a peer's values, whose age is that of the call.
func (h *valuesHandler) Tell(v Values, _ *Told) error {
	now := time.Now()
	h.maintenance.applyValues(now, now, v)
	h.maintenance.applyEvidence(now, v)
	return nil
}
