package placement

import (
	"cmp"
	"testing"
	"time"
)

// Two data centres have engines, and an engine or the store holds the shared 6,000
// tokens of a prompt. Computing them takes 0.06 s of the engine, which delays all
// requests there. A fetch takes only this caller's time, twice as long from the other
// data centre.
func TestFetchPrefersNearestHolder(t *testing.T) {
	near, far := testUpstreams(2)[0], testUpstreams(2)[1]
	near.DataCentre, far.DataCentre = "one", "two"
	target := Upstream{Name: "target", DataCentre: "one", Slots: 64, PrefillRate: 100_000, DecodeInterval: 10 * time.Millisecond}
	chain := prompt(1, 1, 1, 1)
	shared := chain.SharedLevels().Tokens()
	kept := func(version string) []StoredPrefix {
		return []StoredPrefix{{Store: "store", DataCentre: "two", Version: version, Tokens: shared}}
	}
	cases := []struct {
		name    string
		holders []Upstream
		kept    []StoredPrefix
		longest time.Duration
		want    string
	}{
		{"no holder", nil, nil, time.Second, ""},
		{"an engine", []Upstream{far}, nil, time.Second, far.Name},
		{"the nearer of two", []Upstream{far, near}, nil, time.Second, near.Name},
		{"the nearer of two, reported first", []Upstream{near, far}, nil, time.Second, near.Name},
		{"the store alone", nil, kept("v1"), time.Second, "store"},
		{"the store, of other weights", nil, kept("v2"), time.Second, ""},
		{"a near engine before a far store", []Upstream{near}, kept("v1"), time.Second, near.Name},
		{"import takes too long", []Upstream{far}, nil, time.Millisecond, ""},
	}
	for _, c := range cases {
		a := New(Config{DeclaredParts: true, ImportRate: 200_000, StoreImportRate: 200_000, RemoteImportFactor: 2,
			ImportLatency: time.Millisecond, MaxImportTime: c.longest})
		a.SetUpstreams(epoch, []Upstream{near, far, target})
		r := request(chain)
		r.StoredPrefixes = c.kept
		for _, u := range []Upstream{near, far, target} {
			a.RecordLoad(epoch, u.Name, Load{Incarnation: 1, Version: "v1", At: epoch})
		}
		for _, u := range c.holders {
			reportCache(a, epoch, u.Name, r, true)
		}
		r.Excluded = []string{near.Name, far.Name}
		r.CacheReadable = r.Excluded
		d, err := a.Place(epoch, r)
		if err != nil || d.Source != c.want || d.Upstream != target.Name {
			t.Errorf("%s: placed on %s, source %q, want %q, %v", c.name, d.Upstream, d.Source, c.want, err)
		}
		if reads := d.UncachedSharedTokens > 0; reads != (c.want == "") {
			t.Errorf("%s: %d shared tokens have to be computed", c.name, d.UncachedSharedTokens)
		}
	}
}

// The upstream that has to serve a request has a long queue, and one in the other data
// centre holds the shared part of the prompt. The fetch takes longer than computing
// the part, and yet has to be preferred, as it leaves the engine's time to the
// requests that wait there. Without a queue the part has to be computed.
func TestFetchIsPreferredOnBusyUpstream(t *testing.T) {
	target := Upstream{Name: "target", DataCentre: "one", Slots: 64, PrefillRate: 100_000, DecodeInterval: 10 * time.Millisecond}
	holder := Upstream{Name: "holder", DataCentre: "two", Slots: 64, PrefillRate: 100_000, DecodeInterval: 10 * time.Millisecond}
	for _, queued := range []int{0, 100_000} {
		a := New(Config{DeclaredParts: true, ImportRate: 80_000, RemoteImportFactor: 2, MaxImportTime: time.Second})
		a.SetUpstreams(epoch, []Upstream{target, holder})
		r := request(prompt(1, 1, 1, 1))
		a.RecordLoad(epoch, "target", Load{Incarnation: 1, Version: "v1", At: epoch, Queued: 20, QueuedTokens: queued})
		a.RecordLoad(epoch, "holder", Load{Incarnation: 1, Version: "v1", At: epoch})
		reportCache(a, epoch, "holder", r, true)
		r.Excluded, r.CacheReadable = []string{"holder"}, []string{"holder"}
		d, err := a.Place(epoch, r)
		if err != nil {
			t.Fatal(err)
		}
		if fetches := d.Source == "holder"; fetches != (queued > 0) {
			t.Errorf("%d queued tokens: source %q", queued, d.Source)
		}
	}
}

// Guards against caches that an engine reads although another software version wrote them.
func TestOtherSoftwareIsNoSource(t *testing.T) {
	cases := []struct {
		name         string
		software     string // of the holder and of what the store keeps
		holds, keeps bool
		want         string // source or fallback source
	}{
		{"an engine of the version", "s1", true, false, "holder"},
		{"the store has the version's", "s1", false, true, "store"},
		{"the second choice has the version", "s1", false, false, "holder"},
		{"an engine of another version", "s2", true, false, ""},
		{"the store has another version's", "s2", false, true, ""},
		{"the second choice has another version", "s2", false, false, ""},
	}
	for _, c := range cases {
		target := Upstream{Name: "target", Slots: 64, PrefillRate: 100_000, DecodeInterval: 10 * time.Millisecond, Software: "s1"}
		holder := target
		holder.Name, holder.Software = "holder", c.software
		a := New(Config{DeclaredParts: true, ImportRate: 200_000, StoreImportRate: 200_000, ImportLatency: time.Millisecond, MaxImportTime: time.Second})
		a.SetUpstreams(epoch, []Upstream{holder, target})
		r := request(prompt(1, 1, 1, 1))
		for _, u := range []Upstream{holder, target} {
			a.RecordLoad(epoch, u.Name, Load{Incarnation: 1, Version: "v1", At: epoch})
		}
		if c.holds {
			reportCache(a, epoch, holder.Name, r, true)
		}
		if c.keeps {
			r.StoredPrefixes = []StoredPrefix{{Store: "store", Version: "v1", Software: c.software, Tokens: r.Chain.SharedLevels().Tokens()}}
		}
		r.Excluded, r.CacheReadable = []string{holder.Name}, []string{holder.Name}
		d, err := a.Place(epoch, r)
		if got := cmp.Or(d.Source, d.FallbackSource); err != nil || got != c.want {
			t.Errorf("%s: source %q, want %q, %v", c.name, got, c.want, err)
		}
	}
}
