// Package outcome reads from the nodes' logs how requests for generated text ended, by the length
// of their prompts. It shows whether requests with long prompts are served as often as those with
// short ones, and if not, which decision refused them.
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

// Values of End.
const (
	Unknown  End = iota // no line states it
	Served              // answered whole
	Shed                // refused because of its expected wait
	Refused             // refused for another reason
	Failed              // broke off after its answer had begun
	endCount int = iota
)

// Request is the combined content of the lines of one request.
type Request struct {
	Route  string
	Tokens int // of the prompt
	End    End
	// Wait is the expected time to the first token at the first decision, and Idle the time that an
	// engine without other work would have taken.
	Wait time.Duration
	Idle time.Duration
	// FirstToken is the measured time to the first token; 0: none came.
	FirstToken time.Duration
}

// line holds the fields that are read of a log line.
type line struct {
	Name         string
	Request      string
	Route        string
	PromptTokens int
	Wait         float64 // seconds
	Idle         float64 // seconds
	FirstToken   float64 // seconds
}

// maxLine limits the length of a log line in bytes. Logged errors are the longest fields.
const maxLine = 1 << 20

// Read combines the log lines of each request that was placed or shed. It skips what precedes a
// line's JSON object, such as a log collector's timestamp, and lines without an object. broken is
// the number of objects that could not be decoded; a killed process leaves an incomplete line.
func Read(r io.Reader) (requests []Request, broken int, err error) {
	j := requestJoiner{byID: map[string]*Request{}}
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
		j.add(l)
	}
	if err := s.Err(); err != nil {
		return nil, broken, fmt.Errorf("read log: %w", err)
	}
	return j.generated(), broken, nil
}

// requestJoiner combines lines by request id.
type requestJoiner struct {
	byID  map[string]*Request
	order []*Request
}

func (j *requestJoiner) add(l line) {
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
		r.setDecision(l)
	case event.RequestShed.String():
		r.setDecision(l)
		r.End = Shed
	case event.RequestAnswered.String():
		r.FirstToken = seconds(l.FirstToken)
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

// setDecision applies the first decision about a request.
func (r *Request) setDecision(l line) {
	if r.Tokens > 0 {
		return
	}
	r.Tokens, r.Wait, r.Idle = l.PromptTokens, seconds(l.Wait), seconds(l.Idle)
}

// generated returns the requests with a prompt whose route is known, in the order of their first
// lines.
func (j *requestJoiner) generated() []Request {
	var all []Request
	for _, r := range j.order {
		if r.Tokens > 0 && r.Route != "" {
			all = append(all, *r)
		}
	}
	return all
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
