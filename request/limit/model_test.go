package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// stream is the offered load of one workspace at one priority.
type stream struct {
	workspace string
	priority  int
	load      float64 // part of the whole capacity
	patience  time.Duration
}

// tally is what became of one stream's requests.
type tally struct {
	offered, served, refused, late, displaced int
	inTime                                    int // served before the load ended
	waits                                     []time.Duration
	returns                                   []time.Duration
}

// model runs a queue of some places against streams in virtual time. A
// request holds its place for an exponential time, its mean is its cost.
type model struct {
	t       *testing.T
	q       *Queue
	now     time.Time
	end     time.Time // of the load
	rnd     *rand.Rand
	events  heap[event]
	entries map[*Entry]int // its stream
	tallies []tally
	cost    float64
}

type event struct {
	at     time.Time
	stream int    // an arrival
	done   *Entry // or the end of a request
}

func run(t *testing.T, cfg QueueConfig, streams []stream, d time.Duration) *model {
	t.Helper()
	m := &model{
		t: t, q: NewQueue(cfg), now: start, end: start.Add(d), rnd: rand.New(rand.NewPCG(1, 2)),
		entries: map[*Entry]int{}, tallies: make([]tally, len(streams)), cost: 0.5,
	}
	m.events = heap[event]{
		less: func(a, b event) bool { return a.at.Before(b.at) },
		move: func(event, int) {},
	}
	for i := range streams {
		m.events.push(event{at: start, stream: i})
	}
	for m.events.len() > 0 {
		e := m.events.top()
		m.events.remove(0)
		m.now = e.at
		if e.done != nil {
			m.settle(m.q.Done(m.now, e.done))
			continue
		}
		if m.now.Before(m.end) {
			m.arrive(e.stream, streams[e.stream], float64(cfg.Capacity))
		}
	}
	if len(m.entries) != 0 {
		t.Errorf("%d entries never got an answer", len(m.entries))
	}
	return m
}

func (m *model) arrive(i int, s stream, capacity float64) {
	tick := Ticket{
		ID: fmt.Sprint(s.workspace, m.tallies[i].offered), Workspace: s.workspace,
		Priority: s.priority, Cost: m.cost,
	}
	if s.patience > 0 {
		tick.StartBy = m.now.Add(s.patience)
	}
	m.tallies[i].offered++
	e, settled := m.q.Offer(m.now, tick)
	m.entries[e] = i
	m.settle(settled)
	gap := m.rnd.ExpFloat64() * m.cost / (s.load * capacity)
	m.events.push(event{at: m.now.Add(time.Duration(gap * float64(time.Second))), stream: i})
}

func (m *model) settle(settled []*Entry) {
	for _, e := range settled {
		tally := &m.tallies[m.entries[e]]
		delete(m.entries, e)
		if e.State == Granted {
			m.serve(tally, e)
			continue
		}
		if e.State != Rejected || e.Err.Ran != failure.NotRun || e.Err.RetryAfter <= 0 {
			m.t.Fatalf("refused entry: state %v, error %v, back in %v", e.State, e.Err, e.Err.RetryAfter)
		}
		tally.refused++
		tally.returns = append(tally.returns, e.Err.RetryAfter)
		switch {
		case m.now.Equal(e.arrived):
		case e.Err.Code == failure.DeadlineExceeded:
			tally.late++
		default:
			tally.displaced++
		}
	}
}

func (m *model) serve(tally *tally, e *Entry) {
	if !e.StartBy.IsZero() && m.now.After(e.StartBy) {
		m.t.Fatalf("granted %v after its latest start", m.now.Sub(e.StartBy))
	}
	tally.served++
	if m.now.Before(m.end) {
		tally.inTime++
	}
	tally.waits = append(tally.waits, m.now.Sub(e.arrived))
	hold := time.Duration(m.rnd.ExpFloat64() * m.cost * float64(time.Second))
	m.events.push(event{at: m.now.Add(hold), done: e})
}

func (m *model) goodput(cfg QueueConfig, d time.Duration) float64 {
	served := 0
	for _, t := range m.tallies {
		served += t.inTime
	}
	return float64(served) * m.cost / (float64(cfg.Capacity) * d.Seconds())
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	return s[int(q*float64(len(s)-1))]
}
