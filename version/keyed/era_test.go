package keyed

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a platform that returns from an older copy and whose answers are refused, as they end
// before what its lost records had reached.
func TestReadsRestartInNewEra(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: At(1, 9)}, {records: []Record{newRecord("a", "2", At(2, 3))}, end: At(2, 4)}, {end: At(1, 30)}},
		reads:  []answer{{err: ErrEraOver}, {records: []Record{newRecord("a", "3", At(2, 4))}, end: At(2, 5)}, {err: ErrEraOver}},
	}
	k := &recorder{}
	f := k.follower(tp)
	for i, want := range []error{nil, nil, nil, nil, nil, ErrStale} {
		if err := f.askOnce(context.Background(), start); !errors.Is(err, want) {
			t.Fatalf("step %d: %v, want %v", i, err, want)
		}
	}
	if len(k.updates) != 3 || !k.updates[1].Complete || tp.from[1] != At(2, 4) || f.next != At(2, 5) {
		t.Errorf("%+v, read from %v, next %s", k.updates, tp.from, f.next)
	}
}

// Guards against a restart that waits out the pause between two questions.
func TestRestartAsksAtOnce(t *testing.T) {
	tp := &scriptedTopic{newest: []answer{{end: At(1, 9)}, {end: At(2, 4)}}, reads: []answer{{err: ErrEraOver}}}
	f := (&recorder{}).follower(tp)
	f.cfg.Pause = time.Hour
	for range 2 {
		if err := f.askOnce(context.Background(), start); err != nil {
			t.Fatal(err)
		}
	}
	f.waitUntilDue(context.Background())
}

// Guards against positions of different eras that are taken for places in one history when nodes answer
// each other.
func TestPeersOfDifferentEras(t *testing.T) {
	for _, c := range []struct {
		name     string
		known    Position
		answer   PeerAnswer
		err      error
		complete bool
		next     Position
	}{
		{"the peer is an era behind", At(2, 4), PeerAnswer{Known: true, Next: At(1, 90)}, ErrEraOver, false, At(2, 4)},
		{"the peer is an era ahead", At(1, 90), PeerAnswer{Known: true, Complete: true, Next: At(2, 4)}, nil, true, At(2, 4)},
		{"the peer is in the same era", At(2, 4), PeerAnswer{Known: true, Next: At(2, 6)}, nil, false, At(2, 6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &recorder{}
			f := k.follower(&scriptedTopic{})
			f.cfg.Peers = &scriptedPeers{word: c.answer}
			f.hasNewest, f.next = true, c.known
			if err := f.askPeers(context.Background(), true); !errors.Is(err, c.err) {
				t.Errorf("%v, want %v", err, c.err)
			}
			if f.next != c.next || len(k.updates) > 0 && k.updates[0].Complete != c.complete {
				t.Errorf("next %s, %+v", f.next, k.updates)
			}
		})
	}
}

// Guards against an answer that lacks what an asker of an earlier era has to learn.
func TestAnswerToPeerOfEarlierEraIsComplete(t *testing.T) {
	f := (&recorder{}).follower(&scriptedTopic{newest: []answer{{records: []Record{newRecord("a", "1", At(2, 1)), newRecord("b", "1", At(2, 3))}, end: At(2, 4)}}})
	f.cfg.AnswersPeers = true
	if err := f.askOnce(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	if a := f.AnswerPeer(start, At(1, 90)); !a.Complete || len(a.Records) != 2 {
		t.Errorf("%+v", a)
	}
	if a := f.AnswerPeer(start, At(2, 2)); a.Complete || len(a.Records) != 1 {
		t.Errorf("%+v", a)
	}
}

// Guards against a report of another era that makes a node skip what it has not read.
func TestPeerReadOfAnotherEraIsNotTaken(t *testing.T) {
	f := (&recorder{}).follower(&scriptedTopic{})
	f.hasNewest, f.next = true, At(2, 4)
	f.RecordPeerRead(At(1, 3), At(1, 90))
	f.RecordPeerRead(At(3, 0), At(3, 2))
	if f.next != At(2, 4) {
		t.Errorf("next %s", f.next)
	}
}

// Guards against a node that asks its peers without a pause, as they have yet to learn of the new era.
func TestRestartAsksPeersOnceAtOnce(t *testing.T) {
	peers := &scriptedPeers{word: PeerAnswer{Known: true, Next: At(1, 90)}, rely: true}
	f := (&recorder{}).follower(&scriptedTopic{})
	f.cfg.Peers, f.cfg.PeerPause, f.cfg.MaxPeerProofAge = peers, time.Second, time.Minute
	f.next, f.proof = At(2, 4), start
	f.restart()
	if !f.behind {
		t.Error("the first question waits")
	}
	if err := f.askOnce(context.Background(), start); err != nil || f.behind {
		t.Errorf("the next question is due at once, %v", err)
	}
}
