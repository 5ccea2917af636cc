package keyed

import (
	"context"
	"errors"
	"testing"
	"time"
)

// peers is a scripted peer.
type peers struct {
	word Word
	err  error
	rely bool
	from []uint64 // of the questions
}

func (p *peers) Ask(_ context.Context, from uint64) (Word, error) {
	p.from = append(p.from, from)
	return p.word, p.err
}

func (p *peers) Rely() bool { return p.rely }

// The platform turns one node away. What operators publish meanwhile reaches it by
// its peers, and with it the proof by which callers' keys are honoured. A peer that
// knows less must not take it back, and one that knows nothing proves nothing: a key
// that was taken away would be honoured.
func TestPeersTellWhatThePlatformDoesNot(t *testing.T) {
	news := []Record{record("a", "2", 11)}
	cases := []struct {
		name    string
		word    Word
		err     error
		next    uint64        // known after it
		records int           // taken
		asOf    time.Duration // after the question; 0: nothing is taken
	}{
		{"news", Word{Known: true, Records: news, Next: 12, Sound: -time.Second}, nil, 12, 1, -1100 * time.Millisecond},
		{"no news", Word{Known: true, Next: 9, Sound: -2 * time.Second}, nil, 9, 0, -2200 * time.Millisecond},
		{"a proof from after the question's arrival", Word{Known: true, Next: 9, Sound: time.Second}, nil, 9, 0, 900 * time.Millisecond},
		{"it knows less", Word{Known: true, Records: []Record{record("a", "0", 3)}, Next: 4, Sound: -time.Second}, nil, 9, 0, -1100 * time.Millisecond},
		{"it knows nothing", Word{}, nil, 9, 0, 0},
		{"it does not answer", Word{}, errors.New("cut"), 9, 0, 0},
	}
	for _, c := range cases {
		k := &taken{}
		f := k.follower(&topic{newest: []answer{{end: 9}}, reads: []answer{{err: errors.New("turned away")}}})
		p := &peers{word: c.word, err: c.err}
		f.cfg.Peers = p
		for range 2 {
			if f.step(context.Background(), start) != nil {
				_ = f.askPeers(context.Background(), true) // the cases say when it fails
			}
		}
		if next, _ := f.position(); next != c.next || len(p.from) != 1 || p.from[0] != 9 {
			t.Errorf("%s: known up to %d, want %d; asked from %v", c.name, next, c.next, p.from)
		}
		told := k.updates[1:]
		if (c.asOf != 0) != (len(told) == 1) {
			t.Errorf("%s: %+v", c.name, told)
			continue
		}
		if c.asOf != 0 && (len(told[0].Records) != c.records || !told[0].Relayed || told[0].AsOf.Sub(start) != c.asOf) {
			t.Errorf("%s: %+v, want %d records as of %v", c.name, told[0], c.records, c.asOf)
		}
	}
}

// A node that has not read the topic yet, or missed what the platform has trimmed,
// needs all that there is.
func TestPeersTellEverythingToOneThatMissedSomething(t *testing.T) {
	word := Word{Known: true, Records: []Record{record("a", "2", 11), record("b", "1", 3)}, Next: 12}
	for _, c := range []struct {
		known uint64 // before its history was trimmed
		want  error
	}{{0, nil}, {9, nil}, {30, ErrStale}} {
		k := &taken{}
		f := k.follower(&topic{})
		f.next = c.known
		p := &peers{word: word}
		f.cfg.Peers = p
		if err := f.askPeers(context.Background(), true); !errors.Is(err, c.want) {
			t.Errorf("known up to %d: %v, want %v", c.known, err, c.want)
		}
		if took := len(k.updates) == 1 && k.updates[0].Complete; took != (c.want == nil) || p.from[0] != 0 {
			t.Errorf("known up to %d: %+v, asked from %v", c.known, k.updates, p.from)
		}
	}
}

// In a large fleet most nodes leave the questions to a few. The platform is asked by
// one that relies on others only when those do not answer, or are cut off from it
// themselves: their word proves nothing, and every caller with a key would be refused.
// Its own answer holds for a while; a question each 0.3 s from each node of a data
// centre would be too many.
func TestRelyingSparesThePlatform(t *testing.T) {
	const most = 2 * time.Second
	old := Word{Known: true, Next: 9, Sound: -3 * time.Second}
	steps := []struct {
		name  string
		at    time.Duration
		word  Word
		err   error
		asked bool // the platform
	}{
		{"peers answer", 0, Word{Known: true, Next: 9}, nil, false},
		{"they do not, their last word is young", time.Second, Word{}, errors.New("cut"), false},
		{"they do not", 3 * time.Second, Word{}, errors.New("cut"), true},
		{"they are cut off, the own answer is young", 4 * time.Second, old, nil, false},
		{"they are cut off", 6 * time.Second, old, nil, true},
	}
	k, tp, p := &taken{}, &topic{}, &peers{rely: true}
	f := k.follower(tp)
	now := start
	f.cfg.Clock = func() time.Time { return now }
	f.cfg.Peers, f.cfg.RelyMost, f.cfg.Wait = p, most, time.Second
	for _, s := range steps {
		now = start.Add(s.at)
		p.word, p.err = s.word, s.err
		tp.reads = []answer{{end: 9}}
		if err := f.step(context.Background(), now); err != nil {
			t.Errorf("%s: %v", s.name, err)
		}
		if asked := len(tp.reads) == 0; asked != s.asked {
			t.Errorf("%s: the platform was asked: %v", s.name, asked)
		}
	}
	for _, wait := range tp.waits {
		if wait != 0 {
			t.Errorf("a question was held for %v", wait)
		}
	}
}

// What a node tells is what it was told or read itself: the newest record of each
// key and the youngest proof.
func TestWordHasTheNewestOfEachKey(t *testing.T) {
	tp := &topic{
		newest: []answer{{records: []Record{record("a", "1", 3), record("b", "1", 4)}, end: 5}},
		reads:  []answer{{records: []Record{record("a", "2", 5)}, end: 6}},
	}
	k := &taken{}
	f := k.follower(tp)
	f.cfg.Peers = &peers{}
	if w := f.Word(start, 0); w.Known {
		t.Errorf("%+v before anything was read", w)
	}
	for i := range 2 {
		if err := f.step(context.Background(), start.Add(time.Duration(i)*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	w := f.Word(start.Add(3*time.Second), 0)
	if len(w.Records) != 2 || w.Records[0].Key != "b" || string(w.Records[1].Value) != "2" || w.Next != 6 || w.Sound != -2*time.Second {
		t.Errorf("%+v", w)
	}
	if w := f.Word(start, 5); len(w.Records) != 1 {
		t.Errorf("%d records from 5 on, want 1", len(w.Records))
	}
}
