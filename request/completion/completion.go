// Package completion serves one request for generated text: it places the
// request on an engine, follows the answer to its end, and mends what breaks
// on the way without the caller seeing more than a pause.
package completion

import (
	"cmp"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// Request is a caller's request, read and checked. Nothing in it points into
// a connection's buffers.
type Request struct {
	ID string // unique for this request, in every log line about it
	// Content is the same for each try of the same request; zero: that of the
	// workspace, the model and the messages.
	Content   quarantine.Content
	Workspace string
	Model     string
	Adapter   string
	Messages  []prefix.Message
	MaxTokens int
	// Priority is 0 for the most urgent to 7 for the least.
	Priority int
	// Class is the caller's priority, within which requests are to be served alike
	// whatever their length. Priority may put shorter prompts of one first.
	Class int
	// Deadline is when the whole answer must be there; zero: none.
	Deadline time.Time
	// Key is set if the request may run once at most.
	Key idempotency.Key
	// Once says that the request may run once at most and that no other node
	// has it: its caller tries each time under another name. It needs no claim.
	Once bool

	// Passage is the request as the caller sent it, to be passed through, and
	// its answer with it; Messages are empty then and Declared has the prompt's
	// parts. nil: the router's own form.
	Passage  *upstream.Call
	Declared []prefix.Part
	// Pool is the pool that the request's route names; empty: one by the
	// shares of the workspace.
	Pool string
	// Scope names those who may use each other's cached prefixes; empty: the
	// workspace alone.
	Scope string
	// MaxRuns is how many engines may have run the request; 0: no own bound.
	MaxRuns int
	// After is the id of the last event that the caller has of an earlier try.
	After string
	// RunsAgain is called for each engine beyond the first that may run the request;
	// nil: nobody is told.
	RunsAgain func()
}

// mayRepeat says whether the request may be sent again although it may have
// run.
func (r Request) mayRepeat() bool { return !r.Key.Set() && !r.Once }

// content is what tries of the same request have in common.
func (r Request) content() quarantine.Content {
	if r.Content != 0 {
		return r.Content
	}
	parts := [][]byte{[]byte(r.Workspace), []byte(r.Model), []byte(r.Adapter)}
	for _, m := range r.Messages {
		parts = append(parts, []byte(m.Role), []byte(m.Content))
	}
	return quarantine.ContentOf(parts...)
}

// identity is what the request's cached prefixes belong to.
func (r Request) identity() prefix.Identity {
	return prefix.Identity{Workspace: cmp.Or(r.Scope, r.Workspace), Model: r.Model, Adapter: r.Adapter}
}

// urgentUpTo is the highest priority number that still counts as a look-up
// somebody waits for.
const urgentUpTo = 2

// Urgent says that the time to the first token counts most.
func (r Request) Urgent() bool { return r.Priority <= urgentUpTo }

// Info is what is known of an answer when its first token has come.
type Info struct {
	Upstream     string
	Version      string // weights version that answers
	PromptTokens int
	CachedTokens int
	Attempts     int // sends, the answering one included
	// CacheUnknown says that the engine did not tell what it had cached.
	CacheUnknown bool
	// Passage is the head of an answer that is passed through; nil otherwise.
	Passage *upstream.Passage
}

// Token is one piece of the answer. Index counts from 0 without a gap over
// the whole answer, whatever engine each piece came from.
type Token struct {
	Index  int
	Text   string
	Finish string // on the last token alone
}
