package event

import (
	"io"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Limits of the lines that wait to be written.
const (
	// queueBytes holds some 800 lines of usual length, which is one second of
	// a node's decisions at ten times today's load.
	queueBytes = 192 << 10
	// flushInterval is how long a line may wait. One write takes many lines,
	// since each write costs a system call. A process that is killed loses the
	// lines that wait.
	flushInterval = 100 * time.Millisecond
)

// Queue writes log lines from its own goroutine. If the queue is full, a line
// is dropped and counted by its event: a reader of the log that has stopped
// must not block requests.
type Queue struct {
	w io.Writer

	mu      sync.Mutex // guards the fields below, up to closed
	pending []byte
	dropped map[string]int // lines, by the name of the event
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// NewQueue returns a Queue that writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, dropped: map[string]int{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		q.run()
	}()
	return q
}

// Close writes the pending lines and stops the queue. It waits for the writer,
// which may hang, no longer than timeout.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

// DroppedLines returns the number of dropped lines by the name of their event.
func (q *Queue) DroppedLines() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.dropped)
}

func (q *Queue) run() {
	var out []byte
	for range q.wake {
		time.Sleep(flushInterval)
		var closed bool
		out, closed = q.takePending(out[:0])
		if len(out) > 0 {
			// There is nowhere to report an error of the log's writer. The
			// lines are lost, as they are when the reader has gone.
			_, _ = q.w.Write(out)
		}
		if closed {
			return
		}
	}
}

// takePending returns the pending lines and puts the given buffer in their
// place.
func (q *Queue) takePending(buffer []byte) (out []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out, q.pending = q.pending, buffer
	return out, q.closed
}

func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) enqueue(name string, line []byte) {
	q.mu.Lock()
	first := len(q.pending) == 0
	if len(q.pending)+len(line) > queueBytes {
		q.dropped[name]++
	} else {
		q.pending = append(q.pending, line...)
	}
	q.mu.Unlock()
	if first {
		q.signal()
	}
}

// queueCore is a zapcore.Core that passes encoded lines to a Queue.
type queueCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *Queue
}

// With returns a core that adds fields to its lines.
func (c *queueCore) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(e)
	}
	return &queueCore{LevelEnabler: c.LevelEnabler, encoder: e, queue: c.queue}
}

// Check adds this core if it logs the entry's level.
func (c *queueCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes one line. It never waits for the writer.
func (c *queueCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	c.queue.enqueue(e.Message, line.Bytes())
	return nil
}

// Sync does nothing, since the queue writes by itself.
func (c *queueCore) Sync() error { return nil }
