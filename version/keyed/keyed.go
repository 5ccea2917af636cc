// Package keyed follows a topic of the platform in which only the newest record of
// each key counts. A follower begins with these newest records, reads on from there,
// and begins again when it has fallen behind the records that the platform still
// keeps.
package keyed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
)

var (
	// ErrTrimmed means that the platform no longer has the records asked for.
	ErrTrimmed = errors.New("keyed: records are trimmed")
	// ErrEraOver means that the platform has returned from an older copy, so that a position names
	// no place in its topics any more.
	ErrEraOver = errors.New("keyed: the platform has returned from an older copy")
	// ErrStale means that an answer is older than what is known already.
	ErrStale = errors.New("keyed: answer older than what is known")
	// errAwaitingPeers means that no peer has the newest records yet, and the platform is not asked.
	errAwaitingPeers = errors.New("keyed: no peer has the newest records yet")
)

// Record is one write to a key.
type Record struct {
	Key     string
	Value   []byte
	Dropped bool // the key has no value any more
	// Position is where the record lies in the topic.
	Position Position
	// Decoded is what the record says, from a peer that has read it and passes no Value on; nil: the
	// record is from the platform, or from a peer that passes on what it has read.
	Decoded any
}

// Topic is the platform's interface to one topic. Its methods return by the end of
// ctx. A read returns as many records as the platform gives at once.
type Topic interface {
	// Newest returns the newest record of each key, and the position from which on
	// records may have been missed while the pages were read. Each page is bounded by
	// pageTimeout. All pages are of one era.
	Newest(ctx context.Context, pageTimeout time.Duration) (records []Record, next Position, err error)
	// Read returns the records from a position on without a gap; none if none arrives
	// within wait. end is the position after the last record of the topic. The error is
	// ErrEraOver if the era of from is over.
	Read(ctx context.Context, from Position, wait time.Duration) (records []Record, end Position, err error)
}

// Update holds the result of one answer.
type Update struct {
	Records []Record
	// Complete means that Records holds the newest record of every key: all other
	// keys have no value.
	Complete bool
	// Next is the position up to which, but not including it, the update goes. If Complete is not
	// set, Records holds all records from From up to there.
	From, Next Position
	// AsOf is a time on the follower's clock: everything accepted before it is known
	// now. Zero: the answer proves nothing, as it does not reach the end of the topic.
	AsOf time.Time
	// FromPeer means that a peer gave the answer; Relayed, that it did because the
	// platform did not.
	FromPeer, Relayed bool
}

// Consumer receives what is read. Its methods are called by one goroutine.
type Consumer interface {
	// Consume applies an update. An update without records still confirms that
	// everything accepted before AsOf is known.
	Consume(now time.Time, u Update)
	// ReadFailed records that a question got no answer.
	ReadFailed(now time.Time, err error)
}

// Config holds a Follower's settings.
type Config struct {
	HoldTime time.Duration // how long the platform may hold a read that has nothing new to return
	Pause    time.Duration // between an answer and the next question
	Spread   float64       // part of Pause by which the pause varies randomly, to either side
	// PauseFactor returns the factor by which Pause is multiplied; nil: 1.
	PauseFactor func() float64
	Retry       time.Duration // pause after a question without an answer
	// OthersRead reports whether other nodes read the topic and report their reads to
	// this one. A question without an answer is then repeated after Pause if that is
	// longer than Retry. nil: never.
	OthersRead func() bool
	// AnswerAwaited reports whether something waits for the next answer; the pause is
	// then AwaitedPause, and the platform doesn't hold the question. nil: never.
	AnswerAwaited func() bool
	AwaitedPause  time.Duration
	Timeout       time.Duration // bounds a question, or each page of its answer, in addition to HoldTime
	Clock         func() time.Time
	// Peers are asked while the platform does not answer, and instead of the platform
	// while they are preferred, PeerPause after each answer; nil: there are none. If
	// the proof that they give is older than MaxPeerProofAge the platform is asked
	// all the same, as the preferred peers may themselves be cut off from it.
	Peers           Peers
	PeerPause       time.Duration
	MaxPeerProofAge time.Duration
	// AnswersPeers means that this follower keeps the newest record of each key for AnswerPeer.
	AnswersPeers bool
	// Started is closed when the first question may be asked; nil: at once.
	Started <-chan struct{}
	// PeerPatience is how long from then on only the preferred peers are asked for the newest records,
	// as the platform gives them to many nodes at once more slowly than to a few that pass them on. It is
	// a third of that if no peer answers.
	PeerPatience time.Duration
	Log          *zap.Logger // nil: nothing is logged
	Name         string      // of the topic, for the log
}

// Follower reads one topic until Close.
type Follower struct {
	cfg        Config
	topic      Topic
	consumer   Consumer
	lastFailed bool // the last question got no answer; used by the reading goroutine only
	behind     bool // the next question is due at once; the same
	refused    bool // the last answer was refused as older than what is known; the same

	mu        sync.Mutex // guards the fields below
	hasNewest bool       // the newest record of each key is known
	next      Position   // to read from
	knownAt   time.Time  // when everything was last known; the pause to the next question counts from it
	// proof is the latest AsOf, and newest the newest record of each key, which is
	// kept for peers.
	proof        time.Time
	newest       map[string]Record
	askedFirstAt time.Time // when the preferred peers were first asked; zero: never

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a follower.
func New(cfg Config, topic Topic, consumer Consumer) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, topic: topic, consumer: consumer, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// RecordPeerRead records that another reader of the topic has just got all records
// from one position up to another, and that this node has applied them. If this node
// knew everything before them, its next question waits as after an answer of its own,
// so that a fleet asks about as often as one node does. A node that no such read is
// reported to, or that missed an earlier one, asks by itself.
func (f *Follower) RecordPeerRead(from, next Position) {
	if f.cfg.awaitsAnswer() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasNewest || f.next < from || next < f.next {
		return
	}
	f.next = next
	f.knownAt = f.cfg.Clock()
}

// Close stops the follower and waits for its goroutine.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

func (f *Follower) run(ctx context.Context) {
	if f.cfg.Started != nil {
		select {
		case <-f.cfg.Started:
		case <-ctx.Done():
			return
		}
	}
	for ctx.Err() == nil {
		err := f.askOnce(ctx, f.cfg.Clock())
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errAwaitingPeers) {
			clock.Sleep(ctx, f.cfg.Retry)
			continue
		}
		if err != nil {
			f.consumer.ReadFailed(f.cfg.Clock(), errors.Join(err, f.askPeers(ctx, true)))
			clock.Sleep(ctx, f.cfg.retryPause())
			continue
		}
		f.waitUntilDue(ctx)
	}
}

// waitUntilDue waits until the next question is due. It is due at once while the platform has more
// records than it gives with one answer, as the follower would fall behind further with each pause, and
// once after it was found that the newest records have to be read again.
func (f *Follower) waitUntilDue(ctx context.Context) {
	if f.behind {
		return
	}
	pause := f.cfg.pause()
	for ctx.Err() == nil {
		left := pause - f.cfg.Clock().Sub(f.lastKnownAt())
		if left <= 0 {
			return
		}
		clock.Sleep(ctx, left)
	}
}

func (f *Follower) lastKnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownAt
}

// pause returns the time until the next question. It varies randomly, so that the
// nodes of a fleet that were started together do not go on asking at the same time.
func (c Config) pause() time.Duration {
	if c.awaitsAnswer() {
		return c.AwaitedPause
	}
	if c.prefersPeers() {
		return c.PeerPause
	}
	pace := 1.0
	if c.PauseFactor != nil {
		pace = c.PauseFactor()
	}
	return time.Duration(float64(c.Pause) * pace * (1 + c.Spread*(2*rand.Float64()-1)))
}

// retryPause returns the pause after a question without an answer.
func (c Config) retryPause() time.Duration {
	if c.OthersRead != nil && c.OthersRead() {
		return max(c.Retry, c.Pause)
	}
	return c.Retry
}

func (c Config) awaitsAnswer() bool { return c.AnswerAwaited != nil && c.AnswerAwaited() }

// askOnce asks the platform or the peers one question.
func (f *Follower) askOnce(ctx context.Context, askedAt time.Time) error {
	f.behind = false
	if f.cfg.prefersPeers() {
		err := f.askPeers(ctx, false)
		if err == nil || f.provenRecently(askedAt) {
			return nil
		}
		if f.waitsForPeers(askedAt, errors.Is(err, ErrTopicUnknown)) {
			return errors.Join(errAwaitingPeers, err)
		}
		f.lastFailed = true // a question to the platform is not held then, as after a failure
	}
	ask := f.readNext
	if _, known := f.position(); !known {
		ask = f.readNewest
	}
	err := ask(ctx, askedAt)
	f.lastFailed = err != nil
	f.logRefusal(err)
	return err
}

// logRefusal logs the first of several answers that are refused as older than what is known.
func (f *Follower) logRefusal(err error) {
	refused := errors.Is(err, ErrStale)
	if refused && !f.refused {
		event.Info(f.logger(), event.TopicAnswerRefused, zap.Error(err))
	}
	f.refused = refused
}

// logger returns a logger with the topic and the position up to which it was read.
func (f *Follower) logger() *zap.Logger {
	if f.cfg.Log == nil {
		return zap.NewNop()
	}
	next, _ := f.position()
	return f.cfg.Log.With(zap.String("Topic", f.cfg.Name), zap.Stringer("Position", next))
}

// waitsForPeers reports whether the newest records of all keys are still left to the peers. answered
// means that one has answered that it does not know them yet.
func (f *Follower) waitsForPeers(now time.Time, answered bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.askedFirstAt.IsZero() {
		f.askedFirstAt = now
	}
	patience := f.cfg.PeerPatience
	if !answered {
		patience /= 3
	}
	return !f.hasNewest && now.Sub(f.askedFirstAt) < patience
}

// Position returns the position up to which everything is known and the time up to which that is
// everything; false if the newest record of each key is not known.
func (f *Follower) Position() (next Position, proof time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.proof, f.hasNewest
}

// position returns the position to read from, and whether the newest record of each key
// is known.
func (f *Follower) position() (next Position, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.hasNewest
}

// recordProgress records that everything before next is known.
func (f *Follower) recordProgress(next Position, now time.Time, u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasNewest = true
	f.next = max(f.next, next)
	f.knownAt = now
	f.storeForPeers(u)
}

// readNext asks for what has been written since the last answer.
func (f *Follower) readNext(ctx context.Context, askedAt time.Time) error {
	from, _ := f.position()
	wait := f.nextHold()
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Timeout)
	defer cancel()
	records, end, err := f.topic.Read(ctx, from, wait)
	if errors.Is(err, ErrTrimmed) || errors.Is(err, ErrEraOver) {
		event.Info(f.logger(), event.TopicRestarted, zap.Error(err))
		f.restart()
		return nil
	}
	if err != nil {
		return fmt.Errorf("read from %s: %w", from, err)
	}
	if end < from {
		return fmt.Errorf("read from %s: end %s: %w", from, end, ErrStale)
	}
	now := f.cfg.Clock()
	next := from + Position(len(records))
	f.behind = len(records) > 0 && next < end
	u := Update{Records: records, From: from, Next: next}
	if next >= end {
		u.AsOf = proofTime(now, askedAt, wait, len(records) > 0)
	}
	f.consumer.Consume(now, u)
	f.recordProgress(next, now, u)
	return nil
}

// restart makes the next question ask for the newest record of each key, at once.
func (f *Follower) restart() {
	f.behind = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasNewest = false
}

// nextHold returns how long the platform may hold the next question. The first
// question after a failed one is not held: it fails sooner while the platform is
// unreachable, and once the platform is back its answer proves at once that nothing
// was missed. A held question would leave that open for as long as it is held, and
// callers with keys would be refused for 2 s longer.
func (f *Follower) nextHold() time.Duration {
	if f.lastFailed || f.cfg.awaitsAnswer() {
		return 0
	}
	return f.cfg.HoldTime
}

// provenHoldPart is the part of the hold time that has surely passed on this node's
// clock when a held question is answered, although the platform's clock may differ in
// rate.
const provenHoldPart = 1 - clockRateMargin

// proofTime returns the time up to which an answer proves that everything is known.
// An answer without records that was held proves it up to the end of the hold, as any
// record would have ended the hold; any other answer proves it up to the question.
func proofTime(now, askedAt time.Time, wait time.Duration, records bool) time.Time {
	held := time.Duration(provenHoldPart * float64(wait))
	if records || now.Sub(askedAt) < held {
		return askedAt
	}
	return askedAt.Add(held)
}

// readNewest reads the newest record of each key. The pages are no snapshot, so that
// the records written meanwhile are read afterwards: next is the position that came
// with the first page. An answer older than what is known already is rejected,
// because it would bring back replaced values.
func (f *Follower) readNewest(ctx context.Context, askedAt time.Time) error {
	records, next, err := f.topic.Newest(ctx, f.cfg.Timeout)
	if err != nil {
		return fmt.Errorf("read the newest: %w", err)
	}
	if known, _ := f.position(); next < known {
		return fmt.Errorf("read the newest: end %s, known up to %s: %w", next, known, ErrStale)
	}
	now := f.cfg.Clock()
	u := Update{Records: records, Complete: true, Next: next, AsOf: askedAt}
	f.consumer.Consume(now, u)
	f.recordProgress(next, now, u)
	event.Info(f.logger(), event.TopicRead, zap.Int("Records", len(records)), zap.Bool("FromPeer", false))
	return nil
}
