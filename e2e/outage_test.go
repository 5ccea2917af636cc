package e2e

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/standin/logservice"
)

// VMs are replaced while the platform's log is away. A new node that could
// get the configuration from the log alone would serve nobody until the log
// is back; its peers have the configuration.
func TestNodeStartsWithTheLogDown(t *testing.T) {
	t.Parallel()
	l := small
	l.nodes = 3
	s := newSite(t, l)
	want, err := s.status(1)
	if err != nil {
		t.Fatal(err)
	}
	s.log.kill()
	s.nodes[0].kill()
	s.nodes[0].start()
	s.awaitReady(s.nodes[0])
	s.awaitUsable(0)
	got, err := s.status(0)
	if err != nil || got.Offset < want.Offset {
		t.Errorf("offset is %d, want %d at least, %v", got.Offset, want.Offset, err)
	}
	// What its peers knew of the log is fresh at first.
	await(t, "what it lacks", func() error {
		st, err := s.status(0)
		if err == nil && !lo.Contains(st.Lacks, "log") {
			err = fmt.Errorf("%v, and not the log", st.Lacks)
		}
		return err
	})
	for node := range s.nodes {
		if err := s.askOnce(t.Context(), node, chatOf(alpha, node)); err != nil {
			t.Errorf("%s: %v", nodeName(node), err)
		}
	}
}

// An operator retires an upstream whose VM is about to go, while the log is
// away. Accepted by one node alone, the retirement would hold for a part of
// the callers and be forgotten by the next restart; so it is refused, and the
// operator learns why. Once the log is back it goes through, and then no node
// sends new work there.
func TestRetireWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := newSite(t, standard)
	c := s.stream(20, 6)
	c.awaitDone(t, 100)
	id, base := s.propose("anna", 0, "--retire-upstream", engineName(1))
	post(t, s.log.address, "/fault", logservice.Fault{Outage: true})
	s.refusedEverywhere(
		[]string{"confirm", id, base},
		[]string{"intent", "--retire-upstream", engineName(0)},
	)
	for node := range s.nodes {
		if u, err := s.upstream(node, engineName(1)); err != nil || u.State != "Active" {
			t.Errorf("%s takes it for %s, %v", nodeName(node), u.State, err)
		}
	}
	post(t, s.log.address, "/fault", logservice.Fault{})
	await(t, "confirmation", func() error {
		if r := s.operate("confirm", "anna", 2, id, base); r.code != 0 {
			return errors.New(r.err)
		}
		return nil
	})
	for node := range s.nodes {
		s.awaitPlan(node, id, "Finished")
		await(t, nodeName(node), func() error {
			if u, err := s.upstream(node, engineName(1)); err != nil || u.InFlight > 0 {
				return fmt.Errorf("%+v, %w", u, err)
			}
			return nil
		})
	}
	before := s.engineCounters(1).Runs
	c.awaitDone(t, c.done.Load()+200)
	if after := s.engineCounters(1).Runs; after != before {
		t.Errorf("%d new requests ran on the retired engine", after-before)
	}
	checkOutcomes(t, c.stopAll(), -1)
}

// An upstream is retired while its slots are taken and more requests wait for
// it, on the node and on the engine. Those that run or wait there must come to
// an end, none may be cut by the retirement, and none may be left waiting for
// an engine that will not be asked again.
func TestRetireWithAFullQueue(t *testing.T) {
	t.Parallel()
	l := standard
	l.nodes = 2
	l.engineFlags = []string{"--slots", "2", "--queue", "100", "--prefill-rate", "200000", "--decode", "5ms"}
	s := newSite(t, l)
	c := s.stream(30, 10)
	await(t, "queue", func() error {
		var r struct{ Running, Queued int }
		if err := get(s.engines[1].address, "/report", &r); err != nil {
			return err
		}
		if r.Running < 2 || r.Queued < 1 {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
	id, base := s.propose("anna", 0, "--retire-upstream", engineName(1))
	if r := s.operate("confirm", "anna", 1, id, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	s.awaitPlan(0, id, "Finished")
	s.awaitPlan(1, id, "Finished")
	before := s.engineCounters(1)
	if before.Cancelled > 0 {
		t.Errorf("%d requests were cancelled", before.Cancelled)
	}
	c.awaitDone(t, c.done.Load()+60)
	if after := s.engineCounters(1); after.Runs != before.Runs {
		t.Errorf("%d new requests ran on the retired engine", after.Runs-before.Runs)
	}
	checkOutcomes(t, c.stopAll(), -1)
}

// refusedEverywhere runs commands against all nodes at once; each of them has
// to say that the platform is to blame.
func (s *site) refusedEverywhere(commands ...[]string) {
	var all sync.WaitGroup
	for node := range s.nodes {
		for _, c := range commands {
			all.Go(func() {
				r := s.operate(c[0], "anna", node, c[1:]...)
				if r.code != 1 || !strings.HasPrefix(r.err, "PlatformUnavailable: ") {
					s.t.Errorf("%s through %s: exit code %d, %s%s", c[0], nodeName(node), r.code, r.out, r.err)
				}
			})
		}
	}
	all.Wait()
}

// upstream is how a node sees an upstream.
func (s *site) upstream(node int, name string) (operator.UpstreamStatus, error) {
	st, err := s.status(node)
	if err != nil {
		return operator.UpstreamStatus{}, err
	}
	u, _ := lo.Find(st.Upstreams, func(u operator.UpstreamStatus) bool { return u.Name == name })
	return u, nil
}

// The platform is away altogether for a while: log and VM list. Callers must
// not notice; only what has to be agreed on waits.
func TestPlatformOutageCostsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t, standard)
	c := s.stream(20, 7)
	c.awaitDone(t, 50)
	s.log.kill()
	s.vms.kill()
	s.weights.kill()
	c.awaitDone(t, c.done.Load()+400)
	s.vms.start()
	s.weights.start()
	c.awaitDone(t, c.done.Load()+100)
	for _, o := range c.stopAll() {
		for _, a := range o.tries {
			if a.err != nil {
				t.Errorf("%s: %v", nodeName(a.node), a.err)
			}
		}
	}
}
