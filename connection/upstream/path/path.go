// Package path judges whether this node reaches the upstreams of a service. A node may lose its
// path to all of them while callers, the platform and the other nodes still reach it. A failed
// connection alone doesn't show whether the upstream or the path is at fault, so other upstreams
// of the service are tried as well.
package path

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

const (
	// checkTargets is how many upstreams a check connects to.
	checkTargets = 3
	// minCheckTargets is how many upstreams a check has to try to find a path lost. A single one may
	// be down.
	minCheckTargets = 2
	// restoredChecks is how many checks in a row have to succeed before the path counts as
	// restored. A path that comes and goes is not used.
	restoredChecks = 2
	// suspectUpstreams is how many upstreams have to refuse connections, without a success at any
	// in between, for a caller to wait for a check.
	suspectUpstreams = 2
	// checkInterval is the time between two checks while the path is lost.
	checkInterval = 250 * time.Millisecond
	// soundCheckInterval is the least time between two checks of a path that counts as sound.
	soundCheckInterval = time.Second
)

// group is the judgement of the path to the upstreams of one service. mu guards all fields.
type group struct {
	mu        sync.Mutex
	addresses []string
	failed    []string // upstreams to which the last connections failed, with no success since
	lost      bool
	since     time.Time // when the path was lost
	succeeded int       // checks in a row that succeeded while it is lost
	checkedAt time.Time
	requested bool // a check is due whatever the other fields say
	// othersCheck and otherServicesCheck tell whether connections that were tried beside a refused one, to other
	// upstreams of the service and of other services, succeeded.
	// They guard themselves.
	othersCheck, otherServicesCheck upstream.SharedCheck[bool]
	waitTimer                                                 // of all requests on direct connections
	upstreams                       map[string]*upstreamState // by address
}

// upstreamState is what a group knows of one upstream.
type upstreamState struct {
	waitTimer
	silent    bool // a connection could not be opened while requests had no answer
	checkedAt time.Time
	// reach tells whether the last direct connection could be opened since the path was lost.
	reach reach
	// reachedAt is when a direct connection to it was last opened, or brought bytes.
	reachedAt time.Time
	// peers is what other nodes last said of it.
	peers upstream.SharedCheck[relay.Reach]
	// refusal is the last one that the observer was told of, at refusalAt.
	refusal   Refusal
	refusalAt time.Time
}

// reach is what is known of direct connections to one upstream.
type reach uint8

const (
	unknown reach = iota
	reached
	unreached
)

func reachOf(ok bool) reach {
	if ok {
		return reached
	}
	return unreached
}

func (g *group) setAddresses(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses = addresses
	maps.DeleteFunc(g.upstreams, func(address string, s *upstreamState) bool {
		return s.waiting == 0 && !slices.Contains(addresses, address)
	})
}

// state returns the state of an upstream. The caller holds mu.
func (g *group) state(address string) *upstreamState {
	s, ok := g.upstreams[address]
	if !ok {
		s = &upstreamState{}
		if g.upstreams == nil {
			g.upstreams = map[string]*upstreamState{}
		}
		g.upstreams[address] = s
	}
	return s
}

// isLost reports whether the path counts as lost.
func (g *group) isLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lost
}

// way returns what is known of direct connections to an upstream. While the path is lost, some
// upstreams may still be in reach, such as those of this data centre.
func (g *group) way(address string) reach {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lost {
		return reached
	}
	return g.state(address).reach
}

// recordSuccess records a connection to an address that was opened directly.
func (g *group) recordSuccess(now time.Time, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed = nil
	s := g.state(address)
	s.reach, s.reachedAt = reached, now
}

// recordFailure records that a direct connection to an address could not be opened, and reports
// whether a check is due and whether so many upstreams have failed that its result decides.
func (g *group) recordFailure(now time.Time, address string) (due, decides bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(address).reach = unreached
	if !slices.Contains(g.failed, address) {
		g.failed = append(g.failed, address)
	}
	decides = len(g.failed) >= min(suspectUpstreams, len(g.addresses))
	return decides || now.Sub(g.checkedAt) >= soundCheckInterval, decides
}

// requestCheck makes a check due.
func (g *group) requestCheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requested = true
}

// checkDue reports whether the path has to be checked now without a failed connection.
func (g *group) checkDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requested {
		return true
	}
	if g.lost {
		return now.Sub(g.checkedAt) >= checkInterval
	}
	return g.silentFor(now, silenceTimeout) && now.Sub(g.checkedAt) >= soundCheckInterval
}

// beginCheck returns the upstreams to connect to for a check.
func (g *group) beginCheck(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkedAt, g.requested = now, false
	return pick(g.addresses, checkTargets)
}

// sample returns up to n of the upstreams.
func (g *group) sample(n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return pick(g.addresses, n)
}

// sampleOthers returns upstreams other than the one at an address, those whose last connection failed
// only if there are no others.
func (g *group) sampleOthers(address string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := lo.Without(g.addresses, address)
	if sound := lo.Without(others, g.failed...); len(sound) > 0 {
		others = sound
	}
	return pick(others, checkTargets)
}

// refusalInterval is the least time between two equal refusals of an upstream that the observer is told of.
const refusalInterval = time.Second

// refusalIsNews reports whether the observer is to be told of a refusal.
func (g *group) refusalIsNews(now time.Time, r Refusal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(r.Address)
	if s.refusal == r && now.Sub(s.refusalAt) < refusalInterval {
		return false
	}
	s.refusal, s.refusalAt = r, now
	return true
}

// pick returns up to n of the addresses, at random.
func pick(addresses []string, n int) []string {
	n = min(n, len(addresses))
	picked := make([]string, 0, n)
	for _, i := range rand.Perm(len(addresses))[:n] {
		picked = append(picked, addresses[i])
	}
	return picked
}

// recordCheck applies the result of a check. The majority decides: single upstreams may be down
// beside a sound path, and single ones may be in reach beside a lost one. It reports whether the
// judgement has changed, and for how long the path had been lost if it is restored.
func (g *group) recordCheck(now time.Time, results map[string]bool) (changed bool, lostFor time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(results) < minCheckTargets && !g.lost {
		return false, 0
	}
	count := countTrue(results)
	sound := count > 0 && 2*count >= len(results)
	if !g.lost && !sound {
		for _, s := range g.upstreams {
			s.reach = unknown
		}
	}
	for address, ok := range results {
		if slices.Contains(g.addresses, address) {
			g.state(address).reach = reachOf(ok)
		}
	}
	switch {
	case !g.lost && !sound:
		g.lost, g.since, g.succeeded = true, now, 0
		return true, 0
	case !g.lost:
		g.failed = nil
		return false, 0
	case !sound:
		g.succeeded = 0
		return false, 0
	}
	g.succeeded++
	if g.succeeded < restoredChecks {
		return false, 0
	}
	g.lost, g.failed = false, nil
	g.waitingSince = now
	return true, now.Sub(g.since)
}

func countTrue(results map[string]bool) int {
	return lo.CountBy(lo.Values(results), func(ok bool) bool { return ok })
}
