package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// LengthCount is how many requests of one length were decided about recently, and how
// many of them were sent, at one node or at several together.
type LengthCount struct {
	Priority  uint8
	Kind      uint32 // hash of the requests' kind; 0: not known
	OverShare bool   // the requests' workspaces had used more than their share
	Band      uint8
	Requests  float32
	Sent      float32
}

// countStep is the precision of the numbers in a report. Multiples of it take few bytes.
const countStep = 1.0 / 16

// reportLife is how long the report of a peer is used: as long as three reports that are
// sent once a second.
const reportLife = 3 * time.Second

// key identifies a length within a report.
func (c LengthCount) key() LengthCount {
	return LengthCount{Priority: c.Priority, Kind: c.Kind, OverShare: c.OverShare, Band: c.Band}
}

// isValid reports whether a node can have counted this.
func (c LengthCount) isValid() bool {
	return c.Band < maxBands && c.Requests > 0 && !math.IsInf(float64(c.Requests), 1) &&
		c.Sent >= 0 && c.Sent <= c.Requests
}

// SumLengthCounts adds up the counts of several reports. Counts that no node can have
// are omitted.
func SumLengthCounts(reports []LengthCount) []LengthCount {
	sums := map[LengthCount]LengthCount{}
	for _, c := range reports {
		if !c.isValid() {
			continue
		}
		sum := sums[c.key()]
		c.Requests, c.Sent = c.Requests+sum.Requests, c.Sent+sum.Sent
		sums[c.key()] = c
	}
	all := lo.Values(sums)
	slices.SortFunc(all, func(a, b LengthCount) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Kind, b.Kind), cmp.Compare(sideOf(a.OverShare), sideOf(b.OverShare)), cmp.Compare(a.Band, b.Band))
	})
	return all
}

// LengthCounts returns this node's own counts, for its peers.
func (s *Shedder) LengthCounts(now time.Time) []LengthCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own []LengthCount
	for group, sides := range s.groups {
		for side := range sides {
			for band := range sides[side].bands {
				counts := &sides[side].bands[band]
				requests := roundCount(counts.requests.ValueAt(now, s.cfg.LengthDecay))
				if requests == 0 {
					continue
				}
				own = append(own, LengthCount{
					Priority: group.Priority, Kind: group.Kind, OverShare: side == overShare, Band: uint8(band),
					Requests: requests, Sent: min(requests, roundCount(counts.sent.ValueAt(now, s.cfg.LengthDecay))),
				})
			}
		}
	}
	return own
}

func roundCount(n float64) float32 { return float32(math.Round(n/countStep) * countStep) }

// peerReport is the last report of one source.
type peerReport struct {
	at     time.Time
	counts []LengthCount
}

// MergeLengthCounts replaces what a source has reported about other nodes. The counts of
// this node must not be among them.
func (s *Shedder) MergeLengthCounts(now time.Time, source string, counts []LengthCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerReports[source] = peerReport{at: now, counts: counts}
	s.sumPeerReports(now)
}

// sumPeerReports adds up the reports that are still used.
func (s *Shedder) sumPeerReports(now time.Time) {
	s.peerCounts = peerGroups{}
	for source, r := range s.peerReports {
		if now.Sub(r.at) > reportLife {
			delete(s.peerReports, source)
			continue
		}
		for _, c := range r.counts {
			if c.isValid() {
				s.peerCounts.add(c)
			}
		}
	}
	s.peersSummedAt = now
}

// peerGroups are the counts of the peers by group and side of the share.
type peerGroups map[groupKey]*[2]peerCounts

// of returns the counts of a group; none if no peer has reported any.
func (p peerGroups) of(key groupKey, side int) *peerCounts {
	if counts := p[key]; counts != nil {
		return &counts[side]
	}
	return &noPeerCounts
}

var noPeerCounts peerCounts

// add adds a count. Groups beyond maxGroups are left out.
func (p peerGroups) add(c LengthCount) {
	key := groupKey{Priority: c.Priority, Kind: c.Kind}
	if p[key] == nil {
		if len(p) >= maxGroups {
			return
		}
		p[key] = &[2]peerCounts{}
	}
	p[key][sideOf(c.OverShare)].add(c)
}

// peerCounts are the counts of the peers for requests that are compared with each other.
type peerCounts struct {
	all   peerCount
	bands [maxBands]peerCount
}

type peerCount struct{ requests, sent float64 }

func (p *peerCounts) add(c LengthCount) {
	for _, n := range []*peerCount{&p.all, &p.bands[c.Band]} {
		n.requests += float64(c.Requests)
		n.sent += float64(c.Sent)
	}
}
