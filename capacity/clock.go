package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// processorTime is the processor time of this process so far. Unlike the
// time of day it doesn't grow while other processes have the processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("capacity: processor time: %v", err)) // never fails for this process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// median gives the middle one of the values.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// leastSpan is the least processor time that one measurement takes, so that
// the clock's grain doesn't count.
const leastSpan = 20 * time.Millisecond

// processorMicros gives the processor time of one call of f in microseconds:
// the median of several measurements of as many calls as fill leastSpan.
// Garbage collection is part of it.
func processorMicros(cfg Config, f func()) float64 {
	f()
	calls := 1
	for {
		if spent := spend(calls, f); spent >= leastSpan {
			break
		}
		calls *= 2
	}
	values := make([]float64, cfg.repeats())
	for i := range values {
		values[i] = spend(calls, f).Seconds() * 1e6 / float64(calls)
	}
	return median(values)
}

// spend runs f so many times and gives the processor time of all.
func spend(calls int, f func()) time.Duration {
	before := processorTime()
	for range calls {
		f()
	}
	return processorTime() - before
}

// heapBytes is what live objects take.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf gives the bytes that what build makes keeps live.
func heapOf[T any](build func() T) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}
