// Package completion serves one request for generated text: it places the
// request on an engine, reads the answer to its end and recovers broken
// streams, so that the caller sees no more than a pause.
package completion

import (
	"cmp"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// Request is a parsed and validated request of a caller. It holds no references
// to a connection's buffers.
type Request struct {
	ID string // unique; part of every log line about the request
	// Content is the same for every try of a request; zero: derived from the
	// workspace, model, adapter and messages.
	Content   quarantine.Digest
	Workspace string
	Model     string
	Adapter   string
	Messages  []prefix.Message
	MaxTokens int
	// Priority ranges from 0, the most urgent, to 7, the least urgent.
	Priority int
	// Class is the caller's priority. Requests of one class are to be served
	// alike whatever their length; Priority may put shorter prompts of a class
	// first.
	Class int
	// Kind names what the request is for, such as its route. Lengths are compared
	// among requests of one kind. Empty: not known.
	Kind string
	// Goal is the time from the arrival to the first token within which the answer is in
	// time for its caller; 0: not known.
	Goal time.Duration
	// Grant is how long the caller waits, from the arrival on; 0: not stated.
	Grant time.Duration
	// Deadline is when the whole answer must be complete; zero: none.
	Deadline time.Time
	// Key is set if the request may run at most once.
	Key idempotency.Key
	// RunOnce says that the request may run at most once and that no other node
	// has it, because its caller uses another ID for each try. It needs no claim.
	RunOnce bool

	// Passage is the caller's original request, which is passed through to the
	// engine unchanged, like its answer. Messages is empty then and
	// DeclaredParts holds the parts of the prompt. nil: the request is in the
	// router's own format.
	Passage       *upstream.Call
	DeclaredParts []prefix.Part
	// Pool is the pool that the request's route names; empty: chosen by the
	// shares of the workspace.
	Pool string
	// CacheScope names the group of workspaces that may use each other's cached
	// prefixes; empty: the workspace alone.
	CacheScope string
	// MaxRuns bounds how many engines may have run the request; 0: no bound
	// beside that on tries.
	MaxRuns int
	// LastEventID is the ID of the last event that the caller received from an
	// earlier try.
	LastEventID string
	// Software pins the request to the software version of the events that the caller has
	// already; not set: it has none.
	Software SoftwarePin
	// OnFurtherRun is called for each engine after the first that may run the
	// request; nil: not called.
	OnFurtherRun func()
	// Avoid lists engines that don't get the request's first try, if others may take it, and
	// AvoidLater those that don't get a later one. They have no effect once the request is pinned to a
	// software version.
	Avoid, AvoidLater []string
}

// mayRepeat reports whether the request may be sent again although it may have
// run.
func (r Request) mayRepeat() bool { return !r.Key.IsSet() && !r.RunOnce }

// content returns what the request has in common with its other tries, and the parts of its prompt
// that it may have in common with other requests.
func (r Request) content() quarantine.Content {
	return quarantine.Content{Request: r.digest(), Workspace: r.Workspace, Parts: r.quarantineParts()}
}

func (r Request) quarantineParts() []quarantine.Part {
	if r.Passage != nil {
		return lo.Map(r.sharedParts(), func(p prefix.Part, _ int) quarantine.Part { return quarantine.NewPart(p.ID) })
	}
	shared := r.Messages[:min(quarantine.MaxParts, max(0, len(r.Messages)-1))]
	return lo.Map(shared, func(m prefix.Message, _ int) quarantine.Part { return quarantine.NewTextPart(m.Role, m.Content) })
}

// digest returns the digest that all tries of the same request have in common.
func (r Request) digest() quarantine.Digest {
	if r.Content != 0 {
		return r.Content
	}
	parts := [][]byte{[]byte(r.Workspace), []byte(r.Model), []byte(r.Adapter)}
	for _, m := range r.Messages {
		parts = append(parts, []byte(m.Role), []byte(m.Content))
	}
	return quarantine.DigestOf(parts...)
}

// sharedParts returns the declared parts that other requests may have too: all but the last, which
// belongs to this request.
func (r Request) sharedParts() []prefix.Part {
	return r.DeclaredParts[:max(0, len(r.DeclaredParts)-1)]
}

func (r Request) sharedPartIDs() []string {
	return lo.Map(r.sharedParts(), func(p prefix.Part, _ int) string { return p.ID })
}

// identity returns what determines which cached prefixes the request can use.
func (r Request) identity() prefix.Identity {
	return prefix.Identity{Workspace: cmp.Or(r.CacheScope, r.Workspace), Model: r.Model, Adapter: r.Adapter}
}

// maxUrgentPriority is the highest priority number of an interactive request,
// whose caller waits for the answer.
const maxUrgentPriority = 2

// Urgent reports whether the time to the first token matters most.
func (r Request) Urgent() bool { return r.Priority <= maxUrgentPriority }

// Info is what is known of an answer when its first token has arrived.
type Info struct {
	Upstream string
	Version  string // weights version that produced the answer
	Software string // software version of the engine
	// SoftwareUnknown says that the engine may have started again with other software.
	SoftwareUnknown bool
	PromptTokens    int
	CachedTokens    int
	Attempts        int // sends, including the one that was answered
	// CacheUnknown says that the engine did not report how much it had cached.
	CacheUnknown bool
	// Passage is the head of a passthrough answer; nil otherwise.
	Passage *upstream.PassthroughHead
}

// Token is one piece of an answer. Index counts from 0 without gaps over the
// whole answer, even if several engines produced it.
type Token struct {
	Index  int
	Text   string
	Finish string // set on the last token only
}
