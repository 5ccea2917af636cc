// Package completion serves one request for generated text: it places the
// request on an engine, follows the answer to its end, and mends what breaks
// on the way without the caller seeing more than a pause.
package completion

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Request is a caller's request, read and checked. Nothing in it points into
// a connection's buffers.
type Request struct {
	ID        string // unique for this request, in every log line about it
	Workspace string
	Model     string
	Adapter   string
	Messages  []prefix.Message
	MaxTokens int
	// Priority is 0 for the most urgent to 7 for the least.
	Priority int
	// Deadline is when the whole answer must be there; zero: none.
	Deadline time.Time
	// Key is set if the request may run once at most.
	Key idempotency.Key
}

// identity is what the request's cached prefixes belong to.
func (r Request) identity() prefix.Identity {
	return prefix.Identity{Workspace: r.Workspace, Model: r.Model, Adapter: r.Adapter}
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
}

// Token is one piece of the answer. Index counts from 0 without a gap over
// the whole answer, whatever engine each piece came from.
type Token struct {
	Index  int
	Text   string
	Finish string // on the last token alone
}
