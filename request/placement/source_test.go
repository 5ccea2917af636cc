package placement

import (
	"testing"
	"time"
)

// Two data centres of engines, and a prompt of 10,000 tokens that one engine or the
// store holds. Nobody's choice is free: to compute costs the engine 0.1 s of
// everybody's time, a fetch only this caller's, twice as long from the other data
// centre.
func TestFetchIsFromTheNearestThatHolds(t *testing.T) {
	near, far := runners(2)[0], runners(2)[1]
	near.DataCentre, far.DataCentre = "one", "two"
	target := Upstream{Name: "target", DataCentre: "one", Slots: 64, Prefill: 100_000, Decode: 10 * time.Millisecond}
	chain := prompt(1, 1, 1, 1)
	shared := chain.Shared().Tokens()
	kept := func(version string) []Kept {
		return []Kept{{Store: "store", DataCentre: "two", Version: version, Tokens: shared}}
	}
	cases := []struct {
		name    string
		holders []Upstream
		kept    []Kept
		longest time.Duration
		want    string
	}{
		{"nobody holds it", nil, nil, time.Second, ""},
		{"an engine", []Upstream{far}, nil, time.Second, far.Name},
		{"the nearer of two", []Upstream{far, near}, nil, time.Second, near.Name},
		{"the nearer of two, heard of first", []Upstream{near, far}, nil, time.Second, near.Name},
		{"the store alone", nil, kept("v1"), time.Second, "store"},
		{"the store, of other weights", nil, kept("v2"), time.Second, ""},
		{"a near engine before a far store", []Upstream{near}, kept("v1"), time.Second, near.Name},
		{"no time for it", []Upstream{far}, nil, time.Millisecond, ""},
	}
	for _, c := range cases {
		a := New(Config{Declared: true, ImportRate: 200_000, StoreRate: 200_000, RemoteImport: 2,
			ImportLatency: time.Millisecond, LongestImport: c.longest})
		a.SetUpstreams(epoch, []Upstream{near, far, target})
		r := request(chain)
		r.Kept = c.kept
		for _, u := range []Upstream{near, far, target} {
			a.Loaded(epoch, u.Name, Load{Incarnation: 1, Version: "v1", At: epoch})
		}
		for _, u := range c.holders {
			told(a, epoch, u.Name, r, true)
		}
		r.Excluded = []string{near.Name, far.Name}
		r.Readable = r.Excluded
		d, err := a.Place(epoch, r)
		if err != nil || d.Source != c.want || d.Upstream != target.Name {
			t.Errorf("%s: to %s, source %q, want %q, %v", c.name, d.Upstream, d.Source, c.want, err)
		}
		if reads := d.Reads > 0; reads != (c.want == "") {
			t.Errorf("%s: reads %d shared tokens", c.name, d.Reads)
		}
	}
}

// An engine with a long queue holds a prompt's shared part, an idle one in the other
// data centre does not. A fetch takes longer than to compute the part there, and yet
// leaves that engine's time to all who wait behind.
func TestFetchIsWorthMoreWhereOthersWait(t *testing.T) {
	target := Upstream{Name: "target", DataCentre: "one", Slots: 64, Prefill: 100_000, Decode: 10 * time.Millisecond}
	holder := Upstream{Name: "holder", DataCentre: "two", Slots: 64, Prefill: 100_000, Decode: 10 * time.Millisecond}
	for _, queued := range []int{0, 100_000} {
		a := New(Config{Declared: true, ImportRate: 80_000, RemoteImport: 2, LongestImport: time.Second})
		a.SetUpstreams(epoch, []Upstream{target, holder})
		r := request(prompt(1, 1, 1, 1))
		a.Loaded(epoch, "target", Load{Incarnation: 1, Version: "v1", At: epoch, Queued: 20, QueuedTokens: queued})
		a.Loaded(epoch, "holder", Load{Incarnation: 1, Version: "v1", At: epoch})
		told(a, epoch, "holder", r, true)
		r.Excluded, r.Readable = []string{"holder"}, []string{"holder"}
		d, err := a.Place(epoch, r)
		if err != nil {
			t.Fatal(err)
		}
		if fetches := d.Source == "holder"; fetches != (queued > 0) {
			t.Errorf("%d tokens wait: source %q", queued, d.Source)
		}
	}
}
