package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// Guards against a register that returns from an older copy and takes upstreams out of use that have yet to
// write their entries again, or brings back those that are gone.
func TestOlderCopyOfRegisterIsMadeGood(t *testing.T) {
	var reported []RegisterRead
	reader, cutOff := newLearner(), newLearner()
	handler := &registerHandler{learner: reader, tellPeers: func(r RegisterRead) { reported = append(reported, r) }}
	other := &registerHandler{learner: cutOff, tellPeers: func(RegisterRead) {}}
	start := time.Unix(1000, 0)
	record := func(key string, at keyed.Position) keyed.Record {
		return keyed.Record{Key: key, Value: []byte(key), Position: at}
	}
	before := keyed.Update{From: keyed.At(1, 1), Next: keyed.At(1, 6), Records: []keyed.Record{
		record("stays", keyed.At(1, 1)), record("late", keyed.At(1, 2)), record("left", keyed.At(1, 3)), record("lost", keyed.At(1, 4)),
		{Key: "left", Dropped: true, Position: keyed.At(1, 5)},
	}}
	handler.Consume(start, before)
	other.Consume(start, before)
	other.ReadFailed(start, nil)
	reported = nil
	back := start.Add(time.Second)
	handler.Consume(back, keyed.Update{Complete: true, Next: keyed.At(2, 5), Records: []keyed.Record{
		record("stays", keyed.At(2, 1)), record("left", keyed.At(2, 3)), record("new", keyed.At(2, 4)),
	}})
	if got := usable(reader); got != "late lost new stays" {
		t.Errorf("right after the return: %s", got)
	}
	handler.Consume(back.Add(time.Second), keyed.Update{From: keyed.At(2, 5), Next: keyed.At(2, 6), Records: []keyed.Record{record("late", keyed.At(2, 5))}})
	handler.Consume(back.Add(3*time.Second), keyed.Update{From: keyed.At(2, 6), Next: keyed.At(2, 6)})
	for _, r := range reported {
		cutOff.applyPeerRead(back.Add(3*time.Second), r)
	}
	for _, l := range []*learner{reader, cutOff} {
		if got := usable(l); got != "late new stays" {
			t.Errorf("later: %s", got)
		}
	}
	handler.Consume(back.Add(5*time.Second), keyed.Update{From: keyed.At(2, 6), Next: keyed.At(2, 7), Records: []keyed.Record{record("lost", keyed.At(2, 6))}})
	if got := usable(reader); got != "late lost new stays" {
		t.Errorf("after an upstream has written its entry late: %s", got)
	}
}

// usable returns the names of the upstreams that take new requests.
func usable(l *learner) string {
	entries, _ := l.roster.Entries()
	var names []string
	for _, e := range entries {
		if !e.Leaving {
			names = append(names, e.ID)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Guards against a node cut off from the register that goes on using an upstream whose entry was missing
// when the register returned and has not come back.
func TestExpiredEntryIsReportedToPeers(t *testing.T) {
	var reported []RegisterRead
	reader, cutOff := newLearner(), newLearner()
	handler := &registerHandler{learner: reader, tellPeers: func(r RegisterRead) { reported = append(reported, r) }}
	other := &registerHandler{learner: cutOff, tellPeers: func(RegisterRead) {}}
	start := time.Unix(1000, 0)
	entry := keyed.Update{Records: []keyed.Record{{Key: "a", Value: []byte("x"), Position: 1}}, From: 1, Next: 2}
	handler.Consume(start, entry)
	other.Consume(start, entry)
	handler.ReadFailed(start, nil)
	other.ReadFailed(start, nil)
	for i, u := range []keyed.Update{
		{Records: []keyed.Record{{Key: "a", Dropped: true, Position: 2}}, From: 2, Next: 3},
		{From: 3, Next: 3},
		{From: 3, Next: 3},
	} {
		handler.Consume(start.Add(time.Duration(i+1)*1500*time.Millisecond), u)
	}
	for _, r := range reported {
		cutOff.applyPeerRead(start.Add(5*time.Second), r)
	}
	for _, l := range []*learner{reader, cutOff} {
		if all, _ := l.roster.Entries(); len(all) > 0 {
			t.Errorf("still in use: %+v", all)
		}
	}
}
