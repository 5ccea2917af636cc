package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Member is a live node.
type Member struct {
	Name       string
	DataCentre string
	Address    string // IP:port of its peer listener
}

// Peers gives access to the other nodes.
type Peers interface {
	// Members returns the nodes believed to be live, including this one.
	Members() []Member
	// Call calls a net/rpc method at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// NoPeers implements Peers for a single node.
type NoPeers struct{}

// Members returns no nodes.
func (NoPeers) Members() []Member { return nil }

// Call always fails.
func (NoPeers) Call(context.Context, string, string, any, any) error {
	return errors.New("journal: this node has no peers")
}

// call calls a peer. After a failure the peer is not asked as a reader for a
// while, so that a half-open connection delays one request and not every one.
// A call that ends early because its caller gave up is no evidence about the
// peer.
func (j *Journal) call(ctx context.Context, m Member, method string, args, reply any) error {
	cctx, cancel := context.WithTimeout(ctx, j.settings.PeerTimeout)
	defer cancel()
	err := j.peers.Call(cctx, m.Address, method, args, reply)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("journal: %s at %s: %w", method, m.Name, ctx.Err())
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.avoidUntil[m.Name] = time.Now().Add(avoidFor)
	return fmt.Errorf("journal: %s at %s: %w", method, m.Name, err)
}

// decide gets the verdict on a claim from a reader of its partition, or else
// through this node itself. The same claim may reach the log through several
// nodes.
func (j *Journal) decide(ctx context.Context, now time.Time, c ClaimRecord) decision {
	if j.health.claims.refuseUnlessProbe(now, j.settings.Backoff) {
		return decision{err: errLogDown}
	}
	return j.decideWithReaders(ctx, now, c)
}

// recordClaimHealth records whether claims get a verdict in time.
func (j *Journal) recordClaimHealth(now time.Time, err error) {
	if err == nil || errors.Is(err, errUndecided) {
		j.health.record(&j.health.claims, now, err)
	}
}

// decideWithReaders asks the readers in turn. This node claims the key itself
// only if it ranks next or no reader answered. If the readers answer that the
// log is down, this node must not append instead: every node would do so as
// soon as the log is back.
func (j *Journal) decideWithReaders(ctx context.Context, now time.Time, c ClaimRecord) decision {
	n := c.Key.partition(j.settings.Partitions)
	readers, self := j.readers(now, n)
	unanswered := 0
	var last decision
	for _, m := range readers {
		d, answered := j.askReader(ctx, m, n, c)
		if !answered && ctx.Err() != nil {
			return decision{err: errUndecided} // no time is left to ask another reader
		}
		if !answered {
			unanswered++
			continue
		}
		if last = d; d.err == nil || errors.Is(d.err, errUndecided) {
			return d
		}
	}
	if self || unanswered == len(readers) {
		last = j.claimLocally(ctx, now, n, c)
	}
	if last.err != nil && unanswered > 0 {
		last.err = errUndecided // a reader that did not answer may have appended the claim
	}
	return last
}

// askReader asks one reader about a claim and reports whether it answered. It
// repeats the call while the log, or the claim's turn to be appended, takes
// longer than one call.
func (j *Journal) askReader(ctx context.Context, m Member, n int, c ClaimRecord) (d decision, answered bool) {
	req := ClaimRequest{Partition: n, Partitions: j.settings.Partitions, Claim: c, Wait: j.readerTimeout()}
	unsettled := false
	for {
		var resp ClaimResponse
		if j.call(ctx, m, claimMethod, req, &resp) != nil {
			return decision{}, false
		}
		d = decision{verdict: resp.Verdict, holder: resp.Holder, err: resp.Failure.err()}
		unsettled = unsettled || errors.Is(d.err, errUndecided)
		if d.err != nil && unsettled {
			d.err = errUndecided // the claim of an earlier call may still reach the log
		}
		repeat := errors.Is(d.err, errUndecided) || errors.Is(d.err, errQueued)
		if !repeat || ctx.Err() != nil {
			return d, true
		}
	}
}

// readerTimeout is how long a reader may take. It is shorter than the timeout
// of the call, so that a reader that waits for the log is not mistaken for
// one that does not answer.
func (j *Journal) readerTimeout() time.Duration { return j.settings.PeerTimeout * 3 / 4 }

// claimLocally makes this node append a claim and read it back.
func (j *Journal) claimLocally(ctx context.Context, now time.Time, n int, c ClaimRecord) decision {
	p, err := j.partition(now, n)
	if err != nil {
		return decision{err: err}
	}
	return p.claim(ctx, now, c)
}

// appendOutcomes appends outcomes through a reader, or else through this node
// itself.
func (j *Journal) appendOutcomes(ctx context.Context, now time.Time, n int, outcomes []OutcomeRecord) error {
	readers, self := j.readers(now, n)
	unanswered := 0
	err := errLogDown
	for _, m := range readers {
		req := RecordRequest{Partition: n, Partitions: j.settings.Partitions, Outcomes: outcomes}
		var resp RecordResponse
		if j.call(ctx, m, recordMethod, req, &resp) != nil {
			unanswered++
			continue
		}
		if err = resp.Failure.err(); err == nil {
			return nil
		}
	}
	if !self && unanswered < len(readers) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, j.settings.ClaimTimeout)
	defer cancel()
	return j.appendOutcomesLocally(ctx, now, n, outcomes)
}

func (j *Journal) appendOutcomesLocally(ctx context.Context, now time.Time, n int, outcomes []OutcomeRecord) error {
	p, err := j.partition(now, n)
	if err != nil {
		return err
	}
	return p.appendOutcomes(ctx, now, outcomes)
}

// partition returns partition n, and opens it if necessary.
func (j *Journal) partition(now time.Time, n int) (*partition, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return nil, errClosed
	}
	p := j.partitions[n]
	if p == nil {
		stream := fmt.Sprintf("%s-%d", j.settings.Stream, n)
		p = newPartition(j.settings, stream, j.log, j.health, now)
		j.partitions[n] = p
	}
	return p, nil
}

// updateAssignment assigns the partitions to the present members.
func (j *Journal) updateAssignment() {
	a := assignReaders(j.peers.Members(), j.settings.DataCentre, j.settings.Partitions)
	j.assignment.Store(&a)
}

// maintainPartitions updates the assignment of partitions and closes those
// that were not used for IdleAfter.
func (j *Journal) maintainPartitions(now time.Time) {
	j.updateAssignment()
	var idle []*partition
	j.mu.Lock()
	for n, p := range j.partitions {
		if now.Sub(time.Unix(0, p.lastUsed.Load())) > j.settings.IdleAfter {
			idle = append(idle, p)
			delete(j.partitions, n)
		}
	}
	j.mu.Unlock()
	for _, p := range idle {
		p.close()
	}
}
