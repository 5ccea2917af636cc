package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
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

// newTestJoiner starts the joiner of a node that knows no others and takes the duty at once.
func newTestJoiner(t *testing.T, g *fakeGroup) *joiner {
	r := roster.New()
	keeper := duty.NewKeeper(duty.Config{JoinValidity: joinValid, MemberTimeout: joinLife, Lease: 3 * time.Second, ActTransit: maxActTransit})
	ps := &peers{roster: r, keeper: keeper, lastHolderSign: clock.BoottimeNow().Add(-time.Hour), log: zap.NewNop()}
	ps.roles = newRoles(platform.VM{Name: "a"}, func() []member.Member { return nil })
	ps.roles.largeFrom = largeFleetMinNodes
	j := startJoiner(&joiner{
		group: g, keeper: keeper, peers: ps, paths: enginePaths{view: newView(accepted.NewTracker(), r)},
		metrics: metric.New(), log: zap.NewNop(),
	})
	t.Cleanup(j.close)
	return j
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
			j.leave(clock.BoottimeNow())
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
