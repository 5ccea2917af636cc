package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// The log is down. A foreman who records hours must hear at once when to come
// back, and must not be told "not run": an earlier try may have run on a node
// that died, and only the log knows. An upstream that deduplicates keys by
// itself is served meanwhile. When the log is back, the key runs.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := start(t, log, "n1")
		if c, _, err := begin(j, entryAt("warm up", time.Now())); err != nil {
			t.Fatal(err)
		} else {
			c.NotSent(time.Now())
		}
		log.set(func() { log.down = true })
		time.Sleep(3 * time.Second)
		e := entryAt("key", time.Now())
		before := time.Now()
		_, _, err := begin(j, e)
		want(t, err, failure.ErrJournalUnavailable, failure.Unknown)
		if waited := time.Since(before); waited > 10*time.Millisecond {
			t.Fatalf("refused after %v", waited)
		}
		returns := map[time.Duration]bool{}
		for i := range 20 {
			_, _, err := begin(j, entryAt(string(rune('a'+i)), time.Now()))
			want(t, err, failure.ErrJournalUnavailable, failure.Unknown)
			after := failure.From(err).RetryAfter
			if after < j.settings.RetryAfter || after > 2*j.settings.RetryAfter {
				t.Fatalf("RetryAfter %v", after)
			}
			returns[after] = true
		}
		if len(returns) < 15 {
			t.Fatalf("%d of 20 callers come back at a time of their own", len(returns))
		}
		d := e
		d.Deduplicates = true
		c, _, err := begin(j, d)
		if err != nil || c.Recorded() || !c.MayBegin(time.Now()) {
			t.Fatalf("a deduplicating upstream is not served: %v", err)
		}
		c.NotSent(time.Now())
		log.set(func() { log.down = false })
		time.Sleep(3 * time.Second)
		c, _, err = begin(j, e)
		if err != nil || !c.Recorded() || !c.MayBegin(time.Now()) {
			t.Fatalf("not served after the outage: %v", err)
		}
		c.Ran(time.Now(), Answer{Status: 200})
	})
}

// The platform trims the log while a node runs and another starts. A key that
// ran within the horizon stays known to both.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		one := func(s *Settings) { s.Partitions = 1 }
		j := start(t, log, "n1", one)
		var last Entry
		for i := range 8 {
			last = entryAt(string(rune('a'+i)), time.Now())
			c, _, err := begin(j, last)
			if err != nil {
				t.Fatal(err)
			}
			c.Ran(time.Now(), Answer{Status: 200})
			time.Sleep(10 * time.Minute)
		}
		log.trim(3)
		for _, n := range []*Journal{j, start(t, log, "n2", one)} {
			_, _, err := begin(n, last)
			want(t, err, failure.ErrAlreadyRan, failure.Completed)
			if c, _, err := begin(n, entryAt("new "+n.settings.Node, time.Now())); err != nil {
				t.Fatal(err)
			} else {
				c.NotSent(time.Now())
			}
		}
	})
}
