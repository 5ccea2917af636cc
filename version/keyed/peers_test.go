package keyed

import (
	"context"
	"errors"
	"testing"
	"time"
)

// scriptedPeers is a scripted peer.
type scriptedPeers struct {
	word PeerAnswer
	err  error
	rely bool
	from []Position // positions of the questions
}

func (p *scriptedPeers) Ask(_ context.Context, from Position) (PeerAnswer, error) {
	p.from = append(p.from, from)
	return p.word, p.err
}

func (p *scriptedPeers) Preferred() bool { return p.rely }

// Guards against a node that stays without news when the platform refuses it alone.
// What operators publish meanwhile reaches it through its peers, and with it the
// proof on which accepting callers' keys depends. A peer that knows less must not
// take the node back, and one that knows nothing proves nothing: a key that was
// removed would be accepted.
func TestPeerAnswersReplaceThePlatform(t *testing.T) {
	news := []Record{newRecord("a", "2", 11)}
	cases := []struct {
		name    string
		word    PeerAnswer
		err     error
		next    Position      // position known afterwards
		records int           // number of records consumed
		asOf    time.Duration // relative to the question; 0: nothing is consumed
	}{
		{"news", PeerAnswer{Known: true, Records: news, Next: 12, Sound: -time.Second}, nil, 12, 1, -1100 * time.Millisecond},
		{"no news", PeerAnswer{Known: true, Next: 9, Sound: -2 * time.Second}, nil, 9, 0, -2200 * time.Millisecond},
		{"a proof from after the question's arrival", PeerAnswer{Known: true, Next: 9, Sound: time.Second}, nil, 9, 0, 900 * time.Millisecond},
		{"the peer knows less", PeerAnswer{Known: true, Records: []Record{newRecord("a", "0", 3)}, Next: 4, Sound: -time.Second}, nil, 9, 0, -1100 * time.Millisecond},
		{"the peer knows nothing", PeerAnswer{}, nil, 9, 0, 0},
		{"the peer does not answer", PeerAnswer{}, errors.New("cut"), 9, 0, 0},
	}
	for _, c := range cases {
		k := &recorder{}
		f := k.follower(&scriptedTopic{newest: []answer{{end: 9}}, reads: []answer{{err: errors.New("turned away")}}})
		p := &scriptedPeers{word: c.word, err: c.err}
		f.cfg.Peers = p
		for range 2 {
			if f.askOnce(context.Background(), start) != nil {
				_ = f.askPeers(context.Background(), true) // the cases say when it fails
			}
		}
		if next, _ := f.position(); next != c.next || len(p.from) != 1 || p.from[0] != 9 {
			t.Errorf("%s: known up to %d, want %d; asked from %v", c.name, next, c.next, p.from)
		}
		updates := k.updates[1:]
		if (c.asOf != 0) != (len(updates) == 1) {
			t.Errorf("%s: %+v", c.name, updates)
			continue
		}
		if c.asOf != 0 && (len(updates[0].Records) != c.records || !updates[0].Relayed || updates[0].AsOf.Sub(start) != c.asOf) {
			t.Errorf("%s: %+v, want %d records as of %v", c.name, updates[0], c.records, c.asOf)
		}
	}
}

// Guards against gaps in what a peer returns. A node that has not read the topic yet,
// or that missed what the platform has trimmed, needs the newest record of every key.
func TestPeersReturnEverythingAfterAGap(t *testing.T) {
	word := PeerAnswer{Known: true, Records: []Record{newRecord("a", "2", 11), newRecord("b", "1", 3)}, Next: 12}
	for _, c := range []struct {
		known Position // position known before the node fell behind
		want  error
	}{{0, nil}, {9, nil}, {30, ErrStale}} {
		k := &recorder{}
		f := k.follower(&scriptedTopic{})
		f.next = c.known
		p := &scriptedPeers{word: word}
		f.cfg.Peers = p
		if err := f.askPeers(context.Background(), true); !errors.Is(err, c.want) {
			t.Errorf("known up to %d: %v, want %v", c.known, err, c.want)
		}
		if took := len(k.updates) == 1 && k.updates[0].Complete; took != (c.want == nil) || p.from[0] != 0 {
			t.Errorf("known up to %d: %+v, asked from %v", c.known, k.updates, p.from)
		}
	}
}

// Guards against too many and too few questions to the platform. In a large fleet
// most nodes ask a few others instead of the platform. Such a node asks the platform
// only if these do not answer or are cut off from it themselves: their answer proves
// nothing then, and every caller with a key would be refused. Its own answer is valid
// for a while, as a question every 0.3 s from each node of a data centre would be too
// many.
func TestPreferredPeersReplacePlatformReads(t *testing.T) {
	const most = 2 * time.Second
	old := PeerAnswer{Known: true, Next: 9, Sound: -3 * time.Second}
	steps := []struct {
		name  string
		at    time.Duration
		word  PeerAnswer
		err   error
		asked bool // whether the platform is asked
	}{
		{"peers answer", 0, PeerAnswer{Known: true, Next: 9}, nil, false},
		{"peers do not answer, their last proof is recent", time.Second, PeerAnswer{}, errors.New("cut"), false},
		{"peers do not answer", 3 * time.Second, PeerAnswer{}, errors.New("cut"), true},
		{"peers are cut off, the node's own proof is recent", 4 * time.Second, old, nil, false},
		{"peers are cut off", 6 * time.Second, old, nil, true},
	}
	k, tp, p := &recorder{}, &scriptedTopic{}, &scriptedPeers{rely: true}
	f := k.follower(tp)
	now := start
	f.cfg.Clock = func() time.Time { return now }
	f.cfg.Peers, f.cfg.MaxPeerProofAge, f.cfg.HoldTime = p, most, time.Second
	for _, s := range steps {
		now = start.Add(s.at)
		p.word, p.err = s.word, s.err
		tp.reads = []answer{{end: 9}}
		if err := f.askOnce(context.Background(), now); err != nil {
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

// Checks that a node answers peers with what it has read or been told: the newest
// record of each key and the latest proof.
func TestPeerAnswerHasTheNewestRecordOfEachKey(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{records: []Record{newRecord("a", "1", 3), newRecord("b", "1", 4)}, end: 5}},
		reads:  []answer{{records: []Record{newRecord("a", "2", 5)}, end: 6}},
	}
	k := &recorder{}
	f := k.follower(tp)
	f.cfg.Peers, f.cfg.AnswersPeers = &scriptedPeers{}, true
	if w := f.AnswerPeer(start, 0); w.Known {
		t.Errorf("%+v before anything was read", w)
	}
	for i := range 2 {
		if err := f.askOnce(context.Background(), start.Add(time.Duration(i)*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	w := f.AnswerPeer(start.Add(3*time.Second), 0)
	if len(w.Records) != 2 || w.Records[0].Key != "b" || string(w.Records[1].Value) != "2" || w.Next != 6 || w.Sound != -2*time.Second {
		t.Errorf("%+v", w)
	}
	if w := f.AnswerPeer(start, 5); len(w.Records) != 1 {
		t.Errorf("%d records from 5 on, want 1", len(w.Records))
	}
}

// Guards against a fleet whose nodes all read a large topic from the platform as they start together,
// and against a node that waits for peers that are gone.
func TestNewestRecordsAreLeftToPeersForAWhile(t *testing.T) {
	const patience = 9 * time.Second
	cases := []struct {
		name  string
		err   error // of the peers
		after time.Duration
		waits bool
	}{
		{"at first", errors.New("unreachable"), 0, true},
		{"no peer answers for a while", errors.New("unreachable"), patience / 3, false},
		{"a peer does not know them yet", ErrTopicUnknown, patience / 3, true},
		{"nor for long", ErrTopicUnknown, patience, false},
	}
	for _, c := range cases {
		k := &recorder{}
		f := k.follower(&scriptedTopic{newest: []answer{{end: 5}}})
		f.cfg.Peers, f.cfg.PeerPatience = &scriptedPeers{err: c.err, rely: true}, patience
		f.askedFirstAt = start
		err := f.askOnce(context.Background(), start.Add(c.after))
		if errors.Is(err, errAwaitingPeers) != c.waits || !c.waits && (err != nil || !f.hasNewest) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
