package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"
)

// watchInterval is the time between two looks at the callers' connections.
const watchInterval = 250 * time.Millisecond

// watcher notices callers that go away while there is nothing to write to
// them. A write would tell, but a request may wait for its first token for
// many seconds, holding a place in a queue or a slot of an engine for nobody.
// One goroutine looks after all connections and runs only while there are
// any; their number is bounded by the listener's.
type watcher struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelFunc
}

// watch gives a context that ends when the other side closes conn. The caller
// calls stop once it has no more use for it.
func (w *watcher) watch(conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		w.conns = map[net.Conn]context.CancelFunc{}
		go w.run(w.conns)
	}
	w.conns[conn] = cancel
	return ctx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, conn)
	}
}

// run looks at one table of connections until it is empty. A table that has
// been empty is replaced, so that each has one goroutine.
func (w *watcher) run(conns map[net.Conn]context.CancelFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for range ticker.C {
		w.mu.Lock()
		if len(conns) == 0 {
			w.mu.Unlock()
			return
		}
		for conn, cancel := range conns {
			if gone(conn) {
				cancel()
			}
		}
		w.mu.Unlock()
	}
}

// gone says whether the other side has closed a connection.
func gone(conn net.Conn) bool {
	n, errno, ok := peek(conn)
	return ok && (n == 0 && errno == nil || errno != nil && errno != syscall.EAGAIN && errno != syscall.EINTR)
}

// pending says whether there is something to read on a connection.
func pending(conn net.Conn) bool {
	n, _, ok := peek(conn)
	return ok && n > 0
}

// peek looks at what the other side has sent, and leaves it to be read. It is
// not ok for connections that can't be looked at.
func peek(conn net.Conn) (n int, errno error, ok bool) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err, true
	}
	return n, errno, true
}
