package follower_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Guards against reverting an accepted configuration. A node's peers are behind and
// send old snapshots, records with gaps, or pages that it has applied already, in any
// order, while the log comes and goes. No subscriber may see the offset decrease, and
// the state at an offset must be the one that the log gives.
func TestOffsetNeverDecreases(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			log := &fakelog.Log{}
			reference := startFollower(t, log)
			if err := submit(t, reference, follower.Draft{Body: bootstrap()}); err != nil {
				t.Fatal(err)
			}
			states := []*fold.State{reference.State()}
			var mu sync.Mutex // guards rnd and states
			arbitraryPeer := peerFunc(func(follower.NewerRequest) (follower.NewerResponse, error) {
				mu.Lock()
				defer mu.Unlock()
				return arbitraryResponse(t, rnd, log, states), nil
			})
			cut := &cutLog{Log: log}
			f := startFollower(t, cut, arbitraryPeer, arbitraryPeer)
			received, stop := f.Subscribe()
			defer stop()
			var last *fold.State
			for i := range 40 {
				mu.Lock()
				cut.cut.Store(rnd.IntN(3) > 0)
				pause := time.Duration(rnd.IntN(3000)) * time.Millisecond
				mu.Unlock()
				if err := submit(t, reference, limitDrafts(t, reference.State(), fmt.Sprint("p", i), i+1)...); err != nil {
					t.Fatal(err)
				}
				mu.Lock()
				states = append(states, reference.State())
				mu.Unlock()
				time.Sleep(pause)
				select {
				case s := <-received:
					checkState(t, last, s, states)
					last = s
				default:
				}
			}
			cut.cut.Store(false)
			awaitLimit(t, f, 40, 10*time.Second)
		})
	}
}

// arbitraryResponse returns a well-formed response that holds older or newer records
// or a snapshot.
func arbitraryResponse(t *testing.T, rnd *rand.Rand, log *fakelog.Log, states []*fold.State) follower.NewerResponse {
	s := states[rnd.IntN(len(states))]
	resp := follower.NewerResponse{Offset: s.Offset, Known: rnd.IntN(2) == 0}
	if rnd.IntN(2) == 0 {
		resp.Snapshot = encodedSnapshot(t, s)
		return resp
	}
	from := 1 + platform.Offset(rnd.IntN(len(states)))
	page, err := log.Read(t.Context(), record.Stream, from, 1+rnd.IntN(5), 0)
	if err != nil {
		t.Error(err)
	}
	resp.Records = page.Records
	return resp
}

func checkState(t *testing.T, last, s *fold.State, states []*fold.State) {
	t.Helper()
	if last != nil && s.Offset < last.Offset {
		t.Fatalf("offset %d after %d", s.Offset, last.Offset)
	}
	if s.Offset == 0 {
		return
	}
	want, got := marshal(t, states[s.Offset-1]), marshal(t, s)
	if want != got {
		t.Fatalf("at offset %d:\n%s\nwant\n%s", s.Offset, got, want)
	}
}

func marshal(t *testing.T, s *fold.State) string {
	t.Helper()
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestRelayOverNetRPC(t *testing.T) {
	log := &fakelog.Log{}
	f := startFollower(t, log)
	if err := submit(t, f, follower.Draft{Body: bootstrap()}); err != nil {
		t.Fatal(err)
	}
	// The follower applies the record, on which submit returns, before it notes that it
	// has read to the end of the log.
	for f.Status(time.Now()).AsOf.IsZero() {
		time.Sleep(time.Millisecond)
	}
	server := rpc.NewServer()
	if err := server.Register(follower.NewRelay(f)); err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	counted := &countedConn{Conn: clientConn}
	client := rpc.NewClient(counted)
	defer func() { _ = client.Close() }()
	for _, applied := range []platform.Offset{0, 1} {
		var resp follower.NewerResponse
		if err := client.Call("Relay.Newer", follower.NewerRequest{Applied: applied}, &resp); err != nil {
			t.Fatal(err)
		}
		if resp.Offset != 1 || !resp.Known || len(resp.Records) != 1-int(applied) {
			t.Errorf("after %d: %+v", applied, resp)
		}
	}
	before := counted.bytes.Load()
	const calls = 100
	for range calls {
		if err := client.Call("Relay.Newer", follower.NewerRequest{Applied: 1}, &follower.NewerResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d bytes both ways for a call without newer records", (counted.bytes.Load()-before)/calls)
}

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	bytes atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
