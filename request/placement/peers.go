package placement

import (
	"slices"
	"time"
)

const (
	// maxPeers bounds the peers whose summaries are kept. With more nodes
	// the kept ones are a sample.
	maxPeers = 32
	// maxHotLevels and maxInFlight bound a summary, and with it the bytes a
	// second of peer traffic.
	maxHotLevels = 32
	maxInFlight  = 64
	// peerLife is how long a summary counts.
	peerLife = 5 * time.Second
)

// peers holds the last summary of each peer and their sums.
type peers struct {
	last   []Summary          // in the order in which the peers came to be known, so that sums come out alike
	levels map[uint64]float64 // engine-seconds a second, over all peers
	work   map[string]InFlight
}

func newPeers() peers {
	return peers{levels: map[uint64]float64{}, work: map[string]InFlight{}}
}

func (p *peers) merge(now time.Time, s Summary) {
	p.expire(now)
	if s.Nodes <= 1 {
		s.HotLevels = s.HotLevels[:min(len(s.HotLevels), maxHotLevels)]
		s.InFlight = s.InFlight[:min(len(s.InFlight), maxInFlight)]
	}
	i := slices.IndexFunc(p.last, func(o Summary) bool { return o.Node == s.Node })
	switch {
	case i < 0 && len(p.last) >= maxPeers:
	case i < 0:
		p.last = append(p.last, s)
		p.add(s, 1)
	case s.At.After(p.last[i].At):
		p.add(p.last[i], -1)
		p.last[i] = s
		p.add(s, 1)
	}
}

func (p *peers) expire(now time.Time) {
	p.last = slices.DeleteFunc(p.last, func(s Summary) bool {
		old := now.Sub(s.At) > peerLife
		if old {
			p.add(s, -1)
		}
		return old
	})
}

// add counts a summary in or out; entries go away with the last summary
// that has them, so that the sums stay as bounded as the summaries.
func (p *peers) add(s Summary, sign int) {
	for _, h := range s.HotLevels {
		rate := p.levels[h.Level] + float64(sign)*h.Rate
		if rate < 1e-9 {
			delete(p.levels, h.Level)
			continue
		}
		p.levels[h.Level] = rate
	}
	for _, f := range s.InFlight {
		w := p.work[f.Upstream]
		w.Requests += sign * f.Requests
		w.Tokens += sign * f.Tokens
		if w.Requests <= 0 && w.Tokens <= 0 {
			delete(p.work, f.Upstream)
			continue
		}
		p.work[f.Upstream] = w
	}
}

// nodes is how many peers the kept summaries stand for.
func (p *peers) nodes() int {
	n := 0
	for _, s := range p.last {
		n += max(1, s.Nodes)
	}
	return n
}
