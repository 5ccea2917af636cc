package returning

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/limit"
)

var start = time.Unix(1_000_000, 0)

const (
	capacity  = 1180 // requests per second that the fleet serves
	normal    = 0.7  // demand around the peak, as a part of the capacity
	peak      = 2.0  // demand in the peak
	peakStart = 12 * time.Second
	peakEnd   = peakStart + 5*time.Second
	fleetEnd  = peakEnd + 6*time.Second
)

// fleetKind is one kind of request in the traffic of a simulated fleet.
type fleetKind struct {
	name  string
	part  float64 // of the normal demand
	grant time.Duration
	goal  time.Duration
}

var fleetKinds = []fleetKind{
	{"short", 0.83, 3 * time.Second, 500 * time.Millisecond},
	{"long", 0.17, 12 * time.Second, 1200 * time.Millisecond},
}

// rule is how the nodes of a simulated fleet name retry times.
type rule int

const (
	promised     rule = iota // as a Schedule promises
	ownWait                  // the expected wait less the allowed one, with jitter
	ownWaitAlike             // the same, and retries are admitted like new requests
)

// fleetRun is a simulated fleet. Its nodes know one backlog. They admit a new request
// while it is below the goal of its kind, and a retry while it is below twice the goal. A
// rejected caller that is told a time retries once, at a random node.
type fleetRun struct {
	rule      rule
	rand      *rand.Rand
	schedules []*Schedule
	longOnly  bool // the peak consists of long requests only
	at        time.Duration
	backlog   time.Duration
	returns   []arrival // by time
	counts    []fleetCounts
}

// arrival is a request that reaches a node. A retry has the time of the first attempt.
type arrival struct {
	id        string
	kind      int
	at, first time.Duration
}

// fleetCounts is what happened to the requests of one kind.
type fleetCounts struct {
	rejected, told, rejectedAgain int
	recognised                    int // retries that IsReturn recognises
	inTime                        int // callers of the peak with a first token within the goal
	afters                        []time.Duration
	returnTimes                   []time.Duration
}

func newFleetRun(t *testing.T, r rule, cfg Config, nodes int, longOnly bool, seed uint64) *fleetRun {
	t.Helper()
	f := &fleetRun{rule: r, rand: rand.New(rand.NewPCG(seed, 0)), longOnly: longOnly, counts: make([]fleetCounts, len(fleetKinds))}
	for i := range nodes {
		cfg.Seed = seed<<32 + uint64(i)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		f.schedules = append(f.schedules, s)
	}
	return f
}

func (f *fleetRun) run() {
	for n, next := 0, f.nextNew(0); next.at < fleetEnd || len(f.returns) > 0; {
		if len(f.returns) > 0 && f.returns[0].at <= next.at {
			a := f.returns[0]
			f.returns = f.returns[1:]
			f.arrive(a)
			continue
		}
		next.id = fmt.Sprint(n)
		f.arrive(next)
		n, next = n+1, f.nextNew(next.at)
	}
}

// nextNew returns the next new request after a time.
func (f *fleetRun) nextNew(at time.Duration) arrival {
	total, longPart := normal, fleetKinds[1].part
	if at >= peakStart && at < peakEnd {
		total = peak
		if f.longOnly {
			longPart = 1 - fleetKinds[0].part*normal/peak
		}
	}
	at += time.Duration(f.rand.ExpFloat64() / (total * capacity) * float64(time.Second))
	return arrival{kind: lo.Ternary(f.rand.Float64() < longPart, 1, 0), at: at, first: at}
}

func (f *fleetRun) arrive(a arrival) {
	f.backlog = max(0, f.backlog-(a.at-f.at))
	f.at = a.at
	now, k, c := start.Add(a.at), fleetKinds[a.kind], &f.counts[a.kind]
	s := f.schedules[f.rand.IntN(len(f.schedules))]
	grant := k.grant - (a.at - a.first)
	s.RecordGrant(now, k.name, grant)
	returning := s.IsReturn(now, k.name, grant)
	allowed := lo.Ternary(returning && f.rule != ownWaitAlike, 2*k.goal, k.goal)
	if returning && a.at > a.first {
		c.recognised++
	}
	if f.backlog < allowed {
		s.RecordServed(now, k.name)
		if a.first >= peakStart && a.first < peakEnd {
			c.inTime += lo.Ternary(a.at-a.first+f.backlog <= k.goal, 1, 0)
		}
		f.backlog += time.Second / capacity
		return
	}
	if a.at > a.first {
		c.rejectedAgain++
		return
	}
	c.rejected++
	after, ok := f.retryAfter(now, s, Request{ID: a.id, Kind: k.name, Grant: grant, Wait: f.backlog, AllowedWait: allowed, Returning: returning})
	if !ok {
		return
	}
	c.told++
	c.afters, c.returnTimes = append(c.afters, after), append(c.returnTimes, a.at+after)
	a.at += after
	i, _ := slices.BinarySearchFunc(f.returns, a, func(x, y arrival) int { return int(x.at - y.at) })
	f.returns = slices.Insert(f.returns, i, a)
}

func (f *fleetRun) retryAfter(now time.Time, s *Schedule, r Request) (time.Duration, bool) {
	if f.rule == promised {
		return s.Promise(now, r)
	}
	return limit.AddJitter(s.cfg.Seed, r.ID, max(s.cfg.MinRetryAfter, r.Wait-r.AllowedWait)), true
}

func (c fleetCounts) shareRejectedAgain() float64 {
	return float64(c.rejectedAgain) / float64(max(1, c.told))
}

func (c fleetCounts) String() string {
	return fmt.Sprintf("rejected %d, told a time %d, rejected again %d (%.2f), in time %d", c.rejected, c.told, c.rejectedAgain, c.shareRejectedAgain(), c.inTime)
}

// sumCounts returns the counts of several runs, without the times.
func sumCounts(runs [][]fleetCounts, kind int) fleetCounts {
	var sum fleetCounts
	for _, r := range runs {
		c := r[kind]
		sum.rejected, sum.told, sum.rejectedAgain = sum.rejected+c.rejected, sum.told+c.told, sum.rejectedAgain+c.rejectedAgain
		sum.recognised, sum.inTime = sum.recognised+c.recognised, sum.inTime+c.inTime
	}
	return sum
}

// unevenness returns the most retries in a slot, relative to the mean of the slots from the
// first retry to the last.
func unevenness(times []time.Duration) float64 {
	if len(times) == 0 {
		return 0
	}
	first, last := slices.Min(times), slices.Max(times)
	slots := make([]int, (last-first)/DefaultConfig.SlotLength+1)
	for _, at := range times {
		slots[(at-first)/DefaultConfig.SlotLength]++
	}
	return float64(slices.Max(slots)*len(slots)) / float64(len(times))
}

// maxRejectedAgain is the target for the share of the callers told a time that are rejected
// again, and maxUnevenness the bound of unevenness.
const (
	maxRejectedAgain = 0.1
	maxUnevenness    = 3
)

// Guards against callers returning into the peak that they were rejected in, on fleets of
// any size: they must be told times within a quarter of their grant, evenly spread, and
// fewer of them must be rejected again than if each is told its own wait and retries are
// admitted like new requests. Callers that wait 12 s must meet the target. For those that
// wait 3 s, a quarter of the grant lies within the peak, and there are as many of them as
// the fleet serves: they meet it only if those without a slot are rejected finally. What is
// not bounded is logged, as the share with own waits and the same admission of retries.
func TestFewerCallersAreRejectedAgain(t *testing.T) {
	final := DefaultConfig
	final.FinalWhenFull = true
	for _, longOnly := range []bool{false, true} {
		for _, nodes := range []int{6, 64, 195, 360} {
			t.Run(fmt.Sprintf("peak of long kind only %t, %d nodes", longOnly, nodes), func(t *testing.T) {
				run := func(r rule, cfg Config) [][]fleetCounts {
					return lo.Map([]uint64{1, 2, 3}, func(seed uint64, _ int) []fleetCounts {
						f := newFleetRun(t, r, cfg, nodes, longOnly, seed)
						f.run()
						return f.counts
					})
				}
				schedule, finalWhenFull := run(promised, DefaultConfig), run(promised, final)
				wait, waitAlike := run(ownWait, DefaultConfig), run(ownWaitAlike, DefaultConfig)
				for i, k := range fleetKinds {
					got, gotFinal, alike := sumCounts(schedule, i), sumCounts(finalWhenFull, i), sumCounts(waitAlike, i)
					t.Logf("%s, schedule: %v", k.name, got)
					t.Logf("%s, schedule, final when full: %v", k.name, gotFinal)
					t.Logf("%s, own wait: %v", k.name, sumCounts(wait, i))
					t.Logf("%s, own wait, retries like new requests: %v", k.name, alike)
					for _, c := range slices.Concat(schedule, finalWhenFull) {
						checkTimes(t, k, c[i])
					}
					for _, c := range schedule {
						if u := unevenness(c[i].returnTimes); u > maxUnevenness {
							t.Errorf("%s: a slot has %.1f times the mean of the retries", k.name, u)
						}
					}
					if alike.told > 0 && got.shareRejectedAgain() >= alike.shareRejectedAgain() {
						t.Errorf("%s: a share of %.2f is rejected again, with own waits %.2f", k.name, got.shareRejectedAgain(), alike.shareRejectedAgain())
					}
					if k.name == "long" && got.shareRejectedAgain() > maxRejectedAgain {
						t.Errorf("%s: a share of %.2f is rejected again", k.name, got.shareRejectedAgain())
					}
					if !longOnly && gotFinal.shareRejectedAgain() > maxRejectedAgain {
						t.Errorf("%s, final when full: a share of %.2f is rejected again", k.name, gotFinal.shareRejectedAgain())
					}
				}
			})
		}
	}
}

// checkTimes checks the times that callers are told, and that their retries are recognised.
func checkTimes(t *testing.T, k fleetKind, c fleetCounts) {
	t.Helper()
	latest := time.Duration(float64(k.grant) * DefaultConfig.MaxGrantFraction)
	for _, after := range c.afters {
		if after < DefaultConfig.MinRetryAfter || after > latest {
			t.Fatalf("%s: told to retry after %s, not between %s and %s", k.name, after, DefaultConfig.MinRetryAfter, latest)
		}
	}
	if c.recognised != c.told {
		t.Errorf("%s: %d of %d retries are recognised", k.name, c.recognised, c.told)
	}
}
