// Package upstream is the router's interface to the back ends: model engines
// and the plain services beside them. The router depends on these interfaces
// alone; one HTTP adapter carries them, so that other back ends can be put in
// their place by one package.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a call to an upstream. Each says by itself whether a byte of the
// request can have reached the upstream.
var (
	// ErrNotSent means that no byte left for the upstream: no connection.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrRefused means that the upstream answered that it did not run it.
	ErrRefused = errors.New("upstream: refused before running")
	// ErrBusy is an ErrRefused for want of room.
	ErrBusy = errors.New("upstream: busy")
	// ErrWrongVersion means that the upstream holds other weights than asked.
	ErrWrongVersion = errors.New("upstream: other weights version")
	// ErrBroken means that the call broke after the send began.
	ErrBroken = errors.New("upstream: broken off")
	// ErrEnded is an ErrBroken by the end of the upstream's process: nobody listens
	// at its address any more.
	ErrEnded = errors.New("upstream: its process has ended")
	// ErrOutOfOrder means a gap, a repeat or a foreign event in a stream.
	ErrOutOfOrder = errors.New("upstream: event out of order")
	// ErrUnknownStream means that the engine does not hold that stream.
	ErrUnknownStream = errors.New("upstream: unknown stream")
	// ErrReplaced is an ErrRefused by another upstream that has the address now.
	ErrReplaced = errors.New("upstream: another one has its address")
	// ErrOutOfTurn means that an order was refused: another one is being
	// carried out, or others were accepted since.
	ErrOutOfTurn = errors.New("upstream: order out of turn")
	// ErrStaleFencing means that the engine refused an order with an old fencing number.
	ErrStaleFencing = errors.New("upstream: stale fencing number")
)

// HoldOff is the error of a send by whose answer an upstream says for how long it wants
// nothing from this node.
type HoldOff struct {
	For   time.Duration
	Cause error
}

// Error gives the cause and the time.
func (e *HoldOff) Error() string { return fmt.Sprintf("%v: nothing for %v", e.Cause, e.For) }

// Unwrap gives the cause.
func (e *HoldOff) Unwrap() error { return e.Cause }

// HeldOff is for how long an upstream wants nothing from this node, by the error of a
// send; 0: it does not say.
func HeldOff(err error) time.Duration {
	var h *HoldOff
	if errors.As(err, &h) {
		return h.For
	}
	return 0
}

// Generation asks an engine for an answer.
type Generation struct {
	StreamID  string // chosen by the router, unique for every try
	Model     string
	Version   string // weights version; the engine refuses if it holds another
	Adapter   string
	Salt      string // separates workspaces in the engine's cache
	Prompt    []Part
	Continue  string // text of the answer that was sent already
	MaxTokens int
	Priority  int       // 0 is the most urgent
	Deadline  time.Time // zero: none
	// Passage is the caller's request, passed through as it stands in place of
	// Prompt; nil: the router's own form.
	Passage *Call
	// After is the id of the last event that was passed on of the same answer;
	// the engine begins behind it. Empty: from the start.
	After string
	// FetchFrom is the address of an engine that this one fetches what it lacks
	// of the prompt's cache from, by itself; empty: it computes it.
	FetchFrom string
	// SaveTo is the address of a store that this engine sends the prompt's cache to
	// once it is computed; empty: it doesn't.
	SaveTo string
}

// Part is one message of the prompt.
type Part struct {
	Role    string
	Content string
}

// Head is what an engine says before the first token.
type Head struct {
	StreamID     string
	Incarnation  uint64
	Version      string
	PromptTokens int
	CachedTokens int
	// CacheUnknown says that the engine does not tell what it had cached;
	// CachedTokens is 0 then and means nothing.
	CacheUnknown bool
	// Passage is the head of an answer that is passed through as it stands;
	// nil for the router's own form.
	Passage *Passage
}

// Passage is the head of an answer that is passed through.
type Passage struct {
	Status int
	Header []Field // without those of one connection
	// Unframed says that nothing but the connection's end marks the answer's
	// end. It has to be passed on the same way: a frame made up by the router
	// would give a cut answer the looks of a whole one.
	Unframed bool
}

// Token is one event of a stream. Index counts from 0 without a gap.
type Token struct {
	Index  int
	Text   string
	Finish string // set on the last event alone: "stop", "length" or "end"
	// Event is the id that an answer passed through gives the event.
	Event string
}

// FinishEnd is the Finish of an answer passed through: its frame's end.
const FinishEnd = "end"

// Stream is one answer on its way. It belongs to one goroutine, but for
// Close.
type Stream interface {
	Head() Head
	// Next gives the next token in order; io.EOF only after the token that
	// carried Finish. Any other end is an error.
	Next() (Token, error)
	// Close releases the connection, unfinished or not.
	Close() error
}

// Report is an engine's own account of its state.
type Report struct {
	Incarnation  uint64
	Models       []LoadedModel
	Role         string
	At           time.Time
	Slots        int
	Running      int
	Queued       int
	QueuedTokens int
	Loading      bool
	// Orders counts the orders that it has accepted since it started.
	Orders uint64
}

// LoadedModel is one model with the version of its weights.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// CacheEvents is a page of an engine's event stream.
type CacheEvents struct {
	Incarnation uint64
	Next        uint64 // sequence to ask from the next time
	Events      []CacheEvent
}

// CacheEvent says that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64
	Stored   bool
	Salt     string
	Block    uint64 // hash of the prompt text up to the block's end
	Tokens   int
}

// HeldPart is one part of declared prompts in an engine's cache.
type HeldPart struct {
	Salt   string // under which it is found
	Part   string // its id, as callers declare it
	Tokens int    // of it that are held; 0: none any more
}

// CacheContents is what an engine tells of its cache: all that it holds, or what
// has changed since an earlier telling.
type CacheContents struct {
	Epoch uint64 // of the cache; a restart begins another one, with nothing held
	Next  uint64 // to ask for changes from
	Lost  bool   // some changes before these are not told
	Parts []HeldPart
}

// Order tells an engine to reach an absolute state. It never says "next" or
// "one more", so that a repeated or late order does no other harm than to be
// put right again.
type Order struct {
	Fencing uint64 // offset of the lease under which it is given
	Model   string
	Version string // load this version; empty: leave as it is
	Adapter string
	Role    string    // "serve", "drain"; empty: leave as it is
	Expires time.Time // not to be begun after this
	// Expected is the count of accepted orders that this one follows; nil: any.
	// An engine refuses another count, also when the order reaches it late.
	Expected *uint64
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume goes on with a stream the engine still holds, after the event
	// with index after (-1: from the start).
	Resume(ctx context.Context, streamID string, after int) (Stream, error)
	Cancel(ctx context.Context, streamID string) error
	Report(ctx context.Context) (Report, error)
	Events(ctx context.Context, from uint64) (CacheEvents, error)
	Order(ctx context.Context, o Order) error
	// Export gives the KV cache of a prompt as an opaque value.
	Export(ctx context.Context, g Generation) ([]byte, error)
	Import(ctx context.Context, kv []byte) error
}

// Call is a request to a plain service, or one that is passed through to an
// engine.
type Call struct {
	Method string
	Path   string
	Query  string
	Header []Field
	Body   []byte
	Key    string // idempotency key, passed on; empty: none

	// What follows is of a request that is passed through.
	ID        string // the caller's own for this try; the answer has to bear it
	Host      string
	Target    string // of the request line, as it came; in place of Path and Query
	Workspace string
	Priority  int       // 0 is the most urgent
	Deadline  time.Time // zero: none
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Reply is a plain service's answer, whole.
type Reply struct {
	Status int
	Header []Field
	Body   []byte
	// Unframed is that of Passage.
	Unframed bool
}

// FailedReply is the error for a whole answer by which an upstream says that
// it failed, having begun to run the request. A repeatable one may do better
// elsewhere; if not, the answer is passed on as it stands.
type FailedReply struct {
	Reply Reply
}

// Error gives the status.
func (e *FailedReply) Error() string {
	return fmt.Sprintf("upstream: answered with status %d", e.Reply.Status)
}

// Is matches ErrBroken: the request was sent and may have run.
func (e *FailedReply) Is(target error) bool { return target == ErrBroken }

// Service is a plain service. Do sends the call once and never again by
// itself, whatever the method.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
}
