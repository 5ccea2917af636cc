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

// born is a decoder of entries that are a time of start; 0: it isn't told.
type born struct{ plain }

func (born) Upstream(r keyed.Record) (roster.Entry, error) {
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

// look is one look at the register: key and value of each record.
type look [][2]string

// play has a node take looks in and tells another one of them; it gives what each
// knows in the end, and how often each event was logged.
func play(looks ...look) (own, told []string, logged map[string]int) {
	core, logs := observer.New(zap.InfoLevel)
	l, peer := newLearner(), newLearner()
	l.log, l.decoder = zap.New(core), born{}
	taker := &registerTaker{learner: l, tell: func(r RegisterRead) { peer.told(time.Unix(1000, 0), r) }}
	offset := uint64(1)
	for _, look := range looks {
		u := keyed.Update{From: offset}
		for _, r := range look {
			u.Records = append(u.Records, keyed.Record{Key: r[0], Value: []byte(r[1]), Dropped: r[1] == "", Offset: offset})
			offset++
		}
		u.Next = offset
		taker.Take(time.Unix(1000, 0), u)
	}
	logged = lo.CountValuesBy(logs.All(), func(e observer.LoggedEntry) string { return e.Message })
	return ids(l.roster), ids(peer.roster), logged
}

func ids(r *roster.Roster) []string {
	entries, _ := r.Entries()
	return lo.Map(entries, func(e roster.Entry, _ int) string { return e.ID })
}

// Another writer leaves something under an engine's key, or the engine starts again under
// it. Passed over as unreadable, the record left in use what the key had said before:
// requests went on to an engine that was gone. It names nobody from that moment on, here
// and at the peers; the other entries hold, and the next proper one holds again.
func TestWhatAKeySaysLastHolds(t *testing.T) {
	cases := []struct {
		name  string
		looks []look
		want  string
		warns int
	}{
		{"proper", []look{{{"a", "10"}}}, "a@10", 0},
		{"not one", []look{{{"a", "10"}, {"b", "5"}}, {{"a", "?"}}}, "b@5", 1},
		{"not one from the start", []look{{{"a", "?"}, {"b", "5"}}}, "b@5", 1},
		{"repeated", []look{{{"a", "10"}}, {{"a", "?"}, {"a", "?"}}, {{"a", "!"}}}, "", 1},
		{"and proper again", []look{{{"a", "10"}}, {{"a", "?"}}, {{"a", "10"}}}, "a@10", 1},
		{"and again not", []look{{{"a", "10"}}, {{"a", "?"}}, {{"a", "10"}}, {{"a", "?"}}}, "", 2},
		{"both in one look", []look{{{"a", "10"}, {"a", "?"}, {"a", "10"}}}, "a@10", 1},
		{"started again", []look{{{"a", "10"}}, {{"a", "20"}}}, "a@20", 0},
		{"started again twice in one look", []look{{{"a", "10"}, {"a", "20"}, {"a", "30"}}}, "a@30", 0},
		{"a late word of the former", []look{{{"a", "10"}}, {{"a", "20"}}, {{"a", "10"}}}, "a@20", 0},
		{"no longer tells its start", []look{{{"a", "10"}}, {{"a", "0"}}}, "", 1},
		{"no longer tells its start, heartbeat after heartbeat", []look{{{"a", "10"}}, {{"a", "0"}}, {{"a", "0"}, {"a", "0"}}}, "", 1},
		{"no longer tells its start after what is none", []look{{{"a", "10"}}, {{"a", "?"}}, {{"a", "0"}}}, "", 1},
		{"another upstream under the key, gone between", []look{{{"a", "10"}}, {{"a", ""}}, {{"a", "0"}}}, "a", 0},
		{"never told its start", []look{{{"a", "0"}}, {{"a", "0"}}}, "a", 0},
		{"gone", []look{{{"a", "10"}}, {{"a", "?"}}, {{"a", ""}}}, "", 1},
	}
	for _, c := range cases {
		own, told, logged := play(c.looks...)
		if got := strings.Join(own, " "); got != c.want {
			t.Errorf("%s: knows %q, want %q", c.name, got, c.want)
		}
		if got := strings.Join(told, " "); got != c.want {
			t.Errorf("%s: its peer knows %q, want %q", c.name, got, c.want)
		}
		if got := logged[event.EntryUnreadable.String()]; got != c.warns {
			t.Errorf("%s: warned %d times, want %d", c.name, got, c.warns)
		}
	}
}

// While the register is away an entry that is missing may only have lapsed with it. One
// that stands there and is none has not: its upstream is out of use at once.
func TestUnusableEntryHasNotLapsed(t *testing.T) {
	l := newLearner()
	l.decoder = born{}
	taker := &registerTaker{learner: l, tell: func(RegisterRead) {}}
	now := time.Unix(1000, 0)
	taker.Take(now, keyed.Update{From: 1, Next: 2, Records: []keyed.Record{{Key: "a", Value: []byte("10"), Offset: 1}}})
	taker.Missed(now, nil)
	taker.Take(now, keyed.Update{From: 2, Next: 3, Records: []keyed.Record{{Key: "a", Value: []byte("?"), Offset: 2}}})
	if got := ids(l.roster); len(got) != 0 {
		t.Errorf("still in use: %v", got)
	}
}
