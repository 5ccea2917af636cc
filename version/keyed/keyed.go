// Package keyed follows a topic of the platform of which the newest record of
// each key counts: it begins with those, reads on from there, and begins again
// when it has fallen behind what the platform still has.
package keyed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/process/clock"
)

var (
	// ErrTrimmed means that the platform no longer has the records asked for.
	ErrTrimmed = errors.New("keyed: records are trimmed")
	// ErrStale means that an answer is older than what was read before.
	ErrStale = errors.New("keyed: answer older than what is known")
)

// Record is one write to a key.
type Record struct {
	Key     string
	Value   []byte
	Dropped bool // the key has no value any more
	Offset  uint64
}

// Topic is the platform's side. Its methods return by the end of ctx.
type Topic interface {
	// Newest gives the newest record of each key, and the offset from which on
	// records may have been missed while the pages were read.
	Newest(ctx context.Context) (records []Record, next uint64, err error)
	// Read gives the records from an offset on, without a gap; none if there
	// are none within wait. End is one past the last record there is.
	Read(ctx context.Context, from uint64, wait time.Duration) (records []Record, end uint64, err error)
}

// Update is what one answer brought.
type Update struct {
	Records []Record
	// Complete says that Records has every key there is: all others are gone.
	Complete bool
	// Otherwise Records are all those from the offset From up to Next.
	From, Next uint64
	// AsOf is a time by the follower's clock: everything accepted before is known
	// now.
	AsOf time.Time
	// Relayed says that a peer has told it, as the platform does not answer.
	Relayed bool
}

// Taker takes in what is read. Its methods are called by one goroutine.
type Taker interface {
	// Take takes in an update. An empty one still confirms.
	Take(now time.Time, u Update)
	// Missed notes that a question got no answer.
	Missed(now time.Time, err error)
}

// Config sets a Follower's pace.
type Config struct {
	Wait   time.Duration // that the platform may hold a question without news
	Pause  time.Duration // between an answer and the next question
	Spread float64       // part of Pause by which it varies, to either side
	// Pace is what Pause is multiplied with; nil: 1.
	Pace  func() float64
	Retry time.Duration // after a question without an answer
	// Spare says that other nodes ask and tell this one: it asks again after Pause then,
	// not Retry. nil: never.
	Spare func() bool
	// Hurry says that the next answer is waited for; the pause is Soon then. nil:
	// never.
	Hurry   func() bool
	Soon    time.Duration
	Timeout time.Duration // of a question, beside Wait
	Clock   func() time.Time
	// Peers are asked while the platform does not answer, and in place of it while
	// they say so, RelyPause after each answer. nil: there are none. With a proof
	// older than RelyMost, the platform is asked all the same: those that this node
	// relies on may be cut off from it.
	Peers     Peers
	RelyPause time.Duration
	RelyMost  time.Duration
}

// Follower reads one topic until Close.
type Follower struct {
	cfg    Config
	topic  Topic
	taker  Taker
	missed bool // the last question got no answer; of the reading goroutine

	mu    sync.Mutex // guards all below
	begun bool       // the newest records are known
	next  uint64     // offset to read from
	fresh time.Time  // when everything was known last
	// proof is the latest AsOf, and newest the newest record of each key, for peers;
	// nil if there are none.
	proof  time.Time
	newest map[string]Record

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts reading.
func New(cfg Config, topic Topic, taker Taker) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, topic: topic, taker: taker, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Told notes that another reader of the topic has just got all records from one
// offset up to another, and that what they say has been taken in here. If this
// node knew everything before them, its next question waits as after an answer
// of its own: a fleet asks about as often as one node does. A node that is not
// told, or was not told of something before, asks by itself.
func (f *Follower) Told(from, next uint64) {
	if f.cfg.hurries() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.begun || f.next < from || next < f.next {
		return
	}
	f.next = next
	f.fresh = f.cfg.Clock()
}

// Close stops the reading.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx, f.cfg.Clock())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.taker.Missed(f.cfg.Clock(), errors.Join(err, f.askPeers(ctx, true)))
			clock.Sleep(ctx, f.cfg.retry())
			continue
		}
		f.rest(ctx)
	}
}

// rest waits until the next question is due.
func (f *Follower) rest(ctx context.Context) {
	pause := f.cfg.pause()
	for ctx.Err() == nil {
		left := pause - f.cfg.Clock().Sub(f.lastFresh())
		if left <= 0 {
			return
		}
		clock.Sleep(ctx, left)
	}
}

func (f *Follower) lastFresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// pause varies, so that the nodes of a fleet that were started together do not
// ask together for good.
func (c Config) pause() time.Duration {
	if c.hurries() {
		return c.Soon
	}
	if c.relies() {
		return c.RelyPause
	}
	pace := 1.0
	if c.Pace != nil {
		pace = c.Pace()
	}
	return time.Duration(float64(c.Pause) * pace * (1 + c.Spread*(2*rand.Float64()-1)))
}

// retry is the pause after a question without an answer.
func (c Config) retry() time.Duration {
	if c.Spare != nil && c.Spare() {
		return max(c.Retry, c.Pause)
	}
	return c.Retry
}

func (c Config) hurries() bool { return c.Hurry != nil && c.Hurry() }

// step asks once.
func (f *Follower) step(ctx context.Context, begun time.Time) error {
	if f.cfg.relies() {
		if f.askPeers(ctx, false) == nil || f.young(begun) {
			return nil
		}
		f.missed = true // the own question is not held, as after a miss
	}
	ask := f.read
	if _, known := f.position(); !known {
		ask = f.begin
	}
	err := ask(ctx, begun)
	f.missed = err != nil
	return err
}

// position is the offset to read from, if the newest records are known.
func (f *Follower) position() (next uint64, begun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.begun
}

// reached notes that everything up to an offset is known, if it was not.
func (f *Follower) reached(next uint64, now time.Time, u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = true
	f.next = max(f.next, next)
	f.fresh = now
	f.keep(u)
}

// read asks for what has been written since the last answer.
func (f *Follower) read(ctx context.Context, begun time.Time) error {
	from, _ := f.position()
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Timeout)
	defer cancel()
	records, end, err := f.topic.Read(ctx, from, wait)
	if errors.Is(err, ErrTrimmed) {
		f.beginAgain()
		return nil
	}
	if err != nil {
		return fmt.Errorf("read from %d: %w", from, err)
	}
	if end < from {
		return fmt.Errorf("read from %d: end %d: %w", from, end, ErrStale)
	}
	now := f.cfg.Clock()
	next := from + uint64(len(records))
	u := Update{Records: records, From: from, Next: next, AsOf: asOf(now, begun, wait, len(records) > 0)}
	f.taker.Take(now, u)
	f.reached(next, now, u)
	return nil
}

// beginAgain has the next question ask for the newest records.
func (f *Follower) beginAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = false
}

// wait is for how long the next question may be held. The first one after a
// question without an answer is not: while the platform is away it ends sooner,
// and when the platform is back its answer proves at once that nothing is
// missed, where a held one would leave that open for as long as it is held.
// Callers with keys were refused for 2 s longer without it.
func (f *Follower) wait() time.Duration {
	if f.missed {
		return 0
	}
	return f.cfg.Wait
}

// heldPart is the part of a wait that a held question is sure to have been held.
const heldPart = 1 - paceMargin

// asOf is the time up to which an answer proves that everything is known. One
// without records was held for wait, as any record would have ended that, and
// proves it up to then; any other one up to its question.
func asOf(now, begun time.Time, wait time.Duration, records bool) time.Time {
	held := time.Duration(heldPart * float64(wait))
	if records || now.Sub(begun) < held {
		return begun
	}
	return begun.Add(held)
}

// begin reads the newest records. The pages they come in are no snapshot, so
// that the records written meanwhile are read after them: next is that of the
// first page. An answer from before what is known already would bring back
// what has been replaced, and is not taken.
func (f *Follower) begin(ctx context.Context, begun time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	records, next, err := f.topic.Newest(ctx)
	if err != nil {
		return fmt.Errorf("read the newest: %w", err)
	}
	if known, _ := f.position(); next < known {
		return fmt.Errorf("read the newest: end %d, known up to %d: %w", next, known, ErrStale)
	}
	now := f.cfg.Clock()
	u := Update{Records: records, Complete: true, AsOf: begun}
	f.taker.Take(now, u)
	f.reached(next, now, u)
	return nil
}
