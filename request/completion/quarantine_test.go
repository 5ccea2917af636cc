package completion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// discardObserver is a quarantine.Observer that does nothing.
type discardObserver struct{}

// Quarantined does nothing.
func (discardObserver) Quarantined(quarantine.Grain, quarantine.Step) {}

func enginesWithScript(behave engineScript, count int) []*fakeEngine {
	var all []*fakeEngine
	for i := range count {
		all = append(all, &fakeEngine{name: fmt.Sprintf("e%02d", i), engineScript: behave})
	}
	return all
}

func countSends(engines []*fakeEngine) int {
	n := 0
	for _, e := range engines {
		n += len(e.sends)
	}
	return n
}

// A request crashes each engine that runs it and is sent ten times, on each path through
// this package. On no path may more than three engines crash. The final refusal must
// state truthfully that the request did not run, and must not name a time to retry.
func TestRequestThatCrashesEnginesIsQuarantinedOnEveryPath(t *testing.T) {
	atOnce, inAnswer := engineScript{processEnds: true}, engineScript{cutAfter: 1, processEnds: true}
	cases := []struct {
		name   string
		behave engineScript
		make   func(t *testing.T) Request
		send   func(rt *Router, r Request) error
	}{
		{"crashes the engine before the answer", atOnce, func(*testing.T) Request { return testRequest }, startAndRead},
		{"crashes the engine in the answer, which is continued", inAnswer, func(*testing.T) Request { return testRequest }, startAndRead},
		{"passthrough, crashes the engine in the answer", inAnswer, func(*testing.T) Request { return passthroughRequest() }, startAndRead},
		{"passthrough, may run once", atOnce, func(*testing.T) Request { r := passthroughRequest(); r.RunOnce = true; return r }, startAndRead},
		{"passthrough, may run once, crashes the engine in the answer", inAnswer, func(*testing.T) Request { r := passthroughRequest(); r.RunOnce = true; return r }, startAndRead},
		{"with a new key each time", atOnce, keyedRequest, startAndRead},
		{"with a key, crashes the engine in the answer", inAnswer, keyedRequest, startAndRead},
		{"warms a pool", atOnce, func(*testing.T) Request { return testRequest }, func(rt *Router, r Request) error { return rt.Warm(context.Background(), r, "") }},
	}
	const tries, maxEnds = 10, 3
	for _, c := range cases {
		engines := enginesWithScript(c.behave, 12)
		rt := newJournalFixture(t, engines...).router()
		rt.Quarantine = quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		var last error
		for range tries {
			last = c.send(rt, c.make(t))
		}
		if got := countSends(engines); got != maxEnds {
			t.Errorf("%s: %d engines crashed, want %d", c.name, got, maxEnds)
		}
		e := failure.FromError(last)
		if !errors.Is(last, failure.ErrQuarantined) || e.Ran != failure.NotRun || e.RetryAfter != 0 {
			t.Errorf("%s: %v, %v, RetryAfter %v", c.name, last, e.Ran, e.RetryAfter)
		}
	}
}

// An engine breaks off an answer but stays alive, or fails the request with a reply of its
// own. Neither is evidence against the request, which may be tried without limit.
func TestRequestThatEnginesSurviveIsNotQuarantined(t *testing.T) {
	for _, behave := range []engineScript{{cutAfter: 1}, {generateErr: &upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}} {
		engines := enginesWithScript(behave, 12)
		rt := newFixture(engines...).router()
		rt.Quarantine = quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		for range 20 {
			if err := startAndRead(rt, testRequest); errors.Is(err, failure.ErrQuarantined) {
				t.Fatal(err)
			}
		}
	}
}

// An engine crashes for a reason of its own while it runs a request. The next engine
// answers the request completely, after which the request must count as harmless.
func TestWholeAnswerClearsRequest(t *testing.T) {
	engines := append(enginesWithScript(engineScript{processEnds: true}, 1), &fakeEngine{name: "good"})
	rt := newFixture(engines...).router()
	b := quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
	rt.Quarantine = b
	if err := startAndRead(rt, testRequest); err != nil {
		t.Fatal(err)
	}
	// The request and the part of its prompt that is not the last.
	known := b.KnownUpdates(time.Now())
	if len(known) != 2 {
		t.Errorf("%+v", known)
	}
	for _, u := range known {
		if len(u.Ends) != 0 || !u.Survived {
			t.Errorf("%+v", u)
		}
	}
}

// An engine crashes in mid-answer, and the engine that continues the answer fails with a
// complete reply of its own. That engine survived the request, which must clear the
// request as if the engine had been asked first.
func TestFailedContinuationClearsRequest(t *testing.T) {
	failed := &fakeEngine{name: "fails", engineScript: engineScript{generateErr: &upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}}
	rt := newFixture(append(enginesWithScript(engineScript{cutAfter: 1, processEnds: true}, 1), failed)...).router()
	b := quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
	rt.Quarantine = b
	if err := startAndRead(rt, testRequest); !errors.Is(err, failure.ErrStreamCut) {
		t.Fatal(err)
	}
	// A failure says that the engine is alive, and nothing of the part of the prompt.
	for _, u := range b.KnownUpdates(time.Now()) {
		if cleared := len(u.Ends) == 0 && u.Survived; cleared != (u.Level == 0) {
			t.Errorf("%+v", u)
		}
	}
}

// Guards against a stream that goes on at another engine although a part of its prompt has been held
// since it began: its connection breaks while its engine lives on.
func TestStreamWithHeldPartGoesOnNowhere(t *testing.T) {
	cut, other := &fakeEngine{name: "a", engineScript: engineScript{cutAfter: 1}}, &fakeEngine{name: "b"}
	for _, held := range []bool{false, true} {
		cut.sends, other.sends = nil, nil
		rt := newFixture(cut, other).router()
		b := quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		rt.Quarantine = b
		a, err := rt.Start(context.Background(), passthroughRequest())
		if err != nil {
			t.Fatal(err)
		}
		if held {
			for i := range 3 {
				b.ReportEnd(time.Now(), quarantine.Content{
					Request: quarantine.Digest(1 + i), Workspace: testRequest.Workspace, Parts: []quarantine.Part{quarantine.NewPart("a")},
				}, fmt.Sprint(i))
			}
		}
		sent := countSends([]*fakeEngine{cut, other})
		_, err = readAnswer(a)
		if more := countSends([]*fakeEngine{cut, other}) - sent; held && more > 0 {
			t.Errorf("sent on %d times", more)
		}
		if held != errors.Is(err, failure.ErrStreamCut) {
			t.Errorf("held %v: %v", held, err)
		}
	}
}

// Guards against a shared message, or a declared part, that crashes engine after engine in requests that
// differ otherwise.
func TestSharedPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	cases := []struct {
		name string
		make func(n int) Request
	}{
		{"messages", func(n int) Request {
			r := testRequest
			r.Messages = []prefix.Message{testRequest.Messages[0], {Role: "user", Content: fmt.Sprint("question ", n)}}
			return r
		}},
		{"declared parts", func(n int) Request {
			r := passthroughRequest()
			r.Content = quarantine.Digest(1 + n)
			r.DeclaredParts = []prefix.Part{{ID: fmt.Sprint("x", n), Tokens: 10}, {ID: "a", Tokens: 500}, {ID: fmt.Sprint("y", n), Tokens: 40}}
			return r
		}},
	}
	const tries, maxEnds = 10, 3
	for _, c := range cases {
		engines := enginesWithScript(engineScript{processEnds: true}, 12)
		rt := newFixture(engines...).router()
		rt.Quarantine = quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		var last error
		for n := range tries {
			r := c.make(n)
			r.RunOnce = true
			last = startAndRead(rt, r)
		}
		if got := countSends(engines); got != maxEnds || !errors.Is(last, failure.ErrQuarantined) {
			t.Errorf("%s: %d engines crashed, want %d; %v", c.name, got, maxEnds, last)
		}
	}
}

// Guards against requests that are taken for the cause of each other's crashes because their last part,
// which is the caller's own question, is looked at as one that others may have too.
func TestLastPartOfPromptIsNoSuspect(t *testing.T) {
	cases := []struct {
		declared []prefix.Part
		want     []quarantine.Part
	}{
		{nil, nil},
		{[]prefix.Part{{ID: "q"}}, nil},
		{[]prefix.Part{{ID: "a"}, {ID: "b"}, {ID: "q"}}, []quarantine.Part{quarantine.NewPart("a"), quarantine.NewPart("b")}},
	}
	for _, c := range cases {
		r := passthroughRequest()
		r.DeclaredParts = c.declared
		if got := r.content().Parts; !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.declared, got, c.want)
		}
	}
}

// Guards against sound parts that stay suspect as their answers take longer than the engines live beside
// a bad one: an answer that goes on clears its parts before it ends.
func TestAnswerUnderWayClearsItsParts(t *testing.T) {
	for _, c := range []struct {
		answering time.Duration
		held      bool
	}{{quarantine.PartSurvival / 2, true}, {2 * quarantine.PartSurvival, false}} {
		rt := newFixture(&fakeEngine{name: "a"}).router()
		b := quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		rt.Quarantine = b
		end := func(n int, now time.Time) {
			b.ReportEnd(now, quarantine.Content{
				Request: quarantine.Digest(1 + n), Workspace: testRequest.Workspace, Parts: []quarantine.Part{quarantine.NewPart("a")},
			}, fmt.Sprint(n))
		}
		began := time.Now()
		for n := range 2 {
			end(n, began.Add(-time.Second))
		}
		a, err := rt.Start(context.Background(), passthroughRequest())
		if err != nil {
			t.Fatal(err)
		}
		a.reportAnswering(time.Now().Add(c.answering))
		a.Close()
		end(2, began.Add(time.Minute))
		next := passthroughRequest()
		next.Content++
		if err := b.Admit(began.Add(time.Minute), next.content()); errors.Is(err, quarantine.ErrHeld) != c.held {
			t.Errorf("an answer of %v: %v", c.answering, err)
		}
	}
}
