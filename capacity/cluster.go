package capacity

import (
	"context"
	"encoding/gob"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
)

// Names of the slopes of a journal's fleet.
const (
	journalAppends  = "journal, log appends a second of all nodes"
	journalLogBytes = "journal, log bytes a second of all nodes"
	journalCalls    = "journal, calls between nodes a second, of all"
	journalBytes    = "journal, bytes a second between nodes, of all"
	journalReads    = "journal, log reads a second of all nodes"
	journalRead     = "journal, log bytes a second that all nodes read"
	journalWait     = "journal, what it adds to a call, at the median"
)

// The load of a journal's fleet. The letter doesn't say how many requests
// are not repeatable; one in twenty is taken.
const (
	NotRepeatablePerSecond = RequestsPerSecond / 20
	journalWarm            = 2500 * time.Millisecond
	journalCount           = 3 * time.Second
	journalLogDelay        = time.Millisecond
	journalPeerDelay       = 500 * time.Microsecond
)

// journalFleet is the journals of many nodes over one log, in real time.
// Calls between them are plain calls with a delay.
type journalFleet struct {
	log     delayedLog
	members []journal.Member
	nodes   map[string]*journal.Journal
	calls   atomic.Int64
	failed  atomic.Pointer[error]

	mu    sync.Mutex // guards what is below
	size  *gobSize
	bytes int
	waits []float64
}

// delayedLog is a log whose answers take a moment.
type delayedLog struct {
	fakelog.Log
	appends, bytes   atomic.Int64
	reads, readBytes atomic.Int64
}

// Read implements platform.Log.
func (l *delayedLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.reads.Add(1)
	for _, r := range page.Records {
		l.readBytes.Add(int64(len(r.Body)))
	}
	return page, err
}

// Append implements platform.Log.
func (l *delayedLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	time.Sleep(journalLogDelay)
	l.appends.Add(1)
	l.bytes.Add(int64(len(body)))
	return l.Log.Append(ctx, stream, body)
}

// journalPeers is one node's way to the others.
type journalPeers struct{ fleet *journalFleet }

// Members implements journal.Peers.
func (p journalPeers) Members() []journal.Member { return p.fleet.members }

// Call implements journal.Peers.
func (p journalPeers) Call(_ context.Context, address, method string, args, reply any) error {
	f := p.fleet
	f.calls.Add(1)
	h := f.nodes[address].Handler()
	time.Sleep(journalPeerDelay)
	err := dispatch(h, method, args, reply)
	f.count(args)
	f.count(reply)
	time.Sleep(journalPeerDelay)
	return err
}

func dispatch(h *journal.Handler, method string, args, reply any) error {
	switch r := reply.(type) {
	case *journal.ClaimResponse:
		return h.Claim(args.(journal.ClaimRequest), r)
	case *journal.RecordResponse:
		return h.Record(args.(journal.RecordRequest), r)
	case *journal.AnswerResponse:
		return h.Answer(args.(journal.AnswerRequest), r)
	}
	return fmt.Errorf("no method %s", method)
}

func (f *journalFleet) count(v any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += wireBytes(f.size.of(v))
}

func newJournalFleet(n int) (*journalFleet, error) {
	f := &journalFleet{nodes: map[string]*journal.Journal{}, size: &gobSize{}}
	f.size.enc = gob.NewEncoder(f.size)
	for i := range n {
		name := fmt.Sprintf("node-%03d", i)
		f.members = append(f.members, journal.Member{Name: name, DataCentre: fmt.Sprint("dc-", i%dataCentresOf(n)), Address: name})
	}
	for _, m := range f.members {
		s := journal.DefaultSettings()
		s.Node, s.DataCentre, s.Incarnation = m.Name, m.DataCentre, 1_800_000_000_000
		j, err := journal.New(s, &f.log, journalPeers{f}, zap.NewNop())
		if err != nil {
			return nil, err
		}
		f.nodes[m.Name] = j
	}
	return f, nil
}

func (f *journalFleet) close() {
	var wg sync.WaitGroup
	for _, j := range f.nodes {
		wg.Go(func() { _ = j.Close() })
	}
	wg.Wait()
}

type journalResult struct{ appends, logBytes, calls, bytes, reads, read, wait float64 }

// play sends calls at even intervals to the nodes in turn.
func (f *journalFleet) play() journalResult {
	f.load(journalWarm, "warm")
	f.mu.Lock()
	f.waits, f.bytes = nil, 0
	f.mu.Unlock()
	appends, logged, calls := f.log.appends.Load(), f.log.bytes.Load(), f.calls.Load()
	reads, read := f.log.reads.Load(), f.log.readBytes.Load()
	f.load(journalCount, "key")
	seconds := journalCount.Seconds()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := journalResult{
		appends:  float64(f.log.appends.Load()-appends) / seconds,
		logBytes: float64(f.log.bytes.Load()-logged) / seconds,
		calls:    float64(f.calls.Load()-calls) / seconds,
		bytes:    float64(f.bytes) / seconds,
		reads:    float64(f.log.reads.Load()-reads) / seconds,
		read:     float64(f.log.readBytes.Load()-read) / seconds,
	}
	if len(f.waits) > 0 {
		r.wait = median(f.waits)
	}
	return r
}

func (f *journalFleet) load(d time.Duration, key string) {
	const interval = 10 * time.Millisecond
	end := time.Now().Add(d)
	t := time.NewTicker(interval)
	defer t.Stop()
	sent := 0
	for began := time.Now(); time.Now().Before(end); <-t.C {
		for due := int(time.Since(began).Seconds() * NotRepeatablePerSecond); sent < due; sent++ {
			// A step that is prime to the number of nodes.
			m := f.members[sent*7%len(f.members)]
			name := fmt.Sprint(key, "-", sent)
			go f.one(f.nodes[m.Name], name)
		}
	}
}

func (f *journalFleet) one(j *journal.Journal, key string) {
	began := time.Now()
	if err := oneCall(j, key); err != nil {
		f.failed.CompareAndSwap(nil, &err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits = append(f.waits, time.Since(began).Seconds()*1e3)
}

// journalFleetSlopes plays the fleets of all sizes side by side.
func journalFleetSlopes(Config) ([]Slope, error) {
	results := make([]journalResult, len(fleetSizes))
	var g errgroup.Group
	for i, n := range fleetSizes {
		g.Go(func() error {
			f, err := newJournalFleet(n)
			if err != nil {
				return err
			}
			defer f.close()
			results[i] = f.play()
			if failed := f.failed.Load(); failed != nil {
				return *failed
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	of := func(name, unit string, value func(journalResult) float64) Slope {
		points := make([]Point, len(fleetSizes))
		for i, n := range fleetSizes {
			points[i] = Point{Size: float64(n), Value: value(results[i])}
		}
		return newSlope(name, "request/journal Journal", unit, PerNode, points)
	}
	return []Slope{
		of(journalAppends, "appends/s", func(r journalResult) float64 { return r.appends }),
		of(journalLogBytes, "bytes/s", func(r journalResult) float64 { return r.logBytes }),
		of(journalCalls, "calls/s", func(r journalResult) float64 { return r.calls }),
		of(journalBytes, "bytes/s", func(r journalResult) float64 { return r.bytes }),
		of(journalReads, "reads/s", func(r journalResult) float64 { return r.reads }),
		of(journalRead, "bytes/s", func(r journalResult) float64 { return r.read }),
		of(journalWait, "ms", func(r journalResult) float64 { return r.wait }),
	}, nil
}
