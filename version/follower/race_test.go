package follower_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// halfCutLog loses the answers of a cut data centre, but not its appends.
type halfCutLog struct{ cutLog }

func (l *halfCutLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	offset, err := l.Log.Append(ctx, stream, body)
	if l.cut.Load() {
		<-ctx.Done()
		return 0, platform.ErrOutcomeUnknown
	}
	return offset, err
}

// Two operators are told "accepted" for one workspace, or an accepted change
// is gone. Four operators, two in each of two data centres, confirm plans made
// on one state while one data centre is cut off from the platform, in one case
// with appends that arrive and answers that don't. Those without an answer
// submit the same again after the cut. One must be accepted, three must be
// told by whom they were overtaken, and all nodes must end equal.
func TestFourOperatorsInAPartition(t *testing.T) {
	for _, arrive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			log := &fakelog.Log{}
			far := &halfCutLog{}
			far.Log = log
			var cut platform.Log = &far.cutLog
			if arrive {
				cut = far
			}
			near := start(t, log)
			relay := peer{follower.NewRelay(near)}
			nodes := []*follower.Follower{near, start(t, log), start(t, cut, relay), start(t, cut, relay)}
			if err := submit(t, nodes[0], follower.Draft{Body: first()}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			drafts := make([][]follower.Draft, len(nodes))
			for i, n := range nodes {
				drafts[i] = limit(t, n.State(), fmt.Sprint("p", i), i+1)
			}
			far.cut.Store(true)
			errs := confirmAll(t, nodes, drafts)
			far.cut.Store(false)
			for i, err := range errs {
				if errors.Is(err, platform.ErrOutcomeUnknown) {
					errs[i] = submit(t, nodes[i], drafts[i]...)
				}
			}
			winner := checkOneWinner(t, errs)
			time.Sleep(10 * time.Second)
			for i, n := range nodes {
				if marshal(t, n.State()) != marshal(t, near.State()) || inFlight(n) != winner+1 {
					t.Errorf("arrive %t: node %d has limit %d, accepted was %d", arrive, i, inFlight(n), winner+1)
				}
			}
		})
	}
}

// confirmAll submits for all operators at once; those of the cut data centre
// are first, so that their appends, if they arrive, may win.
func confirmAll(t *testing.T, nodes []*follower.Follower, drafts [][]follower.Draft) []error {
	errs := make([]error, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			if i < 2 {
				time.Sleep(time.Second)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, errs[i] = n.Submit(ctx, time.Now(), drafts[i]...)
		})
	}
	wg.Wait()
	return errs
}

func checkOneWinner(t *testing.T, errs []error) int {
	t.Helper()
	winner, accepted := -1, 0
	for i, err := range errs {
		if err == nil {
			winner, accepted = i, accepted+1
		}
	}
	for i, err := range errs {
		var r *fold.Refusal
		if err != nil && (!errors.As(err, &r) || r.Code != fold.Overtaken || r.By.Plan != fmt.Sprint("p", winner)) {
			t.Errorf("operator %d, winner %d: %v", i, winner, err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d accepted: %v", accepted, errs)
	}
	return winner
}
