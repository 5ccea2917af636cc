package gateway

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// startDecoder decodes entries whose value is the time of start; 0: none stated.
type startDecoder struct{ addressDecoder }

func (startDecoder) Upstream(r keyed.Record) (roster.Entry, error) {
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return roster.Entry{}, err
	}
	e := roster.Entry{ID: r.Key, Key: r.Key, Born: n, Address: r.Key}
	if n > 0 {
		e.ID += "@" + string(r.Value)
	}
	return e, nil
}

// testRead is one read of the register: key and value of each record.
type testRead [][2]string

// applyReads makes a node read the register and report to a peer. It returns the upstreams that
// each knows in the end, and how often each event was logged.
func applyReads(reads ...testRead) (own, atPeer []string, logged map[string]int) {
	core, logs := observer.New(zap.InfoLevel)
	l, peer := newLearner(), newLearner()
	l.log, l.decoder = zap.New(core), startDecoder{}
	handler := &registerHandler{learner: l, tellPeers: func(r RegisterRead) { peer.applyPeerRead(time.Unix(1000, 0), r) }}
	offset := keyed.Position(1)
	for _, read := range reads {
		u := keyed.Update{From: offset}
		for _, r := range read {
			u.Records = append(u.Records, keyed.Record{Key: r[0], Value: []byte(r[1]), Dropped: r[1] == "", Position: offset})
			offset++
		}
		u.Next = offset
		handler.Consume(time.Unix(1000, 0), u)
	}
	logged = lo.CountValuesBy(logs.All(), func(e observer.LoggedEntry) string { return e.Message })
	return rosterIDs(l.roster), rosterIDs(peer.roster), logged
}

func rosterIDs(r *roster.Roster) []string {
	entries, _ := r.Entries()
	return lo.Map(entries, func(e roster.Entry, _ int) string { return e.ID })
}

// Another writer overwrites an engine's key, or the engine starts again under it. When such an
// unreadable record was skipped, the key's previous entry stayed in use, and requests went on to an
// engine that was gone. From that record on, the key must name no upstream, here and at the peers.
// The other entries stay in use, and so does the key's next valid one.
func TestNewestRecordOfAKeyApplies(t *testing.T) {
	cases := []struct {
		name  string
		reads []testRead
		want  string
		warns int
	}{
		{"valid", []testRead{{{"a", "10"}}}, "a@10", 0},
		{"unreadable", []testRead{{{"a", "10"}, {"b", "5"}}, {{"a", "?"}}}, "b@5", 1},
		{"unreadable from the start", []testRead{{{"a", "?"}, {"b", "5"}}}, "b@5", 1},
		{"repeated", []testRead{{{"a", "10"}}, {{"a", "?"}, {"a", "?"}}, {{"a", "!"}}}, "", 1},
		{"valid again", []testRead{{{"a", "10"}}, {{"a", "?"}}, {{"a", "10"}}}, "a@10", 1},
		{"unreadable again", []testRead{{{"a", "10"}}, {{"a", "?"}}, {{"a", "10"}}, {{"a", "?"}}}, "", 2},
		{"both in one read", []testRead{{{"a", "10"}, {"a", "?"}, {"a", "10"}}}, "a@10", 1},
		{"started again", []testRead{{{"a", "10"}}, {{"a", "20"}}}, "a@20", 0},
		{"started again twice in one read", []testRead{{{"a", "10"}, {"a", "20"}, {"a", "30"}}}, "a@30", 0},
		{"late record of the former start", []testRead{{{"a", "10"}}, {{"a", "20"}}, {{"a", "10"}}}, "a@20", 0},
		{"late record of a former start that this node has not seen", []testRead{{{"a", "20"}}, {{"a", "10"}}, {{"a", "20"}}}, "a@20", 0},
		{"no longer has a start time", []testRead{{{"a", "10"}}, {{"a", "0"}}}, "", 1},
		{"no longer has a start time, with heartbeats", []testRead{{{"a", "10"}}, {{"a", "0"}}, {{"a", "0"}, {"a", "0"}}}, "", 1},
		{"no longer has a start time, after an unreadable record", []testRead{{{"a", "10"}}, {{"a", "?"}}, {{"a", "0"}}}, "", 1},
		{"another upstream under the key, after a deletion", []testRead{{{"a", "10"}}, {{"a", ""}}, {{"a", "0"}}}, "a", 0},
		{"never had a start time", []testRead{{{"a", "0"}}, {{"a", "0"}}}, "a", 0},
		{"gone", []testRead{{{"a", "10"}}, {{"a", "?"}}, {{"a", ""}}}, "", 1},
	}
	for _, c := range cases {
		own, atPeer, logged := applyReads(c.reads...)
		if got := strings.Join(own, " "); got != c.want {
			t.Errorf("%s: knows %q, want %q", c.name, got, c.want)
		}
		if got := strings.Join(atPeer, " "); got != c.want {
			t.Errorf("%s: the peer knows %q, want %q", c.name, got, c.want)
		}
		if got := logged[event.EntryUnreadable.String()]; got != c.warns {
			t.Errorf("%s: warned %d times, want %d", c.name, got, c.warns)
		}
	}
}

// While the register is unreachable, a missing entry may merely have expired with it. An entry that
// is present but names no upstream has not expired: its upstream must be out of use at once.
func TestUnusableEntryHasNotLapsed(t *testing.T) {
	l := newLearner()
	l.decoder = startDecoder{}
	handler := &registerHandler{learner: l, tellPeers: func(RegisterRead) {}}
	now := time.Unix(1000, 0)
	handler.Consume(now, keyed.Update{From: 1, Next: 2, Records: []keyed.Record{{Key: "a", Value: []byte("10"), Position: 1}}})
	handler.ReadFailed(now, nil)
	handler.Consume(now, keyed.Update{From: 2, Next: 3, Records: []keyed.Record{{Key: "a", Value: []byte("?"), Position: 2}}})
	if got := rosterIDs(l.roster); len(got) != 0 {
		t.Errorf("still in use: %v", got)
	}
}
