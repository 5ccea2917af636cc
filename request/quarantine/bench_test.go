package quarantine

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkUnknownRequest measures the cost of a request that has no entry, with a body of
// 12 KB and a prompt of two shared parts: its digest, the check whether it is held, and the report of its
// answer.
func BenchmarkUnknownRequest(b *testing.B) {
	tracker, body := newTestTracker("n1"), make([]byte, 12<<10)
	now := start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		body[0], body[1], body[2] = byte(i), byte(i>>8), byte(i>>16)
		c := Content{Request: DigestOf([]byte("POST"), []byte("a.example"), []byte("/drafts/x"), []byte("sofia"), body)}
		c.Parts = []Part{NewPart("5c1e07a2"), NewPart(strconv.Itoa(i % 1000))}
		if tracker.Admit(now, c) != nil {
			b.Fatal("held")
		}
		tracker.ReportSurvival(now, c)
	}
}

// BenchmarkFullTable measures the memory of a full table of requests with three ends each.
func BenchmarkFullTable(b *testing.B) {
	benchmarkTable(b, 3, func(i int) Content { return digest(fmt.Sprint(i)) })
}

// BenchmarkFullTableOfParts measures the memory of a full table of parts with as many ends as are kept.
func BenchmarkFullTableOfParts(b *testing.B) {
	benchmarkTable(b, maxPartEnds, func(i int) Content {
		return Content{Request: Digest(1 + i), Workspace: "sofia", Parts: []Part{NewPart(strconv.Itoa(i))}}
	})
}

func benchmarkTable(b *testing.B, ends int, content func(i int) Content) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		tracker := newTestTracker("n1")
		for i := range maxEntries {
			now := start.Add(time.Duration(i) * 500 * time.Millisecond)
			for e := range ends {
				tracker.ReportEnd(now.Add(time.Duration(e)*sameEndWindow), content(i), fmt.Sprint(e))
			}
			tracker.ReportSurvival(start, digest(fmt.Sprint("other", i)))
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
		runtime.KeepAlive(tracker)
	}
}
