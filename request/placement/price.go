package placement

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// urgentBacklog is the part of an upstream's backlog that an urgent
	// request waits for; engines put it before other work.
	urgentBacklog = 0.3
	// warmPart is the part of a prompt that has to be expected in the cache
	// for the decision's reason to say warm.
	warmPart = 0.3
)

// price is what a request would cost at one upstream.
type price struct {
	candidate
	total  float64 // weighed seconds; the least is chosen
	cached int     // expected tokens
	wait   float64 // expected seconds to the first token
	load   bool    // import from the store
	warm   bool
	member bool
}

// price estimates what the request costs at c: the wait for the first token
// and the engine time spent on computing what isn't cached, each by its
// weight, and the penalty for failures.
func (a *Affinity) price(now time.Time, at tick, r Request, c candidate) price {
	cached := a.expected(at, r.Chain, c)
	compute := (float64(r.Chain.Tokens()) - cached) / max(1, c.Prefill)
	b := c.backlog(now, a.peers.work[c.Name])
	queue := float64(b.tokens) / max(1, c.Prefill)
	if r.Urgent {
		queue *= urgentBacklog
	}
	wait := queue + slotWait(r, c.member, b) + compute
	if c.DataCentre != r.DataCentre {
		wait += a.cfg.RemoteLatency.Seconds()
	}
	w := a.cfg.Weighing
	return price{
		candidate: c,
		total:     w.Wait*(wait+c.failures.wait(now)) + w.Recompute*compute,
		cached:    int(cached),
		wait:      wait,
		warm:      cached >= warmPart*float64(r.Chain.Tokens()),
		member:    c.depth == len(r.Chain),
	}
}

// slotWait is the time until a slot is free, if all are taken.
func slotWait(r Request, m *member, b backlog) float64 {
	over := b.requests - m.Slots + 1
	if over <= 0 {
		return 0
	}
	service := float64(max(1, r.Output)) * m.Decode.Seconds()
	return float64(over) * service / float64(max(1, m.Slots))
}

// expected is how many tokens of the chain are in the upstream's cache, by
// what is known of it and, for a member of a level's replica set, by how
// often requests of all nodes use the level there.
func (a *Affinity) expected(at tick, chain prefix.Chain, c candidate) float64 {
	sum, chance := 0.0, 0.0
	for i := len(chain) - 1; i >= 0; i-- {
		if age, ok := a.beliefs.age(c.engine.epoch, chain[i].ID, at); ok {
			chance = max(chance, c.engine.retention.keeps(age))
		}
		if i < c.depth {
			perMember := a.rates[i] / float64(a.sizes[i])
			chance = max(chance, 1-math.Exp(-perMember*float64(c.engine.retention)))
		}
		before := 0
		if i > 0 {
			before = chain[i-1].Tokens
		}
		sum += chance * float64(chain[i].Tokens-before)
	}
	return sum
}

func (p price) decision(candidates int) Decision {
	d := Decision{
		Upstream: p.Name,
		Cached:   p.cached,
		Wait:     time.Duration(p.wait * float64(time.Second)),
		Import:   p.load,
	}
	switch {
	case candidates == 1:
		d.Reason = Fallback
	case p.load:
		d.Reason = Import
	case !p.member:
		d.Reason = Spread
	case p.warm:
		d.Reason = WarmReplica
	default:
		d.Reason = ColdReplica
	}
	return d
}
