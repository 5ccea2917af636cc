package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"
)

// Figures of the case. The disruptions stay inside what the site file names.
const (
	killPerSecond = 60
	killLength    = 40 * time.Second
	// killFirst is when the first process is killed, killPause the time to the next, and killCount how
	// many are: one at a time.
	killFirst  = 10 * time.Second
	killPause  = 10 * time.Second
	killCount  = 3
	killDown   = time.Second // until a killed process is started again
	killPieces = 40
	killGap    = 100 * time.Millisecond // between two pieces
	// unframedShare is the part of the answers of unframedRunners that have no length, from
	// unframedBefore each kill on, for unframedFor.
	unframedShare   = 0.05
	unframedRunners = 3 // of modelRunners: 0.6
	unframedBefore  = 5 * time.Second
	unframedFor     = 5500 * time.Millisecond
)

// runKill kills single processes while streams pass through them, some of which have no length.
func runKill(w *world) (verdict, error) {
	keys := []tenant{{Name: "sofia", Keys: []string{"key-of-sofia"}, Priority: 1}}
	var began atomic.Pointer[time.Time] // of the traffic
	plan := func(r *http.Request) answerPlan {
		return answerPlan{pieces: killPieces, pause: killGap, unframed: isUnframed(r, time.Since(*began.Load()))}
	}
	if err := w.start(keys, plan); err != nil {
		return cannotRun, err
	}
	now := time.Now()
	began.Store(&now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.killInTurn()
	}()
	all := w.traffic(killPerSecond, killLength, func(i int) call {
		id := fmt.Sprintf("a%06d", i)
		return call{
			id: id, method: http.MethodPost, host: host, path: "/audit/" + id, key: "key-of-sofia", body: "prompt " + id, deadline: 15 * time.Second,
			fields: fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 700,200\r\nX-Prefix-Hash: aa:500,%s:200\r\n", modelName, id),
		}
	})
	<-done
	return w.judgeWhole(all), nil
}

// isUnframed decides by the time, the runner and the attempt which answers have no length.
func isUnframed(r *http.Request, at time.Duration) bool {
	since := at - (killFirst - unframedBefore)
	if since < 0 || since > killPause*(killCount-1)+unframedFor || since%killPause > unframedFor {
		return false
	}
	var n int
	if _, err := fmt.Sscanf(r.Header.Get("X-Expect-Instance"), "i-lm-%d", &n); err != nil || n >= unframedRunners {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get("X-Attempt-Id")))
	return float64(h.Sum32()%1000) < 1000*unframedShare
}

// killInTurn kills one process after the other, and starts each again.
func (w *world) killInTurn() {
	if !w.trouble {
		return
	}
	time.Sleep(killFirst)
	for i := range killCount {
		n := w.nodes[i%len(w.nodes)]
		w.note("SIGKILL to %s", n.name)
		n.kill()
		time.Sleep(killDown)
		if err := n.start(); err != nil {
			w.note("%s does not start: %v", n.name, err)
			return
		}
		w.note("%s started again", n.name)
		time.Sleep(killPause - killDown)
	}
}

// judgeWhole looks for successes that came to their end without the runner's whole body.
func (w *world) judgeWhole(all []answered) verdict {
	v, whole, cut, unframed := held, 0, 0, 0
	for _, a := range all {
		runs := w.runsOf(a.id)
		if a.status < 200 || a.status > 299 || len(runs) == 0 {
			continue
		}
		if a.framing == "close" {
			unframed++
		}
		switch {
		case !a.whole:
			cut++
		case a.body != runs[len(runs)-1].whole:
			v = broken
			w.note("BROKEN (MIXED): %s by %s: a success with seal %q that ended in order has %d bytes of the runner's %d", a.id, a.node, a.seal, len(a.body), len(runs[len(runs)-1].whole))
		default:
			whole++
		}
	}
	w.note("%d calls: %d whole, %d seen to be cut, %d without a length; broken: %t", len(all), whole, cut, unframed, v == broken)
	if whole == 0 {
		w.note("nothing was served")
		return cannotRun
	}
	return v
}
