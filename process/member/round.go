package member

import (
	"context"
	"time"
)

// Network is what a Prober needs of the calls between nodes.
type Network interface {
	// Exchange sends a heartbeat and gives the answer.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
	// Indirect has one of the helpers probe address; it gives what the member
	// there said of itself.
	Indirect(ctx context.Context, helpers []Target, address string) (Record, error)
	// Sync exchanges whole tables.
	Sync(ctx context.Context, address string, s Snapshot) (Snapshot, error)
}

// Prober runs the heartbeats of one node over a network.
type Prober struct {
	table   *Table
	network Network
	clock   func() time.Time
}

// NewProber gives a prober; clock says the present time when an answer comes.
func NewProber(t *Table, n Network, clock func() time.Time) *Prober {
	return &Prober{table: t, network: n, clock: clock}
}

// Round sends one heartbeat, and after a failure another: the first has just
// made news that would else wait for the next round. It gives false if there
// was nobody to send to or no answer came.
func (p *Prober) Round(ctx context.Context) bool {
	if p.beat(ctx) {
		return true
	}
	return p.beat(ctx)
}

// beat sends one heartbeat. If the peer does not answer, a few others are
// asked to probe it, since the fault may lie between the two nodes alone;
// only if these get no answer either is it suspected.
func (p *Prober) beat(ctx context.Context) bool {
	now := p.clock()
	target, ok := p.table.NextTarget(now)
	if !ok {
		return false
	}
	a := attempt{target: target, began: now}
	answer, err := p.network.Exchange(ctx, target.Address, p.table.MessageTo(now, target))
	if err != nil {
		p.table.directFailed(a)
		p.askOthers(ctx, a)
		return false
	}
	now = p.clock()
	if p.table.answered(now, a, answer) {
		p.sync(ctx, target)
	}
	if target.Name != "" && answer.From.Name != target.Name {
		// Another node has the address by now; the one that was meant is gone.
		p.table.unanswered(now, a)
	}
	return true
}

func (p *Prober) askOthers(ctx context.Context, a attempt) {
	if a.target.Name != "" {
		helpers := p.table.helpers(a.target.Name)
		record, err := p.network.Indirect(ctx, helpers, a.target.Address)
		if err == nil && record.Name == a.target.Name {
			p.table.reachedByOthers(p.clock(), a, record)
			return
		}
	}
	p.table.unanswered(p.clock(), a)
}

func (p *Prober) sync(ctx context.Context, target Target) {
	s, err := p.network.Sync(ctx, target.Address, p.table.Snapshot(p.clock()))
	if err == nil {
		p.table.Merge(p.clock(), s)
	}
}
