package gateway

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/accepted"
)

// A node that has just started has read the configuration and not yet the register. If it were
// ready, it would refuse its first callers for two seconds as if their services had no upstream. It
// must not be ready, and must ask callers that come all the same to retry soon.
func TestNodeIsNotReadyBeforeItHasReadTheRegister(t *testing.T) {
	book, r := accepted.NewTracker(), roster.New()
	g := &Gateway{book: book, roster: r, view: newView(book, r), bounds: &atomic.Pointer[Bounds]{}, stop: drain.New(), durations: drain.NewDurations()}
	g.bounds.Store(&Bounds{ConfigLag: time.Hour})
	now := Boot()
	g.book.Accept(accepted.Configuration{Version: 1})
	g.book.ConfirmDirect(now)
	g.view.refresh()
	x := &servedRequest{g: g, in: Inbound{ID: "r"}, began: time.Now()}
	var e *failure.Error
	if err := x.admit(now); g.Ready(now) || !errors.As(err, &e) || !errors.Is(e, failure.ErrPlatformUnavailable) {
		t.Errorf("ready %v, %v", g.Ready(now), err)
	}
	r.MarkRead()
	g.view.refresh()
	if err := x.admit(now); !g.Ready(now) || !errors.Is(err, failure.ErrNotFound) {
		t.Errorf("ready %v, %v", g.Ready(now), err)
	}
}
