package relay

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidTime is how long a node that could not help is not asked, if there are others.
	avoidTime = 5 * time.Second
	// provenTime is how long a node that helped is preferred.
	provenTime = 5 * time.Second
	// provenWeight and localWeight make a node that helped, and one in the same data centre, come
	// earlier. They are weak enough that no node gets all connections.
	provenWeight = 0.1
	localWeight  = 0.6
)

// Peer is a node that may pass connections on.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
}

// Picker decides in which order other nodes are asked to pass a connection on.
type Picker struct {
	dataCentre string

	mu     sync.Mutex // guards the fields below
	rnd    *rand.Rand
	avoid  map[string]time.Time // by name: until when
	proven map[string]time.Time
}

// NewPicker returns a Picker of a node in a data centre.
func NewPicker(dataCentre string, seed uint64) *Picker {
	return &Picker{dataCentre: dataCentre, rnd: rand.New(rand.NewPCG(seed, 0)), avoid: map[string]time.Time{}, proven: map[string]time.Time{}}
}

// Order returns the peers in the order in which to ask them. If all have lately been unable to help,
// it returns one of them, so that a request without any way fails soon.
func (p *Picker) Order(now time.Time, peers []Peer) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := func(_ string, until time.Time) bool { return !until.After(now) }
	maps.DeleteFunc(p.avoid, expired)
	maps.DeleteFunc(p.proven, expired)
	ranks := make(map[string]float64, len(peers))
	for _, peer := range peers {
		ranks[peer.Name] = p.rank(peer)
	}
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b Peer) int { return cmp.Compare(ranks[a.Name], ranks[b.Name]) })
	useful := slices.DeleteFunc(slices.Clone(ordered), func(n Peer) bool { return p.avoided(n.Name) })
	if len(useful) == 0 {
		return ordered[:min(1, len(ordered))]
	}
	return useful
}

func (p *Picker) avoided(name string) bool {
	_, ok := p.avoid[name]
	return ok
}

func (p *Picker) rank(peer Peer) float64 {
	rank := p.rnd.Float64()
	if _, ok := p.proven[peer.Name]; ok {
		rank *= provenWeight
	}
	if peer.DataCentre == p.dataCentre {
		rank *= localWeight
	}
	return rank
}

// Record records whether a peer could help.
func (p *Picker) Record(now time.Time, name string, helped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if helped {
		p.proven[name] = now.Add(provenTime)
		delete(p.avoid, name)
		return
	}
	p.avoid[name] = now.Add(avoidTime)
	delete(p.proven, name)
}
