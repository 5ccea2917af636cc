package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRequest is what each request costs that nothing is known of, with a body of
// 12 KB: its digest, the question whether it is held, and the note of its answer.
func BenchmarkRequest(b *testing.B) {
	book, body := newBook("n1"), make([]byte, 12<<10)
	now := start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		body[0], body[1], body[2] = byte(i), byte(i>>8), byte(i>>16)
		c := ContentOf([]byte("POST"), []byte("a.example"), []byte("/drafts/x"), []byte("sofia"), body)
		if book.Admit(now, c) != nil {
			b.Fatal("held")
		}
		book.Survived(now, c)
	}
}

// BenchmarkFull is the memory of a table that is full, with three ends in each entry.
func BenchmarkFull(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		book := newBook("n1")
		for i := range maxEntries {
			c := content(fmt.Sprint(i))
			end(book, start, c, "a", "b", "c")
			book.Survived(start, content(fmt.Sprint("other", i)))
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
		runtime.KeepAlive(book)
	}
}
