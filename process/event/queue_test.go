package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedWriter is a log writer that blocks until unblock is closed.
type blockedWriter struct {
	entered chan struct{} // receives a value for each write
	unblock chan struct{}
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.entered <- struct{}{}
	<-s.unblock
	return s.got.Write(p)
}

// The reader of the log stops. Callers must still be served, and memory must
// stay limited: lines are dropped and counted by their event. Once the reader
// continues, the pending lines must be written.
func TestStoppedLogReaderBlocksNobody(t *testing.T) {
	r := &blockedWriter{entered: make(chan struct{}, 8), unblock: make(chan struct{})}
	q := NewQueue(r)
	l, err := NewQueuedLogger(q, "info", "entry-1", "sofia-1")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 20_000
	Info(l, RequestPlaced, zap.String("Request", strings.Repeat("x", 40)))
	<-r.entered // from now on nothing is taken from the queue
	for range lines - 1 {
		Info(l, RequestPlaced, zap.String("Request", strings.Repeat("x", 40)))
	}
	// Longer than the other lines, for whose length there may be some room left.
	Warn(l, OperatorRefused, zap.String("Request", strings.Repeat("x", 80)))
	dropped := q.DroppedLines()
	if dropped["RequestPlaced"] == 0 || dropped["OperatorRefused"] != 1 {
		t.Errorf("dropped %v", dropped)
	}
	close(r.unblock)
	q.Close(time.Minute)
	if written := strings.Count(r.got.String(), "\n"); written+dropped["RequestPlaced"]+1 != lines+1 {
		t.Errorf("%d written, %v dropped", written, dropped)
	}
}

func TestQueuedLoggerWritesSameLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	l, err := NewQueuedLogger(q, "info", "entry-1", "sofia-1")
	if err != nil {
		t.Fatal(err)
	}
	l.Debug("not written")
	Info(l, ProcessStopped)
	q.Close(time.Minute)
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `"Name":"ProcessStopped"`) || !strings.Contains(got, `"Node":"entry-1"`) {
		t.Errorf("%q", got)
	}
	if _, err := NewQueuedLogger(q, "loud", "", ""); err == nil {
		t.Error("an unknown level was accepted")
	}
}
