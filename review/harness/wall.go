package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case.
const (
	wallPerSecond = 20
	wallLength    = 30 * time.Second
	wallChange    = 12 * time.Second // after the begin of the traffic
	// wallApply is the bound for a configuration; requests that were sent sooner after its
	// acknowledgement don't count.
	wallApply = 2 * time.Second
	wallParts = 3 // shared openings of the prompts
)

// runWall isolates a tenant whose requests have shared cached parts with the other tenants.
func runWall(w *world) (verdict, error) {
	before := []tenant{
		{Name: "tenant-a", Keys: []string{"key-of-a"}, Priority: 1},
		{Name: "tenant-b", Keys: []string{"key-of-b"}, Priority: 1},
		{Name: "tenant-c", Keys: []string{"key-of-c"}, Priority: 1, Isolated: true},
	}
	after := append([]tenant{}, before...)
	after[0].Isolated = w.trouble
	if err := w.start(before, func(*http.Request) answerPlan { return answerPlan{pieces: 5, pause: 20 * time.Millisecond} }); err != nil {
		return cannotRun, err
	}
	acknowledged := make(chan time.Time, 1)
	go func() {
		time.Sleep(wallChange)
		acknowledged <- w.configure(2, after)
	}()
	all := w.traffic(wallPerSecond, wallLength, func(i int) call {
		id := fmt.Sprintf("a%06d", i)
		return call{
			id: id, method: http.MethodPost, host: host, path: "/audit/" + id, key: before[i%len(before)].Keys[0], body: "prompt " + id, deadline: 15 * time.Second,
			fields: fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 1400,20\r\nX-Prefix-Hash: sys%d:1200,%s:200\r\n", modelName, i/len(before)%wallParts, id),
		}
	})
	return w.judgeWall(all, <-acknowledged, before, after), nil
}

// judgeWall looks for requests that used a part that a request of another tenant made, where one of the
// two is isolated.
func (w *world) judgeWall(all []answered, acknowledged time.Time, before, after []tenant) verdict {
	isolated := func(tenants []tenant, name string) bool {
		for _, t := range tenants {
			if t.Name == name {
				return t.Isolated
			}
		}
		return false
	}
	v, served, used, foreign := held, 0, 0, 0
	for _, a := range all {
		if a.status == http.StatusOK {
			served++
		}
		inForce := before
		switch {
		case a.sentAt.After(acknowledged.Add(wallApply)):
			inForce = after
		case a.sentAt.After(acknowledged.Add(-time.Second)):
			continue // either may be in force
		}
		for _, x := range w.runsOf(a.id) {
			for _, p := range x.used {
				used++
				if p.by == x.tenant {
					continue
				}
				foreign++
				if isolated(inForce, p.by) || isolated(inForce, x.tenant) {
					v = broken
					w.note("BROKEN (WALL): %s of %s, sent %.1f s after the acknowledgement, used part %s at %s, which %s of %s made %.1f s before; salt %s", a.id, x.tenant,
						a.sentAt.Sub(acknowledged).Seconds(), p.id, x.runner, p.byRun, p.by, x.at.Sub(p.at).Seconds(), p.salt)
				}
			}
		}
	}
	w.note("%d calls, %d served; %d cached parts used, %d of another tenant; broken: %t", len(all), served, used, foreign, v == broken)
	if served == 0 || used == 0 {
		return cannotRun
	}
	return v
}
