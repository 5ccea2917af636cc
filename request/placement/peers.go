package placement

import (
	"slices"
	"time"
)

const (
	// maxPeers bounds the peers whose summaries are kept. If there are more nodes, the
	// kept summaries are a sample.
	maxPeers = 32
	// maxHotLevels and maxInFlight bound a summary, and with it the bandwidth of the
	// peer traffic.
	maxHotLevels = 32
	maxInFlight  = 64
	// summaryLife is how long a summary counts.
	summaryLife = 5 * time.Second
)

// peers holds the last summary of each peer and the sums over them.
type peers struct {
	summaries   []Summary          // in the order in which peers became known, so that the sums are deterministic
	levelDemand map[uint64]float64 // engine-seconds per second, over all peers
	inFlight    map[string]InFlight
}

func newPeers() peers {
	return peers{levelDemand: map[uint64]float64{}, inFlight: map[string]InFlight{}}
}

func (p *peers) merge(now time.Time, s Summary) {
	p.expire(now)
	if s.Nodes <= 1 {
		s.HotLevels = s.HotLevels[:min(len(s.HotLevels), maxHotLevels)]
		s.InFlight = s.InFlight[:min(len(s.InFlight), maxInFlight)]
	}
	i := slices.IndexFunc(p.summaries, func(o Summary) bool { return o.Node == s.Node })
	switch {
	case i < 0 && len(p.summaries) >= maxPeers:
	case i < 0:
		p.summaries = append(p.summaries, s)
		p.add(s, 1)
	case s.At.After(p.summaries[i].At):
		p.add(p.summaries[i], -1)
		p.summaries[i] = s
		p.add(s, 1)
	}
}

func (p *peers) expire(now time.Time) {
	p.summaries = slices.DeleteFunc(p.summaries, func(s Summary) bool {
		old := now.Sub(s.At) > summaryLife
		if old {
			p.add(s, -1)
		}
		return old
	})
}

// add adds a summary to the sums or, with sign -1, subtracts it. An entry is removed
// with the last summary that contains it, so that the sums are as bounded as the
// summaries.
func (p *peers) add(s Summary, sign int) {
	for _, h := range s.HotLevels {
		rate := p.levelDemand[h.Level] + float64(sign)*h.Rate
		if rate < 1e-9 {
			delete(p.levelDemand, h.Level)
			continue
		}
		p.levelDemand[h.Level] = rate
	}
	for _, f := range s.InFlight {
		w := p.inFlight[f.Upstream]
		w.Requests += sign * f.Requests
		w.Tokens += sign * f.Tokens
		if w.Requests <= 0 && w.Tokens <= 0 {
			delete(p.inFlight, f.Upstream)
			continue
		}
		p.inFlight[f.Upstream] = w
	}
}

// nodeCount returns how many peers the kept summaries stand for.
func (p *peers) nodeCount() int {
	n := 0
	for _, s := range p.summaries {
		n += max(1, s.Nodes)
	}
	return n
}
