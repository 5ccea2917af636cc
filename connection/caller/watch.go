package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"
)

// watchInterval is the time between two checks of the callers' connections.
const watchInterval = 250 * time.Millisecond

// disconnectWatcher detects callers that disconnect while nothing is being written to
// them. A write would fail, but a request may wait many seconds for its first token and
// hold a place in a queue or an engine slot meanwhile. One goroutine checks all
// connections and runs only while there are any. Their number is limited by the
// listener.
type disconnectWatcher struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelFunc
}

// watch returns a context that ends when the remote end closes conn. The caller calls
// stop when it no longer needs the context.
func (w *disconnectWatcher) watch(conn net.Conn) (ctx context.Context, stop func()) {
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

// run checks one table of connections until it is empty. An empty table is replaced by
// a new one, so that each table has exactly one goroutine.
func (w *disconnectWatcher) run(conns map[net.Conn]context.CancelFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for range ticker.C {
		w.mu.Lock()
		if len(conns) == 0 {
			w.mu.Unlock()
			return
		}
		for conn, cancel := range conns {
			if closedByRemote(conn) {
				cancel()
			}
		}
		w.mu.Unlock()
	}
}

// closedByRemote reports whether the remote end has closed a connection.
func closedByRemote(conn net.Conn) bool {
	n, errno, ok := peek(conn)
	return ok && (n == 0 && errno == nil || errno != nil && errno != syscall.EAGAIN && errno != syscall.EINTR)
}

// hasUnreadData reports whether a connection has data to read.
func hasUnreadData(conn net.Conn) bool {
	n, _, ok := peek(conn)
	return ok && n > 0
}

// peek checks for received data without consuming it. It returns false for a connection
// that has no file descriptor to check.
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
