package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// fakeGroup is a group of this node alone, which records its calls.
type fakeGroup struct {
	lookedAt func() // called while a query whether anybody holds the duty is under way

	mu       sync.Mutex
	isMember bool
	calls    []string // since the last call of take
}

func (g *fakeGroup) record(call string, isMember bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls, g.isMember = append(g.calls, call), isMember
}

func (g *fakeGroup) HasHolder(context.Context) (bool, error) {
	if g.lookedAt != nil {
		g.lookedAt()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isMember, nil
}

func (g *fakeGroup) Join(context.Context, uint64) (duty.Grant, error) {
	g.record("join", true)
	return duty.Grant{Generation: 1, Holds: true}, nil
}

func (g *fakeGroup) Leave(context.Context) error {
	g.record("leave", false)
	return nil
}

// take returns the calls since the last one of take, and whether the node is a member.
func (g *fakeGroup) take() (calls []string, isMember bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls, g.calls = g.calls, nil
	return calls, g.isMember
}

// fakeTenures keeps the records of tenures.
type fakeTenures struct {
	mu     sync.Mutex
	newest duty.Entry
}

func (f *fakeTenures) Newest(context.Context) (duty.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest, nil
}

func (f *fakeTenures) Append(_ context.Context, at keyed.Position, t duty.Tenure) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at != f.newest.End {
		return errors.New("the records end elsewhere")
	}
	f.newest = duty.Entry{Tenure: &t, Position: at, End: at + 1}
	return nil
}

// newTestJoiner starts the joiner of a node that knows no others and takes the duty at once.
func newTestJoiner(t *testing.T, g *fakeGroup) *joiner {
	r := roster.New()
	keeper := duty.NewKeeper(duty.Config{JoinValidity: joinValid, MemberTimeout: joinLife, Lease: 3 * time.Second, ActTransit: maxActTransit}, "a")
	ps := &peers{roster: r, keeper: keeper, lastHolderSign: clock.BoottimeNow().Add(-time.Hour), log: zap.NewNop()}
	ps.roles = newRoles(platform.VM{Name: "a"}, func() []member.Member { return nil })
	ps.roles.largeFrom = largeFleetMinNodes
	j := startJoiner(&joiner{
		group: g, tenures: &fakeTenures{}, keeper: keeper, peers: ps, paths: enginePaths{view: newView(accepted.NewTracker(), r)},
		metrics: metric.New(), log: zap.NewNop(),
	})
	t.Cleanup(j.close)
	return j
}

// eventually waits until holds returns true.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// Guards against orders that wait until another node has started, because the holder of the duty gave it
// back as it was told to stop, though all other nodes were stopping too.
func TestStoppingNodeKeepsDutyUntilItsRequestsEnd(t *testing.T) {
	g := &fakeGroup{}
	j := newTestJoiner(t, g)
	eventually(t, "the node holds the duty", func() bool { return j.keeper.Holds(clock.BoottimeNow()) })
	begun := clock.BoottimeNow()
	j.leave(begun, drain.Schedule{Finish: 3 * time.Second})
	_, _ = g.take()
	eventually(t, "the duty is given back", func() bool { _, isMember := g.take(); return !isMember })
	if kept := clock.BoottimeNow().Sub(begun); kept < time.Second {
		t.Errorf("given back after %v, while requests had 3 s to end", kept)
	}
	time.Sleep(2 * joinPause)
	if calls, _ := g.take(); len(calls) > 0 {
		t.Errorf("calls after the duty was given back: %q", calls)
	}
}

// Guards against a stopping node that is killed, as it still waits for the platform when its grace ends.
func TestGivingDutyBackEndsBeforeRequestsDo(t *testing.T) {
	// A record may be on its way as the node resigns; then come the end of its tenure, the call that leaves the
	// group and the news.
	if longest := tenureTimeout + tenureTimeout + leaveTimeout + peerCallTimeout; longest > retireReserve {
		t.Errorf("takes up to %v, the reserve is %v", longest, retireReserve)
	}
}

// Guards against upstreams that keep old weights because only stopping nodes are left and none of them takes
// the duty that another one has lost.
func TestStoppingNodeTakesFreeDuty(t *testing.T) {
	g := &fakeGroup{isMember: true}
	j := newTestJoiner(t, g)
	j.leave(clock.BoottimeNow(), drain.Schedule{Finish: time.Minute})
	g.record("leave", false) // the one that held the duty
	j.peers.noteHolderSign(clock.BoottimeNow().Add(-time.Hour))
	eventually(t, "the node holds the duty", func() bool { return j.keeper.Holds(clock.BoottimeNow()) })
}

// Guards against a duty that nobody renews: a node that is told to stop, while it asks whether the duty is
// free, takes it after its end.
func TestNodeDoesNotTakeDutyAfterItsEnd(t *testing.T) {
	looked := make(chan struct{})
	g := &fakeGroup{}
	var j *joiner
	var once sync.Once
	started := make(chan struct{})
	g.lookedAt = func() {
		<-started
		once.Do(func() {
			j.leave(clock.BoottimeNow(), drain.Schedule{})
			close(looked)
		})
	}
	j = newTestJoiner(t, g)
	close(started)
	<-looked
	j.close()
	calls, isMember := g.take()
	if isMember || len(calls) > 0 {
		t.Errorf("member %t after %q", isMember, calls)
	}
}

// Guards against several stopping nodes that ask for the duty at the same moment, and against one that takes it
// while a node that goes on could.
func TestOrderOfNodesThatTakeTheDuty(t *testing.T) {
	node := func(name string, incarnation int64, s member.State) member.Member {
		return member.Member{Name: name, Incarnation: incarnation, State: s}
	}
	order := []member.Member{
		node("d", 9, member.Alive), node("c", 5, member.Suspect), node("a", 3, member.Alive), node("b", 3, member.Alive),
		node("f", 8, member.Leaving), node("e", 4, member.Leaving),
	}
	for i, a := range order {
		for k, b := range order {
			if got := takesDutyBefore(a, b); got != (i < k) {
				t.Errorf("%s before %s: %t", a.Name, b.Name, got)
			}
		}
	}
}
