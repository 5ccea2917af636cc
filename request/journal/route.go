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

// Peers is what the journal needs of the other nodes.
type Peers interface {
	// Members gives the nodes thought to be live, this one among them.
	Members() []Member
	// Call calls a method of net/rpc at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Alone are the Peers of a single node.
type Alone struct{}

// Members gives none.
func (Alone) Members() []Member { return nil }

// Call always fails.
func (Alone) Call(context.Context, string, string, any, any) error {
	return errors.New("journal: no peers")
}

// call calls a peer, and avoids it as a reader for a while if it fails, so
// that a half-open connection costs one request its time and not each. A call
// that ends early since its caller gave up says nothing about the peer.
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
	j.avoid[m.Name] = time.Now().Add(avoidFor)
	return fmt.Errorf("journal: %s at %s: %w", method, m.Name, err)
}

// decide gets the verdict on a claim: from a reader of its partition, else
// by this node itself. The same claim may reach the log by several ways.
func (j *Journal) decide(ctx context.Context, now time.Time, c ClaimRecord) decision {
	if j.health.claims.refuse(now, j.settings.Backoff) {
		return decision{err: errDown}
	}
	return j.decideAnywhere(ctx, now, c)
}

// noteClaim remembers whether claims get a verdict in time.
func (j *Journal) noteClaim(now time.Time, err error) {
	if err == nil || errors.Is(err, errUndecided) {
		j.health.note(&j.health.claims, now, err)
	}
}

// decideAnywhere asks the readers in turn, and does the work itself only if
// none answered. Where the readers answer that the log is down, this node
// must not append instead: every node would, as soon as the log is back.
func (j *Journal) decideAnywhere(ctx context.Context, now time.Time, c ClaimRecord) decision {
	n := c.Key.partition(j.settings.Partitions)
	readers, self := j.readers(now, n)
	silent := 0
	var last decision
	for _, m := range readers {
		d, answered := j.askReader(ctx, m, n, c)
		if !answered && ctx.Err() != nil {
			return decision{err: errUndecided} // no time is left to find out
		}
		if !answered {
			silent++
			continue
		}
		if last = d; d.err == nil || errors.Is(d.err, errUndecided) {
			return d
		}
	}
	if self || silent == len(readers) {
		last = j.claimHere(ctx, now, n, c)
	}
	if last.err != nil && silent > 0 {
		last.err = errUndecided // a reader that did not answer may have appended it
	}
	return last
}

// askReader asks one reader about a claim, again if the log or the claim's
// turn to be appended is too slow for one call, and says whether it answered.
func (j *Journal) askReader(ctx context.Context, m Member, n int, c ClaimRecord) (d decision, answered bool) {
	req := ClaimRequest{Partition: n, Partitions: j.settings.Partitions, Claim: c, Wait: j.readerWait()}
	unsettled := false
	for {
		var resp ClaimResponse
		if j.call(ctx, m, claimMethod, req, &resp) != nil {
			return decision{}, false
		}
		d = decision{verdict: resp.Verdict, holder: resp.Holder, err: resp.Failure.err()}
		unsettled = unsettled || errors.Is(d.err, errUndecided)
		if d.err != nil && unsettled {
			d.err = errUndecided // an earlier call's claim may reach the log
		}
		again := errors.Is(d.err, errUndecided) || errors.Is(d.err, errQueued)
		if !again || ctx.Err() != nil {
			return d, true
		}
	}
}

// readerWait is how long a reader may take. It ends before the call does, so
// that a reader that waits for the log is not taken for a silent one.
func (j *Journal) readerWait() time.Duration { return j.settings.PeerTimeout * 3 / 4 }

// claimHere has this node append a claim and read it back.
func (j *Journal) claimHere(ctx context.Context, now time.Time, n int, c ClaimRecord) decision {
	p, err := j.partition(now, n)
	if err != nil {
		return decision{err: err}
	}
	return p.claim(ctx, now, c)
}

// record has outcomes appended, by a reader or by this node itself.
func (j *Journal) record(ctx context.Context, now time.Time, n int, outcomes []OutcomeRecord) error {
	readers, self := j.readers(now, n)
	silent := 0
	err := errDown
	for _, m := range readers {
		req := RecordRequest{Partition: n, Partitions: j.settings.Partitions, Outcomes: outcomes}
		var resp RecordResponse
		if j.call(ctx, m, recordMethod, req, &resp) != nil {
			silent++
			continue
		}
		if err = resp.Failure.err(); err == nil {
			return nil
		}
	}
	if !self && silent < len(readers) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, j.settings.ClaimTimeout)
	defer cancel()
	return j.recordHere(ctx, now, n, outcomes)
}

func (j *Journal) recordHere(ctx context.Context, now time.Time, n int, outcomes []OutcomeRecord) error {
	p, err := j.partition(now, n)
	if err != nil {
		return err
	}
	return p.record(ctx, now, outcomes)
}

// partition gives the open partition, opening it if need be.
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

// assign divides the partitions among the members of the moment.
func (j *Journal) assign() {
	a := assign(j.peers.Members(), j.settings.DataCentre, j.settings.Partitions)
	j.assigned.Store(&a)
}

// tend divides the partitions anew and closes those that nobody asks for.
func (j *Journal) tend(now time.Time) {
	j.assign()
	var idle []*partition
	j.mu.Lock()
	for n, p := range j.partitions {
		if now.Sub(time.Unix(0, p.used.Load())) > j.settings.IdleAfter {
			idle = append(idle, p)
			delete(j.partitions, n)
		}
	}
	j.mu.Unlock()
	for _, p := range idle {
		p.close()
	}
}
