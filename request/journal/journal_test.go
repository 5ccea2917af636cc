package journal

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

var incarnations atomic.Uint64

// start opens a node's journal for the length of a test.
func start(t *testing.T, log platform.Log, node string, changes ...func(*Settings)) *Journal {
	t.Helper()
	s := DefaultSettings()
	s.Node, s.DataCentre, s.Incarnation = node, "a", incarnations.Add(1)
	for _, change := range changes {
		change(&s)
	}
	j, err := New(s, log, Alone{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

// entry gives a request whose key was made at the given time.
func entryAt(key string, at time.Time) Entry {
	return Entry{Workspace: "sofia", Key: key, KeyTime: at, Request: HashRequest([]byte("body"))}
}

// begin is a try with the usual deadline.
func begin(j *Journal, e Entry) (*Claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return j.Begin(ctx, time.Now(), e)
}

// want fails unless err has the target's code and says ran.
func want(t *testing.T, err error, target *failure.Error, ran failure.Ran) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got %v, want %v", err, target.Code)
	}
	if got := failure.From(err).Ran; got != ran {
		t.Fatalf("got Ran %v, want %v", got, ran)
	}
}

// An inspector taps twice and the balancer sends the two to different nodes
// at the same moment. Both claim the key; if each believed its own append,
// the inspection would be logged twice. The first claim in log order wins.
func TestSameKeyAtTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		nodes := []*Journal{start(t, log, "n1"), start(t, log, "n2")}
		for i := range 20 {
			e := entryAt(fmt.Sprint("key", i), time.Now())
			results := make(chan error, len(nodes))
			var sent atomic.Int32
			for _, j := range nodes {
				go func() {
					c, _, err := begin(j, e)
					if err == nil && c.MayBegin(time.Now()) {
						sent.Add(1)
						c.Ran(time.Now(), Answer{Status: 200})
					}
					results <- err
				}()
			}
			for range nodes {
				if err := <-results; err != nil {
					want(t, err, failure.ErrKeyInProgress, failure.Unknown)
				}
			}
			if n := sent.Load(); n != 1 {
				t.Fatalf("key %d was sent %d times", i, n)
			}
		}
	})
}

// A caller that repeats a key with an age or a form that the journal can't
// vouch for must hear so, since an earlier try may be forgotten.
func TestKeyTimes(t *testing.T) {
	v7 := func(at time.Time) string {
		u := uuid.UUID{6: 0x70, 8: 0x80}
		for i, ms := 0, at.UnixMilli(); i < 6; i++ {
			u[i] = byte(ms >> (40 - 8*i))
		}
		return u.String()
	}
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		j := start(t, newFakeLog(), "n1")
		for _, test := range []struct {
			name string
			e    Entry
			err  *failure.Error
			ran  failure.Ran
		}{
			{"no key", entryAt("", now), failure.ErrKeyRequired, failure.NotRun},
			{"no time", entryAt("key", time.Time{}), failure.ErrKeyInvalid, failure.NotRun},
			{"UUIDv4", entryAt(uuid.Must(uuid.NewRandomFromReader(zeroes{})).String(), time.Time{}), failure.ErrKeyInvalid, failure.NotRun},
			{"too long", entryAt(string(make([]byte, MaxKeyLength+1)), now), failure.ErrKeyInvalid, failure.NotRun},
			{"too far ahead", entryAt("ahead", now.Add(time.Minute)), failure.ErrKeyInvalid, failure.Unknown},
			{"too old", entryAt("old", now.Add(-16*time.Minute)), failure.ErrKeyExpired, failure.Unknown},
			{"old UUIDv7", entryAt(v7(now.Add(-16*time.Minute)), now), failure.ErrKeyExpired, failure.Unknown},
			{"UUIDv7", entryAt(v7(now), time.Time{}), nil, failure.NotRun},
			{"old but within", entryAt("within", now.Add(-14*time.Minute)), nil, failure.NotRun},
		} {
			c, _, err := begin(j, test.e)
			if test.err != nil {
				want(t, err, test.err, test.ran)
				continue
			}
			if err != nil || !c.MayBegin(now) {
				t.Fatalf("%s: %v", test.name, err)
			}
			c.Ran(now, Answer{Status: 200})
		}
	})
}

type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { clear(p); return len(p), nil }
