package member

import (
	"context"
	"time"
)

// Network is the interface to the calls between nodes that a Prober uses.
type Network interface {
	// Exchange sends a heartbeat and returns the answer.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
	// Indirect asks helpers to probe address and returns the record that the
	// member there gave of itself.
	Indirect(ctx context.Context, helpers []Target, address string) (Record, error)
	// Sync exchanges whole tables.
	Sync(ctx context.Context, address string, s Snapshot) (Snapshot, error)
}

// Prober sends the heartbeats of one node over a network.
type Prober struct {
	table   *Table
	network Network
	clock   func() time.Time
}

// NewProber returns a Prober. clock returns the current time when an answer
// arrives.
func NewProber(t *Table, n Network, clock func() time.Time) *Prober {
	return &Prober{table: t, network: n, clock: clock}
}

// RunRound sends one heartbeat and, if that fails, another: the failed one has
// just produced an update that would otherwise wait for the next round. It
// returns false if there was no target or no answer.
func (p *Prober) RunRound(ctx context.Context) bool {
	if p.sendHeartbeat(ctx) {
		return true
	}
	return p.sendHeartbeat(ctx)
}

// sendHeartbeat sends one heartbeat. If the peer does not answer, a few other
// members are asked to probe it, since the fault may affect only the
// connection between the two nodes. The peer is suspected only if they get no
// answer either.
func (p *Prober) sendHeartbeat(ctx context.Context) bool {
	now := p.clock()
	target, ok := p.table.NextTarget(now)
	if !ok {
		return false
	}
	a := probeAttempt{target: target, sentAt: now}
	answer, err := p.network.Exchange(ctx, target.Address, p.table.MessageTo(now, target))
	if err != nil {
		p.table.recordDirectFailure(a)
		p.probeIndirectly(ctx, a)
		return false
	}
	now = p.clock()
	if p.table.handleAnswer(now, a, answer) {
		p.sync(ctx, target)
	}
	if target.Name != "" && answer.From.Name != target.Name {
		// Another node uses the address now; the intended member is gone.
		p.table.recordNoAnswer(now, a)
	}
	return true
}

func (p *Prober) probeIndirectly(ctx context.Context, a probeAttempt) {
	if a.target.Name != "" {
		helpers := p.table.helpers(a.target.Name)
		record, err := p.network.Indirect(ctx, helpers, a.target.Address)
		if err == nil && record.Name == a.target.Name {
			p.table.recordIndirectAnswer(p.clock(), a, record)
			return
		}
	}
	p.table.recordNoAnswer(p.clock(), a)
}

func (p *Prober) sync(ctx context.Context, target Target) {
	s, err := p.network.Sync(ctx, target.Address, p.table.Snapshot(p.clock()))
	if err == nil {
		p.table.MergeSnapshot(p.clock(), s)
	}
}
