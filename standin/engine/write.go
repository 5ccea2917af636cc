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

// cutDelay lets the bytes written before a cut leave before the connection closes.
const cutDelay = 10 * time.Millisecond

var (
	errCut       = errors.New("fault: connection cut")
	errTruncated = errors.New("fault: answer truncated")
)

// eventWriter writes one answer as server-sent events and applies its faults.
type eventWriter struct {
	w          *bufio.Writer
	conn       net.Conn
	fault      Fault
	streamID   string
	sentTokens int    // including skipped ones
	buf        []byte // encoding of the current event; reused
}

// writeEvents writes the tokens of s from index first on, until the stream ends.
func (e *Engine) writeEvents(processCtx context.Context, w *eventWriter, s *stream, first int) {
	if w.writeEvent(w.streamID, first, overhttp.EventHead, s.currentState().head) != nil || w.w.Flush() != nil {
		return
	}
	next := first
	for {
		st := s.currentState()
		for _, t := range st.emitted[next:] {
			if !e.waitUnfrozen(processCtx) || w.writeToken(t) != nil {
				return
			}
			e.countSent()
		}
		next = len(st.emitted)
		if st.complete {
			w.writeEvent(w.streamID, next, overhttp.EventEnd, overhttp.EndEvent{Tokens: next}) //nolint:errcheck // the caller is gone
			return
		}
		if st.aborted || w.w.Flush() != nil {
			return
		}
		select {
		case <-st.changed:
		case <-processCtx.Done():
			return
		}
	}
}

func (e *Engine) countSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.SentTokens++
}

// writeToken writes one token and applies the faults that are set for it.
func (w *eventWriter) writeToken(t upstream.Token) error {
	w.sentTokens++
	event := overhttp.TokenEvent{Text: t.Text, Finish: t.Finish}
	if w.sentTokens != w.fault.SkipToken {
		if err := w.writeEvent(w.streamID, t.Index, overhttp.EventToken, event); err != nil {
			return err
		}
	}
	if w.sentTokens == w.fault.DuplicateToken {
		if err := w.writeEvent(w.streamID, t.Index, overhttp.EventToken, event); err != nil {
			return err
		}
	}
	if w.sentTokens == w.fault.ForeignAfter {
		if err := w.writeEvent("foreign", t.Index+1, overhttp.EventToken, overhttp.TokenEvent{Text: "foreign "}); err != nil {
			return err
		}
	}
	switch w.sentTokens {
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

func (w *eventWriter) writeEvent(id string, index int, name string, v any) error {
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
