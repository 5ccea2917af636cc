package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// unhurried has streams that outlast the notice of a node that leaves.
var unhurried = layout{
	engines:     standard.engines,
	engineFlags: []string{"--slots", "64", "--prefill-rate", "200000", "--cache-tokens", "200000", "--decode", "30ms"},
	nodes:       4,
	settings:    "Limits: {HeaderTimeout: 5s}\n",
}

// balancer knows which nodes are ready, as the platform's does.
type balancer struct {
	site  *site
	ready []atomic.Bool
	turn  atomic.Uint64
}

func (s *site) balance(ctx context.Context) *balancer {
	b := &balancer{site: s, ready: make([]atomic.Bool, len(s.nodes))}
	for i := range s.nodes {
		b.ready[i].Store(true)
		go func() {
			for ctx.Err() == nil {
				b.ready[i].Store(get(s.nodes[i].callers, "/ready", nil) == nil)
				time.Sleep(pollInterval)
			}
		}()
	}
	return b
}

// next gives the next ready node.
func (b *balancer) next() int {
	for {
		i := int(b.turn.Add(1)) % len(b.ready)
		if b.ready[i].Load() {
			return i
		}
	}
}

// steady sends chats through the balancer until it is stopped, over
// connections that are kept alive. A connection that was refused was not
// accepted, so the balancer tries the next node.
func (s *site) steady(callers int, b *balancer) *crowd {
	c := &crowd{}
	for i := range callers {
		c.wait.Go(func() {
			random := rand.New(rand.NewPCG(5, uint64(i)))
			for !c.stop.Load() {
				chat := workload.Next(random)
				node := b.next()
				err := s.askOnce(context.Background(), node, chat)
				if !errors.Is(err, syscall.ECONNREFUSED) {
					c.add(outcome{tries: []attempt{{node: node, err: err}}, err: err})
				}
				time.Sleep(pause)
			}
		})
	}
	s.t.Cleanup(func() { c.stopAll() })
	return c
}

// Callers see streams cut and connections reset whenever nodes are replaced,
// 450 times a day. The node that is told to stop closes its listener and its
// connections while streams run, and while callers on kept-alive connections
// are sending their next request. It has to turn its readiness first, answer
// with "Connection: close", and let what it accepted run to its end.
func TestLeavingNodesCutNoRequest(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		leaves [][]int // nodes that leave at once, one after the other
	}{
		{"one after the other", [][]int{{0}, {1}, {2}, {3}}},
		{"a whole data centre", [][]int{{0, 2}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, unhurried)
			c := s.steady(40, s.balance(t.Context()))
			c.awaitDone(t, 40)
			for _, nodes := range tt.leaves {
				s.replace(c, nodes)
			}
			c.awaitDone(t, c.done.Load()+40)
			for _, o := range c.stopAll() {
				if o.err != nil {
					t.Errorf("%s: %v", nodeName(o.tries[0].node), o.err)
				}
			}
		})
	}
}

// replace has nodes leave at the same moment, and starts them again.
func (s *site) replace(c *crowd, nodes []int) {
	for _, i := range nodes {
		s.nodes[i].signal(syscall.SIGTERM)
	}
	for _, i := range nodes {
		if err := s.nodes[i].awaitEnd(); err != nil {
			s.t.Errorf("%s ended with %v", nodeName(i), err)
		}
		if slices.ContainsFunc(s.nodes[i].lines(), func(l line) bool { return l.Name == "GraceExceeded" }) {
			s.t.Errorf("%s cut requests", nodeName(i))
		}
		s.nodes[i].start()
	}
	for _, i := range nodes {
		s.awaitReady(s.nodes[i])
	}
	c.awaitDone(s.t, c.done.Load()+20)
}

// A caller that goes away leaves its stream running: nobody reads it, and it
// takes a slot of the engine that others wait for. The node has to notice and
// cancel the work, although an engine that has nothing to send for a while
// gives it no reason to write to the caller.
func TestVanishedCallersFreeTheEngine(t *testing.T) {
	t.Parallel()
	l := small
	// One slot, and an answer of at least 8 tokens takes longer than the test
	// waits for anything: only cancelled work frees it in time.
	l.engineFlags = []string{"--slots", "1", "--queue", "100", "--prefill-rate", "200000", "--decode", "20s", "--orphan", "10m"}
	s := newSite(t, l)
	ctx, vanish := context.WithCancel(t.Context())
	gone := make(chan error, 10)
	for i := range cap(gone) {
		go func() {
			_, err := s.nodes[0].client.Stream(ctx, chatOf(alpha, i))
			gone <- err
		}()
	}
	await(t, "work in the engine", func() error { return s.work(0) })
	vanish()
	for range cap(gone) {
		if err := <-gone; err == nil {
			t.Error("an answer was whole although its caller went away")
		}
	}
	await(t, "end of the work", func() error {
		if s.work(0) == nil {
			return errors.New("work is left")
		}
		return nil
	})
	if c := s.engineCounters(0); c.Cancelled == 0 || c.Finished > 0 {
		t.Errorf("cancelled %d, finished %d", c.Cancelled, c.Finished)
	}
	await(t, "idle node", func() error {
		st, err := s.status(0)
		if err == nil && st.InFlight+st.Queued > 0 {
			err = errors.New("requests are left")
		}
		return err
	})
}

// Some callers send a part of a request and no more. Each holds a connection,
// and a node that waited for the rest for ever would have none left; here far
// more of them come than others, who are all served meanwhile. The node closes
// them after its header timeout.
func TestSlowSendersHoldNobodyUp(t *testing.T) {
	t.Parallel()
	const slow = 200
	l := small
	l.settings = "Limits: {HeaderTimeout: 2s, MaxConnections: 300}\n"
	s := newSite(t, l)
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + keyOf(alpha) + "\r\n"
	parts := []string{head, head + "Content-Length: 1000\r\n\r\n{\"model\":"}
	ended := make(chan error, slow)
	for i := range slow {
		conn, err := net.Dial("tcp", s.nodes[0].callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, parts[i%len(parts)]); err != nil {
			t.Fatal(err)
		}
		go func() {
			_, err := io.ReadAll(conn)
			ended <- err
		}()
	}
	for i := range 50 {
		if err := s.askOnce(t.Context(), 0, chatOf(alpha, i)); err != nil {
			t.Error(err)
		}
	}
	for range slow {
		if err := <-ended; err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a slow connection ended with %v", err)
		}
	}
}

// A node freezes for longer than its header timeout while callers who opened
// their connections before send their requests. When it wakes, the time to
// read them is over before the first look, and closing the connections would
// reset them: their callers could not know whether the requests ran. They are
// served or told that nothing ran.
func TestFrozenNodeAnswersWhatCameMeanwhile(t *testing.T) {
	t.Parallel()
	s := newSite(t, small) // its header timeout is 1 s
	n := s.nodes[0]
	var conns []net.Conn
	for range 60 {
		conn, err := net.Dial("tcp", n.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	s.awaitReady(n) // later connections are accepted after these
	n.signal(syscall.SIGSTOP)
	for _, conn := range conns {
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			chatPath, keyOf(alpha), len(soundChat), soundChat); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1500 * time.Millisecond) // shorter or longer, no answer may be missing
	n.signal(syscall.SIGCONT)
	for _, conn := range conns {
		answer, err := io.ReadAll(conn)
		served := bytes.HasPrefix(answer, []byte("HTTP/1.1 200 "))
		refused := bytes.HasPrefix(answer, []byte("HTTP/1.1 503 ")) && bytes.Contains(answer, []byte(`"ran":"NotRun"`))
		if err != nil || !served && !refused {
			t.Errorf("got %q, %v", answer, err)
		}
	}
}

// work gives an error if an engine has nothing to do.
func (s *site) work(engine int) error {
	var r struct{ Running, Queued int }
	if err := get(s.engines[engine].address, "/report", &r); err != nil {
		return err
	}
	if r.Running+r.Queued == 0 {
		return errors.New("idle")
	}
	return nil
}
