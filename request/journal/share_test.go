package journal

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Every node has lost its readers, though the members still list them, and
// all append for themselves. With a fixed interval for each node they would
// overrun the log together; they see each other in the stream and slow down.
func TestSharedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 16, 1, func(s *Settings) { s.Partitions, s.AppendBudget = 1, 50 })
		c.mu.Lock()
		for _, m := range c.members {
			c.cut[m.Name] = true
		}
		c.mu.Unlock()
		var calls sync.WaitGroup
		load := func(seconds int) {
			for n := range seconds * 100 {
				calls.Go(func() {
					if claim, _, err := begin(c.node(n%16), entryAt(fmt.Sprint("key", seconds, n), time.Now())); err == nil {
						claim.Ran(time.Now(), Answer{Status: 200})
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
		}
		load(10)
		log.set(func() { log.appends = 0 })
		load(20)
		var rate float64
		log.set(func() { rate = float64(log.appends) / 20 })
		calls.Wait()
		if rate > 55 {
			t.Fatalf("%.0f appends a second, with a budget of 50", rate)
		}
	})
}

// Plain rendezvous hashing gives some node two partitions to read, which is
// more than its share of bandwidth. Where there are nodes enough, each reads
// one, and a node that leaves moves few of the others' partitions.
func TestAssign(t *testing.T) {
	const partitions = 8
	for fleet := range 10 {
		var members []Member
		for i := range 51 {
			members = append(members, Member{Name: fmt.Sprintf("fleet%d-%d", fleet, i), DataCentre: "a"})
		}
		before := firstReaders(assign(members, "a", partitions))
		if n := len(slices.Compact(slices.Sorted(slices.Values(before)))); n != partitions {
			t.Fatalf("%d nodes read %d partitions", n, partitions)
		}
		for i := range members {
			after := firstReaders(assign(slices.Delete(slices.Clone(members), i, i+1), "a", partitions))
			moved := 0
			for n := range before {
				if before[n] != after[n] {
					moved++
				}
			}
			if moved > 3 {
				t.Errorf("without node %d, %d partitions have another reader", i, moved)
			}
		}
	}
}

func firstReaders(a assignment) (names []string) {
	for _, ranked := range a {
		names = append(names, ranked[0].Name)
	}
	return names
}
