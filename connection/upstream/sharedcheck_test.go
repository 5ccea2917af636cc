package upstream

import (
	"sync"
	"testing"
	"time"
)

// Guards against a check for each of many requests, and against one from before their connections broke.
func TestSharedCheckIsFromAfterTheTime(t *testing.T) {
	var c SharedCheck[int]
	checks := 0 // guarded by c
	begun, finish := make(chan bool, 2), make(chan bool, 2)
	check := func() int {
		checks++
		begun <- true
		<-finish
		return checks
	}
	brokenAt := time.Now()
	var first, second sync.WaitGroup
	first.Go(func() {
		if got := c.ResultSince(brokenAt, check); got != 1 {
			t.Errorf("result of check %d", got)
		}
	})
	<-begun
	duringCheck := time.Now()
	for range 20 {
		second.Go(func() {
			if got := c.ResultSince(duringCheck, check); got != 2 {
				t.Errorf("result of check %d, want one that began later than the first", got)
			}
		})
	}
	finish <- true
	first.Wait()
	finish <- true
	second.Wait()
	if got := c.ResultSince(brokenAt, check); got != 2 {
		t.Errorf("result of check %d, want the last one", got)
	}
	if checks != 2 {
		t.Errorf("%d checks for 22 requests", checks)
	}
}
