package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
)

// cutDelay lets the bytes before a cut leave first.
const cutDelay = 10 * time.Millisecond

var (
	errCut       = errors.New("fault: cut")
	errTruncated = errors.New("fault: truncated")
)

// writer writes one answer as server-sent events, with its faults.
type writer struct {
	w     *bufio.Writer
	conn  net.Conn
	fault Fault
	id    string
	sent  int    // tokens so far
	buf   []byte // of the event being written
}

// write follows s from a token on until its end.
func (e *Engine) write(life context.Context, w *writer, s *stream, first int) {
	if w.event(w.id, first, overhttp.EventHead, s.look().head) != nil || w.w.Flush() != nil {
		return
	}
	next := first
	for {
		st := s.look()
		for _, t := range st.sent[next:] {
			if !e.gate(life) || w.token(t) != nil {
				return
			}
			e.countSent()
		}
		next = len(st.sent)
		if st.done {
			w.event(w.id, next, overhttp.EventEnd, overhttp.EndEvent{Tokens: next}) //nolint:errcheck // the caller is gone
			return
		}
		if st.abandoned || w.w.Flush() != nil {
			return
		}
		select {
		case <-st.changed:
		case <-life.Done():
			return
		}
	}
}

func (e *Engine) countSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.SentTokens++
}

// token writes one token, or what a fault makes of it.
func (w *writer) token(t upstream.Token) error {
	w.sent++
	event := overhttp.TokenEvent{Text: t.Text, Finish: t.Finish}
	if w.sent != w.fault.SkipToken {
		if err := w.event(w.id, t.Index, overhttp.EventToken, event); err != nil {
			return err
		}
	}
	if w.sent == w.fault.DuplicateToken {
		if err := w.event(w.id, t.Index, overhttp.EventToken, event); err != nil {
			return err
		}
	}
	if w.sent == w.fault.ForeignAfter {
		if err := w.event("foreign", t.Index+1, overhttp.EventToken, overhttp.TokenEvent{Text: "foreign "}); err != nil {
			return err
		}
	}
	switch w.sent {
	case w.fault.CutAfter:
		w.w.Flush() //nolint:errcheck // cut next
		time.Sleep(cutDelay)
		w.conn.Close()
		return errCut
	case w.fault.TruncateAfter:
		return errTruncated
	}
	return nil
}

func (w *writer) event(id string, index int, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.buf = append(w.buf[:0], "id: "...)
	w.buf = overhttp.AppendEventID(w.buf, id, index)
	w.buf = append(append(w.buf, "\nevent: "...), name...)
	w.buf = append(append(w.buf, "\ndata: "...), data...)
	w.buf = append(w.buf, "\n\n"...)
	_, err = w.w.Write(w.buf)
	return err
}
