package follower_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/plan"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// start gives a follower without peers; it lives as long as the test.
func start(t *testing.T, log platform.Log, peers ...follower.Source) *follower.Follower {
	f := follower.New(follower.Config{}, log, func() []follower.Source { return peers }, zap.NewNop())
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// first is a configuration with two pools of two engines and a workspace.
func first() record.Bootstrap {
	b := record.Bootstrap{Changes: []config.Change{
		{SetModel: &config.Model{Name: "m", Version: "v1"}},
		{SetWorkspace: &config.Workspace{Name: "sofia", Shares: []config.Share{{Pool: "old", Percent: 100}}}},
	}}
	for _, e := range []struct{ name, pool string }{{"e1", "old"}, {"e2", "old"}, {"e3", "new"}, {"e4", "new"}} {
		b.Changes = append(b.Changes, config.Change{SetUpstream: &config.Upstream{
			Name: e.name, Pool: e.pool, Address: "127.0.0.1:1", Models: []string{"m"}, Slots: 8,
		}})
	}
	return b
}

// limit is a plan, with its confirmation, that limits the workspace.
func limit(t *testing.T, s *fold.State, id string, inFlight int) []follower.Draft {
	t.Helper()
	ch := config.Change{SetLimit: &config.WorkspaceLimit{Workspace: "sofia", Limit: config.Limit{InFlight: inFlight}}}
	p, err := plan.Make(s, record.Intent{ChangeConfig: &record.ChangeConfig{Changes: []config.Change{ch}}}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return []follower.Draft{
		{ID: "propose-" + id, Body: record.Propose{Plan: p.With(id, "ana")}},
		{ID: "confirm-" + id, Body: record.Confirm{Plan: id, Base: p.Base, Operator: "ana"}},
	}
}

func submit(t *testing.T, f *follower.Follower, drafts ...follower.Draft) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := f.Submit(ctx, time.Now(), drafts...)
	return err
}

// The operator sees an error although the change is in force. The log took
// the append and its answer was lost; the node appends the same record again,
// and the log holds it twice. The fold must count it once, and the operator
// must be told that it was accepted.
func TestSubmitAfterLostAnswers(t *testing.T) {
	for _, fault := range []fakelog.Fault{fakelog.LoseAnswer, fakelog.LoseAppend, fakelog.Refuse} {
		synctest.Test(t, func(t *testing.T) {
			log := &fakelog.Log{}
			f := start(t, log)
			if err := submit(t, f, follower.Draft{Body: first()}); err != nil {
				t.Fatal(err)
			}
			left := 2
			log.OnAppend = func(string, []byte) fakelog.Fault {
				left--
				if left >= 0 {
					return fault
				}
				return fakelog.None
			}
			if err := submit(t, f, limit(t, f.State(), "p1", 7)...); err != nil {
				t.Fatalf("fault %d: %v", fault, err)
			}
			if got := f.State().Config.Workspaces["sofia"].Limit.InFlight; got != 7 {
				t.Fatalf("fault %d: limit %d", fault, got)
			}
		})
	}
}

// Two operators confirm plans about one workspace at the same moment on
// different nodes. Both plans were made from the same state. One must win on
// every node, and the other operator must be told by what he was overtaken.
func TestSubmitRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakelog.Log{}
		a, b := start(t, log), start(t, log)
		if err := submit(t, a, follower.Draft{Body: first()}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		one, two := limit(t, a.State(), "p1", 1), limit(t, b.State(), "p2", 2)
		if err := submit(t, a, one...); err != nil {
			t.Fatal(err)
		}
		err := submit(t, b, two...)
		var refusal *fold.Refusal
		if !errors.Is(err, fold.ErrOvertaken) || !errors.As(err, &refusal) {
			t.Fatalf("got %v", err)
		}
		if refusal.By == nil || refusal.By.Plan != "p1" || refusal.By.Operator != "ana" || refusal.By.Offset != 2 {
			t.Fatalf("overtaken by %+v", refusal.By)
		}
	})
}
