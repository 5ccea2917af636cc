package journal

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
)

const (
	// readLimit is how many records one read asks for.
	readLimit = 256
	// readWait is how long a read waits for the next record.
	readWait = time.Second
	// maxBatch bounds the claims, and the outcomes, of one record.
	maxBatch = 512
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// freshKeys is how old the keys are that a partition serves as soon as it
	// is opened. Older ones wait until the rest of the horizon is read back.
	freshKeys = 15 * time.Second
	// expireEvery is how often keys past the horizon are looked for.
	expireEvery = 10 * time.Second
)

var (
	// errDown means that the log fails and that nothing was appended.
	errDown = errors.New("journal: the log is down")
	// errFull means that too many claims wait for the log already.
	errFull = errors.New("journal: too many claims wait for the log")
	// errUndecided means that the claim may be in the log, now or later.
	errUndecided = errors.New("journal: the claim was not read back in time")
	// errNotCovered means that the key is older than what was read back.
	errNotCovered = errors.New("journal: the key is older than what was read back so far")
	// errClosed means that the partition is no longer read here.
	errClosed = errors.New("journal: partition closed")
)

// decision is the answer to one claim.
type decision struct {
	verdict Verdict
	holder  Holder
	err     error
}

// outcomeGroup is a set of outcomes with the channel that hears about them.
type outcomeGroup struct {
	records []OutcomeRecord
	done    chan error
}

// partition appends to one stream and reads it. Its mutex is never held
// while the log or a peer is called.
type partition struct {
	settings Settings
	stream   string
	log      platform.Log
	logger   *zap.Logger
	health   *health
	work     chan struct{} // holds one token when something is to be appended
	ready    chan struct{} // closed once the state serves fresh keys
	cancel   context.CancelFunc
	stopped  chan struct{} // closed when nothing runs any more
	wg       sync.WaitGroup
	expired  time.Time    // used by the reading goroutine alone
	used     atomic.Int64 // when somebody last asked, in nanoseconds since 1970

	mu         sync.Mutex
	share      *share // its limiter is used without the mutex
	state      *State
	openFailed chan struct{} // closed and replaced when the state could not be opened
	filled     chan struct{} // closed once the state serves all keys, or is given up
	pending    []ClaimRecord
	outcomes   []outcomeGroup
	waiters    map[ClaimID]chan decision
}

// newPartition starts to read and append; close stops it.
func newPartition(s Settings, stream string, log platform.Log, h *health, now time.Time) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		settings:   s,
		stream:     stream,
		log:        log,
		logger:     h.logger,
		health:     h,
		share:      newShare(s),
		work:       make(chan struct{}, 1),
		ready:      make(chan struct{}),
		cancel:     cancel,
		stopped:    make(chan struct{}),
		waiters:    map[ClaimID]chan decision{},
		openFailed: make(chan struct{}),
	}
	p.used.Store(now.UnixNano())
	p.wg.Go(func() { p.read(ctx) })
	p.wg.Go(func() { p.write(ctx) })
	return p
}

func (p *partition) close() {
	p.cancel()
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.waiters {
		w <- decision{err: errUndecided}
		delete(p.waiters, id)
	}
	for _, g := range p.outcomes {
		g.done <- errClosed
	}
	p.outcomes = nil
	close(p.stopped)
}

// claim appends c unless its key is taken already, and waits until it has
// been read back.
func (p *partition) claim(ctx context.Context, now time.Time, c ClaimRecord) decision {
	p.used.Store(now.UnixNano())
	if err := p.opened(ctx, now); err != nil {
		return decision{err: err}
	}
	if err := p.coverage(ctx, c.KeyTime); err != nil {
		return decision{err: err}
	}
	w, d := p.enqueue(now, c)
	if w == nil {
		return d
	}
	select {
	case d = <-w:
		return d
	case <-ctx.Done():
		return p.giveUp(c.ID, w)
	}
}

// opened waits until the state serves fresh keys, but not for a log that is down.
func (p *partition) opened(ctx context.Context, now time.Time) error {
	select {
	case <-p.ready:
		return nil
	default:
	}
	if p.health.down(now) {
		return errDown
	}
	p.mu.Lock()
	failed := p.openFailed
	p.mu.Unlock()
	select {
	case <-p.ready:
		return nil
	case <-failed:
		return errDown
	case <-ctx.Done():
		return errDown
	case <-p.stopped:
		return errClosed
	}
}

// enqueue gives the channel that the decision will come by, or the decision.
func (p *partition) enqueue(now time.Time, c ClaimRecord) (chan decision, decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, h := p.state.Look(c); v != Undecided {
		return nil, decision{verdict: v, holder: h}
	}
	if p.health.down(now) {
		return nil, decision{err: errDown}
	}
	if len(p.pending) >= p.settings.MaxPending || len(p.waiters) >= p.settings.MaxPending {
		return nil, decision{err: errFull}
	}
	w := make(chan decision, 1)
	p.waiters[c.ID] = w
	p.pending = append(p.pending, c)
	p.signal()
	return w, decision{}
}

func (p *partition) giveUp(id ClaimID, w chan decision) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w: // decided meanwhile
		return d
	default:
	}
	delete(p.waiters, id)
	for i, c := range p.pending {
		if c.ID == id {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return decision{err: errDown}
		}
	}
	return decision{err: errUndecided}
}

// record appends outcomes and waits until the log has taken them.
func (p *partition) record(ctx context.Context, now time.Time, records []OutcomeRecord) error {
	p.used.Store(now.UnixNano())
	g := outcomeGroup{records: records, done: make(chan error, 1)}
	p.mu.Lock()
	p.outcomes = append(p.outcomes, g)
	p.signal()
	p.mu.Unlock()
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		p.withdraw(g)
		return ctx.Err()
	case <-p.stopped:
		return errClosed
	}
}

// withdraw takes a group out of the queue, whose sender will come again.
func (p *partition) withdraw(g outcomeGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcomeGroup) bool { return o.done == g.done })
}

func (p *partition) signal() {
	select {
	case p.work <- struct{}{}:
	default:
	}
}

// write appends what has gathered, as often as the budget allows.
func (p *partition) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.work:
		}
		if err := p.share.limiter.Wait(ctx); err != nil {
			return
		}
		p.flush(ctx)
	}
}

// flush appends one batch.
func (p *partition) flush(ctx context.Context) {
	b, groups := p.take(time.Now())
	if len(b.Claims)+len(b.Outcomes) == 0 {
		return
	}
	body, err := b.encode()
	if err == nil {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = p.log.Append(actx, p.stream, body)
		cancel()
	}
	for _, g := range groups {
		g.done <- err
	}
	p.health.note(&p.health.appends, time.Now(), err)
	if err == nil {
		return
	}
	if errors.Is(err, platform.ErrUnavailable) {
		p.refuse(b.Claims)
		return
	}
	// The answer was lost. The claims may be in the log, and are appended
	// once more if they are not read back soon: the fold knows a copy by its
	// id, so that a claim can't lose against itself.
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.Backoff):
	}
	p.requeue(b.Claims)
}

// take gives the next batch.
func (p *partition) take(now time.Time) (Batch, []outcomeGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := Batch{Stamp: millis(now), Appender: p.settings.writer()}
	if p.state != nil {
		b.Seen = p.state.next - 1
	}
	n := min(len(p.pending), maxBatch)
	b.Claims = append(b.Claims, p.pending[:n]...)
	p.pending = append(p.pending[:0], p.pending[n:]...)
	var groups []outcomeGroup
	for len(p.outcomes) > 0 && len(b.Outcomes) < maxBatch {
		b.Outcomes = append(b.Outcomes, p.outcomes[0].records...)
		groups = append(groups, p.outcomes[0])
		p.outcomes = p.outcomes[1:]
	}
	if len(p.pending)+len(p.outcomes) > 0 {
		p.signal()
	}
	return b, groups
}

// refuse answers claims of which the log has taken nothing.
func (p *partition) refuse(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range claims {
		p.decide(c.ID, decision{err: errDown})
	}
}

// requeue puts the claims that somebody still waits for in front again.
func (p *partition) requeue(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var again []ClaimRecord
	for _, c := range claims {
		if p.waiters[c.ID] != nil {
			again = append(again, c)
		}
	}
	p.pending = append(again, p.pending...)
	if len(again) > 0 {
		p.signal()
	}
}

// decide answers one waiting claim. The caller holds the mutex.
func (p *partition) decide(id ClaimID, d decision) {
	if w := p.waiters[id]; w != nil {
		w <- d
		delete(p.waiters, id)
	}
}

// read opens the state and then follows the stream. Where the log has
// trimmed what comes next, since this node was paused, it opens it anew.
func (p *partition) read(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.open(ctx)
		for err == nil {
			err = p.follow(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
	}
}

// follow reads one page. It gives an error only if the state has a gap.
func (p *partition) follow(ctx context.Context) error {
	p.mu.Lock()
	from := p.state.next
	p.mu.Unlock()
	page, err := p.log.Read(ctx, p.stream, from, readLimit, readWait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	p.health.note(&p.health.reads, now, err)
	if errors.Is(err, platform.ErrTrimmed) {
		return err
	}
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
		return nil
	}
	p.apply(now, page)
	p.expire(now)
	return nil
}

// expire forgets keys past the horizon, now and then.
func (p *partition) expire(now time.Time) {
	if now.Sub(p.expired) < expireEvery {
		return
	}
	p.expired = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(millis(now))
}

func (p *partition) apply(now time.Time, page platform.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.share.adapt(now)
	for _, r := range page.Records {
		b, err := p.state.Apply(r)
		if err != nil {
			event.Warn(p.logger, event.JournalRecordUnread, zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
			continue
		}
		p.share.note(now, b.Appender)
		for _, c := range b.Claims {
			if v, h := p.state.Look(c); v != Undecided {
				p.decide(c.ID, decision{verdict: v, holder: h})
			}
		}
	}
}
