package main

import (
	"time"
)

// versionBound is the time after which all runners have to have new weights: 1.5 x version_ms, and two seconds.
const versionBound = 17 * time.Second

// settle is the time between the disruption and the naming of new weights.
const settle = 4 * time.Second

// nameWeights names new weights, sends requests until the bound is over and judges the rule VERSION: more than one
// runner, and over a tenth of them, still have older weights.
func (w *world) nameWeights() int {
	w.store.put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	w.log("weights 2 are named and acknowledged")
	statuses := map[int]int{}
	for i, end := 0, time.Now().Add(versionBound); time.Now().Before(end); i++ {
		id, status, err := ask(w.nodes[i%len(w.nodes)].front)
		statuses[status]++
		w.log("request %s: status %d, %v", id, status, err)
		time.Sleep(50 * time.Millisecond)
	}
	w.log("the traffic ends: answers by status %v", statuses)
	engines, outdated := 0, 0
	for _, r := range w.list() {
		if !r.engine || !r.reachesStore() {
			continue
		}
		engines++
		held := r.heldVersion()
		if held < 2 {
			outdated++
		}
		ran, orders := r.counts()
		w.log("runner %s at %s: weights %d, %d requests run, %d orders", r.id, r.address, held, ran, orders)
	}
	w.log("%d of %d runners still have older weights", outdated, engines)
	if outdated > 1 && 10*outdated > engines {
		return broken
	}
	return held
}

// lateHeartbeat cuts two runners off from the store. They crash behind the cut and start again at their addresses. When
// the cut heals, the last heartbeats of the former starts arrive after the first ones of the new starts.
func lateHeartbeat(w *world) (int, error) {
	if err := w.open(map[string]int{"lm": 6, "app": 2}, 2); err != nil {
		return notPlay, err
	}
	time.Sleep(2 * time.Second)
	var cut, again []*runner
	for _, r := range w.list() {
		if r.engine && len(cut) < 2 {
			cut = append(cut, r)
		}
	}
	held := map[*runner]map[string]any{}
	for _, r := range cut {
		r.setCut(true)
		w.log("runner %s is cut off from the store", r.id)
	}
	time.Sleep(time.Second)
	for _, r := range cut {
		held[r] = r.entry()
		r.crash()
		next, err := startRunner(r.address, r.id+"-again", r.service)
		if err != nil {
			return notPlay, err
		}
		next.setCut(true)
		w.add(next)
		again = append(again, next)
		w.log("runner %s has crashed, %s has started at %s", r.id, next.id, r.address)
	}
	time.Sleep(4*heartbeat + time.Second) // the platform removes the entries of the former starts
	for _, r := range again {
		r.setCut(false)
		w.store.put("keyed.servers", r.id, r.entry())
		w.log("the cut heals: first heartbeat of %s", r.id)
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		for _, r := range cut {
			w.store.put("keyed.servers", r.id, held[r])
			w.log("late heartbeat of %s", r.id)
		}
	}
	time.Sleep(settle)
	return w.nameWeights(), nil
}

// oddEntry writes an entry of another writer under the ids of two runners, once.
func oddEntry(w *world) (int, error) {
	if err := w.open(map[string]int{"lm": 6, "app": 2}, 2); err != nil {
		return notPlay, err
	}
	time.Sleep(2 * time.Second)
	odd := 0
	for _, r := range w.list() {
		if !w.trouble || !r.engine || odd == 2 {
			continue
		}
		odd++
		e := map[string]any{
			"service": "another-service", "addr": "127.0.0.1:9", "zone": "lozenets", "version": "v1", "slots": 4,
			"state": "draining", "cold_left_ms": 0, "seq": 1,
		}
		w.store.put("keyed.servers", r.id, e)
		w.log("another writer leaves under %s: %v", r.id, e)
	}
	time.Sleep(settle)
	return w.nameWeights(), nil
}
