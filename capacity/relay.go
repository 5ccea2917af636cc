package capacity

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes connections on to another address on loopback and counts the
// bytes and the writes in both directions.
type relay struct {
	ln     net.Listener
	target string
	bytes  atomic.Int64
	wg     sync.WaitGroup

	mu    sync.Mutex // guards conns
	conns []net.Conn
}

func newRelay(target string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target}
	r.wg.Go(r.accept)
	return r, nil
}

// Address is where the relay listens.
func (r *relay) Address() string { return r.ln.Addr().String() }

// Close cuts the connections and waits.
func (r *relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		r.wg.Go(func() { r.pass(far, near) })
		r.wg.Go(func() { r.pass(near, far) })
	}
}

func (r *relay) pass(to, from net.Conn) {
	_, _ = io.Copy(counted{to, r}, from)
	_ = to.Close()
}

// counted counts what is written. Each write stands for one packet or more.
type counted struct {
	net.Conn
	relay *relay
}

// Write implements io.Writer.
func (c counted) Write(p []byte) (int, error) {
	packets := (len(p) + packetPayload - 1) / packetPayload
	c.relay.bytes.Add(int64(len(p) + packets*packetHeader))
	return c.Conn.Write(p)
}

// count gives the bytes on the wire while f runs, packet heads included,
// acknowledgements of their own not.
func (r *relay) count(f func()) float64 {
	before := r.bytes.Load()
	f()
	// What was answered has been counted; what is still on its way back in
	// the other direction has not.
	time.Sleep(time.Millisecond)
	return float64(r.bytes.Load() - before)
}
