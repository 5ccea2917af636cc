package shedding

import (
	"hash/fnv"
	"maps"
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/request/decay"
)

const (
	// bandsPerOctave is how many bands of lengths lie between a length and its double:
	// the longest prompt of a band is a fifth longer than its shortest. With half as
	// many bands, of the requests of one kind ordered by length, two tenths were still
	// served at only 0.67 of the share of their kind.
	bandsPerOctave = 4
	// maxBands covers prompts of up to a million tokens.
	maxBands = 80
	// maxGroups bounds the groups whose lengths are counted separately. Requests of kinds
	// beyond it are compared with each other.
	maxGroups = 64
	// idleGroup is the number of recent requests below which a group is forgotten if there
	// are too many.
	idleGroup = 0.5
	// priorRequests is how many requests at the share of the whole priority are added
	// to those of a band: one or two requests alone say nothing about a share.
	priorRequests = 4
)

// bandOf returns the band of a prompt length.
func bandOf(tokens int) int {
	return min(int(bandsPerOctave*math.Log2(float64(max(1, tokens)))), maxBands-1)
}

// sendCounts counts the recent requests, and those of them that were sent.
type sendCounts struct{ requests, sent decay.Sum }

func (c *sendCounts) add(now time.Time, life time.Duration, sent bool) {
	c.requests.Add(now, life, 1)
	if sent {
		c.sent.Add(now, life, 1)
	}
}

// share returns the fraction of requests that were sent, here and by the peers, after
// adding priorCount requests with the sent fraction priorShare.
func (c *sendCounts) share(now time.Time, life time.Duration, peers peerCount, priorShare, priorCount float64) float64 {
	requests := c.requests.ValueAt(now, life) + peers.requests + priorCount
	if requests == 0 {
		return 1
	}
	return (c.sent.ValueAt(now, life) + peers.sent + priorShare*priorCount) / requests
}

// groupKey identifies the requests whose lengths are compared: those of one kind, or of
// one priority if the kind is not known. When kinds were compared with each other, the
// short prompts of one whose callers wait long hid that the long ones of another were
// refused.
type groupKey struct {
	Kind     uint32 // hash of the kind's name; 0: not known, or one of too many
	Priority uint8  // 0 if the kind is known
}

func keyOf(r Request) groupKey {
	if r.Kind == "" {
		return groupKey{Priority: uint8(min(max(r.Priority, 0), math.MaxUint8))}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Kind)) // never fails
	return groupKey{Kind: h.Sum32()}
}

// groups are the counts of all groups, by side of the share.
type groups map[groupKey]*[2]lengthCounts

// of returns the counts of a group, and the group under which they are kept.
func (g groups) of(now time.Time, life time.Duration, key groupKey) (groupKey, *[2]lengthCounts) {
	if counts := g[key]; counts != nil {
		return key, counts
	}
	if len(g) >= maxGroups {
		maps.DeleteFunc(g, func(_ groupKey, counts *[2]lengthCounts) bool { return requestsOf(counts, now, life) < idleGroup })
	}
	if len(g) >= maxGroups {
		key.Kind = 0
	}
	if g[key] == nil {
		g[key] = &[2]lengthCounts{}
	}
	return key, g[key]
}

// requestsOf returns how many requests of a group are counted.
func requestsOf(counts *[2]lengthCounts, now time.Time, life time.Duration) float64 {
	return counts[overShare].all.requests.ValueAt(now, life) + counts[withinShare].all.requests.ValueAt(now, life)
}

// lengthCounts counts requests by the length of their prompts, for one group and
// for workspaces either over or within their share. A workspace over its share is
// refused more often on purpose, whatever it sends. When it was compared with all
// others, the floor admitted its long prompts, and under a flood from one workspace,
// small workspaces were served 0.55 of their requests in time instead of 0.82.
type lengthCounts struct {
	all   sendCounts
	bands [maxBands]sendCounts
}

// shares returns the sent fraction of all requests counted here and by the peers and of
// those of the prompt's band, and how many requests of the band are counted.
func (l *lengthCounts) shares(now time.Time, cfg Config, peers *peerCounts, tokens int) (overall, band, count float64) {
	i := bandOf(tokens)
	counts, peerBand := &l.bands[i], peers.bands[i]
	overall = l.all.share(now, cfg.LengthDecay, peers.all, 0, 0)
	band = counts.share(now, cfg.LengthDecay, peerBand, overall, priorRequests)
	return overall, band, counts.requests.ValueAt(now, cfg.LengthDecay) + peerBand.requests
}

func (l *lengthCounts) add(now time.Time, life time.Duration, tokens int, sent bool) {
	l.all.add(now, life, sent)
	l.bands[bandOf(tokens)].add(now, life, sent)
}
