// Package call serves one request to a plain service: it chooses an
// instance, sends the call once, and says truthfully what became of it.
package call

import (
	"net/http"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/idempotency"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// Request is a caller's request, read and checked. Nothing in it points into
// a connection's buffers.
type Request struct {
	ID string
	// Content is the same for each try of the same request; zero: that of the
	// workspace, the service, the method, the path and the body.
	Content   quarantine.Content
	Workspace string
	Service   string
	Method    string
	Path      string
	Query     string
	Header    []upstream.Field
	Body      []byte
	Priority  int
	Deadline  time.Time // zero: none
	// Repeatable says that the caller allows repeats whatever the method.
	Repeatable bool
	// Key is set if the request may run once at most.
	Key idempotency.Key
	// Once says that the request may run once at most and that no other node
	// has it: its caller tries each time under another name. It needs no claim.
	Once bool
	// RunsAgain is called for each instance beyond the first that may run the request;
	// nil: nobody is told.
	RunsAgain func()
	// MaxRuns is how many instances may have run the request; 0: no own bound.
	MaxRuns int
	// Host and Target are those of a request that is passed through as it came.
	Host   string
	Target string
}

// mayRepeat says whether the call may be sent again although it may have run.
// A method that changes nothing may; any other only if the caller says so.
func (r Request) mayRepeat() bool {
	if r.Key.Set() || r.Once {
		return false
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Repeatable
}

// content is what tries of the same request have in common.
func (r Request) content() quarantine.Content {
	if r.Content != 0 {
		return r.Content
	}
	return quarantine.ContentOf([]byte(r.Workspace), []byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body)
}

func (r Request) call() upstream.Call {
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

// entry is the call as the journal knows it. Two calls with one key must ask
// for the same thing.
func (r Request) entry(deduplicates bool) journal.Entry {
	return journal.Entry{
		Workspace:    r.Workspace,
		Key:          r.Key.Value,
		KeyTime:      r.Key.At,
		Deduplicates: deduplicates,
		Request: journal.HashRequest([]byte(r.Service), []byte(r.Method),
			[]byte(r.Path), []byte(r.Query), r.Body),
	}
}
