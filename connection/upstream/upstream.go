// Package upstream defines the router's interfaces to its back ends: model engines and
// plain services. The router depends only on these interfaces. One package implements
// them over HTTP, and support for other back ends needs only another such package.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a call to an upstream. Each states whether the upstream may have received a
// byte of the request.
var (
	// ErrNotSent means that no byte of the request was sent to the upstream, for example
	// because there was no connection.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrRefused means that the upstream answered that it did not run the request.
	ErrRefused = errors.New("upstream: refused before running")
	// ErrBusy means that the upstream has no capacity left. The error of a refusal wraps
	// it together with ErrRefused.
	ErrBusy = errors.New("upstream: busy")
	// ErrWrongVersion means that the upstream holds a weights version other than the
	// requested one.
	ErrWrongVersion = errors.New("upstream: other weights version")
	// ErrFailedAfterSend means that the call failed after its send began. The request
	// may have run.
	ErrFailedAfterSend = errors.New("upstream: failed after sending began")
	// ErrProcessEnded is wrapped together with ErrFailedAfterSend if the upstream's
	// process has ended, so that nothing listens at its address any more.
	ErrProcessEnded = errors.New("upstream: process has ended")
	// ErrPathLost means that this node has lost its path to the upstream's service, so that
	// the failure says nothing about the upstream.
	ErrPathLost = errors.New("upstream: this node has lost the path")
	// ErrOutOfOrder means that an event of a stream is missing, repeated or belongs to
	// another stream.
	ErrOutOfOrder = errors.New("upstream: event out of order")
	// ErrOverlong means that a stream is longer than any answer to its request, so that what came of it
	// is no part of one.
	ErrOverlong = errors.New("upstream: stream longer than any answer")
	// ErrUnknownStream means that the engine no longer has the stream.
	ErrUnknownStream = errors.New("upstream: unknown stream")
	// ErrAddressReused means that another upstream now has the address and refused the
	// request.
	ErrAddressReused = errors.New("upstream: address belongs to another upstream")
	// ErrOrderConflict means that an order was refused because another order is being
	// executed, or because others were accepted since the one that it follows.
	ErrOrderConflict = errors.New("upstream: conflicting order")
	// ErrStaleFencing means that the engine refused an order because its fencing number
	// was too old.
	ErrStaleFencing = errors.New("upstream: stale fencing number")
)

// HoldOff is the error of a call whose answer tells this node to send the upstream no
// requests for a time.
type HoldOff struct {
	For   time.Duration
	Cause error
}

// Error returns the cause and the duration.
func (e *HoldOff) Error() string { return fmt.Sprintf("%v: no requests for %v", e.Cause, e.For) }

// Unwrap returns the cause.
func (e *HoldOff) Unwrap() error { return e.Cause }

// HoldOffDuration returns the duration of the HoldOff in err, or 0 if err contains
// none.
func HoldOffDuration(err error) time.Duration {
	var h *HoldOff
	if errors.As(err, &h) {
		return h.For
	}
	return 0
}

// Generation is a request to an engine to generate text.
type Generation struct {
	StreamID  string // chosen by the router, unique for every attempt
	Model     string
	Version   string // weights version; the engine refuses the request if it holds another
	Adapter   string
	Salt      string // keeps the workspaces separate in the engine's cache
	Prompt    []Part
	Continue  string // text of the answer that the caller has already received
	MaxTokens int
	Priority  int       // 0 is the most urgent
	Deadline  time.Time // zero means none
	// Passage is the caller's original request, which is forwarded unchanged in place
	// of Prompt. It is nil for a request in the router's own form.
	Passage *Call
	// After is the ID of the last event of the same answer that was forwarded to the
	// caller. The engine continues after it. If it is empty, the engine starts at the
	// beginning.
	After string
	// FetchFrom is the address of an engine from which this engine fetches the part of
	// the prompt's KV cache that it does not have. If it is empty, this engine computes
	// that part.
	FetchFrom string
	// SaveTo is the address of a store to which this engine sends the prompt's KV cache
	// after computing it. If it is empty, the engine sends nothing.
	SaveTo string
}

// Part is one message of a prompt.
type Part struct {
	Role    string
	Content string
}

// Head describes an answer. The engine sends it before the first token.
type Head struct {
	StreamID     string
	Incarnation  uint64
	Version      string
	PromptTokens int
	CachedTokens int
	// CacheUnknown reports that the engine does not state how many tokens it had
	// cached. CachedTokens is 0 then and has no meaning.
	CacheUnknown bool
	// EndsWithConnection reports that the answer has neither a length nor chunks, so that the end of
	// its connection marks its own.
	EndsWithConnection bool
	// Relayed reports that the answer comes through another node.
	Relayed bool
	// OpenedAt is when the answer's connection was opened; zero: not known.
	OpenedAt time.Time
	// Passage is the head of an answer that is forwarded unchanged. It is nil for an
	// answer in the router's own form.
	Passage *PassthroughHead
}

// PassthroughHead is the head of an answer that is forwarded unchanged.
type PassthroughHead struct {
	Status int
	Header []Field // without the hop-by-hop fields
}

// Token is one event of a stream. Index counts from 0 without gaps.
type Token struct {
	Index  int
	Text   string
	Finish string // set only on the last event: "stop", "length" or "end"
	// Event is the place in an answer that is forwarded unchanged: the ID after which
	// another engine goes on once the caller has this token. If it is empty, none can.
	Event string
}

// FinishEnd is the Finish of an answer that is forwarded unchanged: its framing marked
// the end.
const FinishEnd = "end"

// Stream is an answer that is being received. Only Close may be called from another
// goroutine.
type Stream interface {
	Head() Head
	// Next returns the next token in order. It returns io.EOF only after the token with
	// Finish set. Every other end is reported as an error.
	Next() (Token, error)
	// Close releases the connection, whether or not the answer is complete.
	Close() error
}

// Report is the state of an engine, as the engine itself reports it.
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
	// Orders is the number of orders that the engine has accepted since it started.
	Orders uint64
}

// LoadedModel is a model that an engine has loaded, with its weights version.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// CacheEvents is a page of an engine's stream of cache events.
type CacheEvents struct {
	Incarnation uint64
	Next        uint64 // sequence number from which to request the next page
	Events      []CacheEvent
}

// CacheEvent states that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64
	Stored   bool
	Salt     string
	Block    uint64 // hash of the prompt text up to the block's end
	Tokens   int
}

// HeldPart is a part of declared prompts that is in an engine's cache.
type HeldPart struct {
	Salt   string // under which it is cached
	Part   string // ID that the callers declared
	Tokens int    // number of its tokens in the cache; 0 if it was evicted
}

// CacheContents describes an engine's cache: either its entire contents or the changes
// since an earlier CacheContents.
type CacheContents struct {
	Epoch uint64 // of the cache; a restart starts a new epoch with an empty cache
	Next  uint64 // position from which to request later changes
	Lost  bool   // some earlier changes are missing
	Parts []HeldPart
}

// Order tells an engine to reach an absolute state. It never names a change relative to
// the current state, so that a repeated or late order does no harm beyond a state that
// has to be corrected again.
type Order struct {
	Fencing uint64 // offset of the lease under which the order is given
	Model   string
	Version string // version to load; empty for no change
	Adapter string
	Role    string    // "serve" or "drain"; empty for no change
	Expires time.Time // time after which the engine must not start it
	// Expected is the number of accepted orders that this order follows; nil means any.
	// An engine whose number differs refuses the order, also when the order arrives
	// late.
	Expected *uint64
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume continues a stream that the engine still has, after the event with index
	// after, or from the start if after is -1.
	Resume(ctx context.Context, streamID string, after int) (Stream, error)
	Cancel(ctx context.Context, streamID string) error
	Report(ctx context.Context) (Report, error)
	// ConfirmStart checks that the engine has not started again under its name since it
	// registered, with other software perhaps. The error is ErrAddressReused if it has. An
	// earlier check counts if it was made after a time; the zero time: none does.
	ConfirmStart(ctx context.Context, after time.Time) error
	Events(ctx context.Context, from uint64) (CacheEvents, error)
	Order(ctx context.Context, o Order) error
	// Export returns the KV cache of a prompt as opaque bytes.
	Export(ctx context.Context, g Generation) ([]byte, error)
	Import(ctx context.Context, kv []byte) error
}

// Call is a request to a plain service, or a request that is forwarded unchanged to an
// engine.
type Call struct {
	Method string
	Path   string
	Query  string
	Header []Field
	Body   []byte
	Key    string // idempotency key to forward; empty if there is none

	// The fields below are set only for a request that is forwarded unchanged.
	ID        string // the caller's ID of this attempt; the answer must carry it
	Host      string
	Target    string // of the request line, unchanged; used in place of Path and Query
	Workspace string
	Priority  int       // 0 is the most urgent
	Deadline  time.Time // zero means none
}

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status int
	Header []Field
	Body   []byte
}

// FailedReply is the error for a complete answer in which an upstream reports that it
// failed after it had started to run the request. A repeatable request may succeed on
// another upstream. Otherwise the answer is forwarded unchanged.
type FailedReply struct {
	Reply Reply
}

// Error returns a message with the status.
func (e *FailedReply) Error() string {
	return fmt.Sprintf("upstream: answered with status %d", e.Reply.Status)
}

// Is reports whether target is ErrFailedAfterSend, because the request was sent and may
// have run.
func (e *FailedReply) Is(target error) bool { return target == ErrFailedAfterSend }

// Service is a plain service. Do sends the call exactly once, whatever its method.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
}
