// Package call serves one request to a plain service: it chooses an instance,
// sends the call, retries it where that is safe, and reports truthfully whether
// it ran.
package call

import (
	"net/http"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// Request is a parsed and validated request of a caller. It holds no references
// to a connection's buffers.
type Request struct {
	ID string
	// Content is the same for every try of a request; zero: derived from the
	// workspace, service, method, path and body.
	Content   quarantine.Digest
	Workspace string
	Service   string
	Method    string
	Path      string
	Query     string
	Header    []upstream.Field
	Body      []byte
	Priority  int
	Deadline  time.Time // zero: none
	// Repeatable says that the caller allows repeats whatever the method is.
	Repeatable bool
	// Key is set if the request may run at most once.
	Key idempotency.Key
	// RunOnce says that the request may run at most once and that no other node
	// has it, because its caller uses another ID for each try. It needs no claim.
	RunOnce bool
	// OnFurtherRun is called for each instance after the first that may run the
	// request; nil: not called.
	OnFurtherRun func()
	// MaxRuns bounds how many instances may have run the request; 0: no bound
	// beside that on tries.
	MaxRuns int
	// Kind is what the request is counted as; empty: nothing.
	Kind string
	// Avoid lists instances that don't get the call's first try, if others may take it, and AvoidLater
	// those that don't get a later one.
	Avoid, AvoidLater []string
	// Host and Target are those of a request that is passed through unchanged.
	Host   string
	Target string
}

// mayRepeat reports whether the call may be sent again although it may have run.
// That holds for methods that change nothing, and for others only if the caller
// allows it.
func (r Request) mayRepeat() bool {
	if r.Key.IsSet() || r.RunOnce {
		return false
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Repeatable
}

// content returns what all tries of the same request have in common. A call has no prompt.
func (r Request) content() quarantine.Content {
	c := quarantine.Content{Request: r.Content, Workspace: r.Workspace}
	if c.Request == 0 {
		c.Request = quarantine.DigestOf([]byte(r.Workspace), []byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body)
	}
	return c
}

func (r Request) upstreamCall() upstream.Call {
	return upstream.Call{
		Method: r.Method,
		Path:   r.Path,
		Query:  r.Query,
		Header: r.Header,
		Body:   r.Body,
		Key:    r.Key.Value,

		ID:        r.ID,
		Host:      r.Host,
		Target:    r.Target,
		Workspace: r.Workspace,
		Priority:  r.Priority,
		Deadline:  r.Deadline,
	}
}

// journalEntry returns the call as the journal identifies it. Two calls with the
// same key must have the same content.
func (r Request) journalEntry(deduplicates bool) journal.KeyedRequest {
	return journal.KeyedRequest{
		Workspace:    r.Workspace,
		Key:          r.Key.Value,
		KeyTime:      r.Key.CreatedAt,
		Deduplicates: deduplicates,
		Request: journal.HashRequest([]byte(r.Service), []byte(r.Method),
			[]byte(r.Path), []byte(r.Query), r.Body),
	}
}
