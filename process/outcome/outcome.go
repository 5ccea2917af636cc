// Package outcome tells from the nodes' logs what became of requests for
// generated text, by the length of their prompts: whether the long ones are
// served as often as the short ones, and if not, which decision refused them.
package outcome

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// End is how a request ended.
type End uint8

// Ends.
const (
	Unknown  End = iota // no line tells
	Served              // whole answer
	Shed                // refused by its expected wait
	Refused             // refused for another reason
	Failed              // broke off after its answer had begun
	endCount int = iota
)

// Request is what the lines of one request say together.
type Request struct {
	Route  string
	Tokens int // of the prompt
	End    End
	// Wait is the expected time to the first token of the first decision, and
	// Idle what an engine without other work would have taken.
	Wait time.Duration
	Idle time.Duration
	// First is the measured time to the first token; 0: none came.
	First time.Duration
}

// line is what is read of a log line.
type line struct {
	Name         string
	Request      string
	Route        string
	PromptTokens int
	Wait         float64 // seconds
	Idle         float64 // seconds
	FirstToken   float64 // seconds
}

// maxLine bounds a log line. Logged errors are the longest fields.
const maxLine = 1 << 20

// Read joins the lines of all requests that were placed or shed. What stands
// before a line's object, such as a collector's stamp, is passed over, and so
// are lines without one. Broken is how many objects could not be read: a
// process that is killed leaves half a line behind.
func Read(r io.Reader) (requests []Request, broken int, err error) {
	j := joiner{byID: map[string]*Request{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l line
		if err := json.Unmarshal(s.Bytes()[at:], &l); err != nil {
			broken++
			continue
		}
		j.take(l)
	}
	if err := s.Err(); err != nil {
		return nil, broken, fmt.Errorf("read log: %w", err)
	}
	return j.generated(), broken, nil
}

// joiner joins lines by the request's id.
type joiner struct {
	byID  map[string]*Request
	order []*Request
}

func (j *joiner) take(l line) {
	if l.Request == "" {
		return
	}
	r := j.byID[l.Request]
	if r == nil {
		r = &Request{}
		j.byID[l.Request] = r
		j.order = append(j.order, r)
	}
	switch l.Name {
	case event.RequestPlaced.String():
		r.decided(l)
	case event.RequestShed.String():
		r.decided(l)
		r.End = Shed
	case event.RequestAnswered.String():
		r.First = seconds(l.FirstToken)
	case event.RequestServed.String():
		r.Route, r.End = l.Route, Served
	case event.RequestFailed.String():
		r.Route, r.End = l.Route, Failed
	case event.RequestRefused.String():
		r.Route = l.Route
		if r.End != Shed {
			r.End = Refused
		}
	}
}

// decided takes in the first decision about a request.
func (r *Request) decided(l line) {
	if r.Tokens > 0 {
		return
	}
	r.Tokens, r.Wait, r.Idle = l.PromptTokens, seconds(l.Wait), seconds(l.Idle)
}

// generated gives the requests with a prompt whose route is known, in the order of
// their first lines.
func (j *joiner) generated() []Request {
	var all []Request
	for _, r := range j.order {
		if r.Tokens > 0 && r.Route != "" {
			all = append(all, *r)
		}
	}
	return all
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
