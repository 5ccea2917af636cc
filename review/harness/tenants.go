package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case.
const (
	tenantsPerSecond = 20
	tenantsLength    = 25 * time.Second
	tenantsChange    = 8 * time.Second // after the begin of the traffic
	tenantsRevoke    = 5 * time.Second // bound for a key that was taken away
)

// runTenants takes the last tenant with its key away.
func runTenants(w *world) (verdict, error) {
	before := []tenant{{Name: "sofia", Keys: []string{"key-of-sofia"}, Priority: 1}}
	after := before
	if w.trouble {
		after = []tenant{}
	}
	if err := w.start(before, nil); err != nil {
		return cannotRun, err
	}
	acknowledged := make(chan time.Time, 1)
	go func() {
		time.Sleep(tenantsChange)
		acknowledged <- w.configure(2, after)
	}()
	all := w.traffic(tenantsPerSecond, tenantsLength, func(i int) call {
		key := "key-of-sofia"
		if i%2 == 1 {
			key = "key-of-nobody"
		}
		id := fmt.Sprintf("a%06d", i)
		return call{id: id, method: http.MethodPost, host: host, path: "/nearest/" + id, key: key, deadline: 600 * time.Millisecond}
	})
	since := <-acknowledged
	v, served := held, 0
	for _, a := range all {
		if a.status == http.StatusOK {
			served++
		}
		for range w.runsOf(a.id) {
			switch {
			case a.key == "key-of-nobody":
				v = broken
				w.note("BROKEN (ROUTE): %s ran with a key that no configuration ever held, %.1f s after the acknowledgement", a.id, a.sentAt.Sub(since).Seconds())
			case w.trouble && a.sentAt.After(since.Add(tenantsRevoke)):
				v = broken
				w.note("BROKEN (CONFIG): %s ran with a key that was taken away %.1f s before it was sent", a.id, a.sentAt.Sub(since).Seconds())
			}
		}
	}
	w.note("%d calls, %d served; broken: %t", len(all), served, v == broken)
	if served == 0 {
		return cannotRun, nil
	}
	return v, nil
}
