package limit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// At twice the capacity the callers of small workspaces must not see the
// large one's overload. The large workspace offers 1.7 of the capacity, five
// small ones 0.06 each; without shares the queue is the large one's, and the
// small ones are refused as often as it is.
func TestSmallWorkspacesGetTheirShare(t *testing.T) {
	streams := []stream{{"sofia", 1, 1.7, 3 * time.Second}}
	for i := range 5 {
		streams = append(streams, stream{fmt.Sprint("small", i), 1, 0.06, 3 * time.Second})
	}
	cfg := DefaultQueue
	cfg.Capacity, cfg.MaxWaiting = 16, 200
	m := run(t, cfg, streams, 10*time.Minute)
	t.Logf("goodput %.3f of capacity", m.goodput(cfg, 10*time.Minute))
	for i, tl := range m.tallies {
		t.Logf("%s: offered %d served %d late %d displaced %d, wait p50 %v p99 %v", streams[i].workspace,
			tl.offered, tl.served, tl.late, tl.displaced, quantile(tl.waits, 0.5), quantile(tl.waits, 0.99))
		if i > 0 && float64(tl.served) < 0.98*float64(tl.offered) {
			t.Errorf("%s: served %d of %d", streams[i].workspace, tl.served, tl.offered)
		}
	}
	if g := m.goodput(cfg, 10*time.Minute); g < 0.9 {
		t.Errorf("goodput %.3f of capacity, want 0.9", g)
	}
}

// At twice the capacity with all priorities and deadlines, callers see their
// answer in time or a refusal at once. Work that can't start in time must not
// be let in: it would hold places in the queue, be refused only when its
// deadline comes, and the caller would have waited for nothing.
func TestOverloadShedsAtOnce(t *testing.T) {
	streams := []stream{
		{"dispatch", 0, 0.3, time.Second},
		{"inspectors", 1, 0.8, 2 * time.Second},
		{"drafts", 2, 0.6, 4 * time.Second},
		{"audit", 3, 0.3, 0},
	}
	cfg := DefaultQueue
	cfg.Capacity, cfg.MaxWaiting = 16, 64
	m := run(t, cfg, streams, 10*time.Minute)
	late, refused := 0, 0
	for i, tl := range m.tallies {
		t.Logf("%s: offered %d served %d refused %d late %d displaced %d, wait p50 %v p99 %v", streams[i].workspace,
			tl.offered, tl.served, tl.refused, tl.late, tl.displaced, quantile(tl.waits, 0.5), quantile(tl.waits, 0.99))
		late += tl.late
		refused += tl.refused
		if tl.served == 0 {
			t.Errorf("%s is starved", streams[i].workspace)
		}
	}
	urgent := m.tallies[0]
	if float64(urgent.served) < 0.999*float64(urgent.offered) {
		t.Errorf("urgent: served %d of %d", urgent.served, urgent.offered)
	}
	if w := quantile(urgent.waits, 0.99); w > 250*time.Millisecond {
		t.Errorf("urgent: wait p99 %v", w)
	}
	if g := m.goodput(cfg, 10*time.Minute); g < 0.9 {
		t.Errorf("goodput %.3f of capacity, want 0.9", g)
	}
	if late*20 > refused {
		t.Errorf("%d of %d refusals came only when the deadline did", late, refused)
	}
}

// A workspace that marks all its work urgent and offers 1.7 of the capacity
// must not keep another's batch work out for good: the batch class is granted
// its floor. With a strict order of the classes it got nothing.
func TestUrgentFloodLeavesBatchItsFloor(t *testing.T) {
	streams := []stream{{"flood", 0, 1.7, 2 * time.Second}, {"audit", 3, 0.2, 0}}
	cfg := DefaultQueue
	cfg.Capacity, cfg.MaxWaiting, cfg.MaxWait = 16, 2048, time.Minute
	m := run(t, cfg, streams, 10*time.Minute)
	const floor = 4.0 / 300
	got := float64(m.tallies[1].inTime) * m.cost / (16 * 600)
	t.Logf("batch got %.4f of the capacity, floor %.4f", got, floor)
	if got < 0.9*floor {
		t.Errorf("batch got %.4f of the capacity, its floor is %.4f", got, floor)
	}
}

// Callers refused together must not come back together: the second herd
// would be refused like the first. One thousand are refused in one instant;
// their returns fill the window evenly.
func TestReturnsAreSpread(t *testing.T) {
	cfg := DefaultQueue
	cfg.Capacity, cfg.MaxWaiting = 4, 4
	q := NewQueue(cfg)
	const buckets, callers = 20, 1000
	var first, last time.Duration
	var all []time.Duration
	for i := range callers + 8 {
		e, _ := q.Offer(start, Ticket{ID: fmt.Sprint("r", i), Workspace: "w", Cost: 1})
		if e.State == Rejected {
			all = append(all, e.Err.RetryAfter)
		}
	}
	first, last = quantile(all, 0), quantile(all, 1)
	if len(all) != callers || last < first*19/10 {
		t.Fatalf("%d refused, back between %v and %v", len(all), first, last)
	}
	var count [buckets]int
	for _, d := range all {
		count[min(buckets-1, int(buckets*(d-first)/(last-first)))]++
	}
	for i, n := range count {
		if n > 2*callers/buckets {
			t.Errorf("bucket %d has %d returns, mean %d", i, n, callers/buckets)
		}
	}
}

func TestFullQueueDisplaces(t *testing.T) {
	const large, small = "large", "small"
	tests := []struct {
		name    string
		waiting []Ticket
		offer   Ticket
		wantOut string // displaced entry
		refused bool   // the offer itself
	}{
		{"the least urgent youngest of the workspace most over its share goes",
			[]Ticket{{ID: "a", Workspace: large, Priority: 2}, {ID: "b", Workspace: small, Priority: 2}, {ID: "c", Workspace: large, Priority: 2}},
			Ticket{ID: "x", Workspace: small, Priority: 0}, "c", false},
		{"a less urgent one is refused itself",
			[]Ticket{{ID: "a", Workspace: large, Priority: 0}, {ID: "b", Workspace: small, Priority: 0}, {ID: "c", Workspace: large, Priority: 0}},
			Ticket{ID: "x", Workspace: "other", Priority: 2}, "", true},
		{"within a priority a small workspace displaces a large one's",
			[]Ticket{{ID: "a", Workspace: large}, {ID: "b", Workspace: large}, {ID: "c", Workspace: large}},
			Ticket{ID: "x", Workspace: small}, "c", false},
		{"within a priority the large one displaces nobody",
			[]Ticket{{ID: "a", Workspace: large}, {ID: "b", Workspace: large}, {ID: "c", Workspace: small}},
			Ticket{ID: "x", Workspace: large}, "", true},
		{"weights count",
			[]Ticket{{ID: "a", Workspace: large, Weight: 10}, {ID: "b", Workspace: large, Weight: 10}, {ID: "c", Workspace: small}},
			Ticket{ID: "x", Workspace: "other", Weight: 10}, "c", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := DefaultQueue
			cfg.Capacity, cfg.MaxWaiting, cfg.MaxWait = 1, 3, time.Hour
			q := NewQueue(cfg)
			q.Offer(start, Ticket{ID: "running", Workspace: "w"})
			for _, w := range tt.waiting {
				q.Offer(start, w)
			}
			e, settled := q.Offer(start, tt.offer)
			if (e.State == Rejected) != tt.refused {
				t.Errorf("offer is %v", e.State)
			}
			out := ""
			for _, s := range settled {
				if s != e {
					out = s.ID
				}
			}
			if out != tt.wantOut || q.Waiting() != 3 {
				t.Errorf("displaced %q, want %q; %d wait", out, tt.wantOut, q.Waiting())
			}
		})
	}
}

func TestOfferSaysAtOnceWhatCannotBeMet(t *testing.T) {
	tests := []struct {
		name     string
		capacity int
		startBy  time.Duration
		want     failure.Code
	}{
		{"no capacity at all", 0, 0, failure.Overloaded},
		{"deadline before the expected wait", 1, 100 * time.Millisecond, failure.DeadlineExceeded},
		{"deadline past already", 1, -time.Second, failure.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := DefaultQueue
			cfg.Capacity = tt.capacity
			q := NewQueue(cfg)
			for i := range 3 {
				q.Offer(start, Ticket{ID: fmt.Sprint(i), Workspace: "w"})
			}
			offer := Ticket{ID: "x", Workspace: "w"}
			if tt.startBy != 0 {
				offer.StartBy = start.Add(tt.startBy)
			}
			e, _ := q.Offer(start, offer)
			if e.State != Rejected || e.Err.Code != tt.want || e.Err.Ran != failure.NotRun {
				t.Errorf("offer is %v, %v", e.State, e.Err)
			}
		})
	}
}

// All upstreams are lost while callers without a deadline wait. They must get
// their refusal at once, and those that wait behind a place that is never
// given back must get it in bounded time; without a latest start of their own
// nothing would ever wake them.
func TestNobodyWaitsForNothing(t *testing.T) {
	cfg := DefaultQueue
	cfg.Capacity = 1
	for _, lost := range []bool{true, false} {
		q := NewQueue(cfg)
		q.Offer(start, Ticket{ID: "running", Workspace: "w"})
		e, _ := q.Offer(start, Ticket{ID: "waiting", Workspace: "w"})
		now, settled := start.Add(2*cfg.MaxWait), []*Entry(nil)
		if lost {
			now = start.Add(time.Second)
			settled = q.SetCapacity(now, 0)
		} else {
			settled = q.Expire(now)
		}
		if e.State != Rejected || len(settled) != 1 || q.Waiting() != 0 {
			t.Fatalf("lost %v: %v after %v, %d wait", lost, e.State, now.Sub(start), q.Waiting())
		}
		if e.Err.Code != failure.Overloaded || e.Err.RetryAfter < cfg.MinReturn {
			t.Errorf("lost %v: %v, back in %v", lost, e.Err, e.Err.RetryAfter)
		}
	}
}

// A caller sees one final answer whatever races: the grant, the deadline and
// the caller's leaving come at the same time, and a place granted to a caller
// who has gone would be lost for good.
func TestGateLosesNoPlace(t *testing.T) {
	cfg := DefaultQueue
	cfg.Capacity, cfg.MaxWaiting = 4, 32
	g := NewGate(NewQueue(cfg))
	var wg sync.WaitGroup
	for i := range 400 {
		ctx, cancel := context.WithCancel(context.Background())
		wg.Go(func() {
			defer cancel()
			e, err := g.Wait(ctx, start, Ticket{ID: fmt.Sprint(i), Workspace: fmt.Sprint("w", i%7), Priority: i % 4, Cost: 0.001})
			if err == nil {
				g.Done(start.Add(time.Millisecond), e)
				return
			}
			var f *failure.Error
			if !errors.As(err, &f) || f.Ran != failure.NotRun {
				t.Errorf("refused with %v", err)
			}
		})
		if i%3 == 0 {
			wg.Go(cancel)
		}
	}
	wg.Wait()
	if g.InFlight() != 0 || g.Waiting() != 0 {
		t.Errorf("%d in flight, %d wait", g.InFlight(), g.Waiting())
	}
}
