package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
)

// Names of the slopes of the journal.
const (
	claimProcessor = "journal, processor time of calls"
	claimLogBytes  = "journal, log bytes of calls"
	keyHeap        = "journal, bytes of kept keys"
)

// claimSizes are the not-repeatable calls that are made.
var claimSizes = []int{2000, 4000, 8000, 16000}

const journalCode = "request/journal Journal.Begin, Claim.EndRan"

// callsAtOnce is how many calls wait for the log together; it sets how many
// share one record.
const callsAtOnce = 64

// callsResult is what some calls cost a node that reads the partitions.
type callsResult struct {
	processor float64 // microseconds
	logBytes  float64
	heap      float64
}

func journalSlopes(cfg Config) ([]Slope, error) {
	results := map[int]callsResult{}
	for _, n := range claimSizes {
		r, err := playCalls(n)
		if err != nil {
			return nil, err
		}
		results[n] = r
	}
	of := func(name, unit string, per Growth, value func(callsResult) float64) Slope {
		return measured(name, journalCode, unit, per, claimSizes, func(n int) float64 { return value(results[n]) })
	}
	return []Slope{
		of(claimProcessor, "µs", PerKey, func(r callsResult) float64 { return r.processor }),
		of(claimLogBytes, "bytes", PerKey, func(r callsResult) float64 { return r.logBytes }),
		of(keyHeap, "bytes", PerKey, func(r callsResult) float64 { return r.heap }),
	}, nil
}

// countedLog counts the bytes that are appended.
type countedLog struct {
	fakelog.Log
	bytes atomic.Int64
}

// Append implements platform.Log.
func (l *countedLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	l.bytes.Add(int64(len(body)))
	return l.Log.Append(ctx, stream, body)
}

// playCalls makes n calls on one node that reads all partitions itself.
func playCalls(n int) (callsResult, error) {
	log := &countedLog{}
	s := journal.DefaultSettings()
	s.Node, s.DataCentre, s.Incarnation, s.AppendBudget = "node-001", "dc-0", 1_800_000_000_000, 1e6
	j, err := journal.New(s, log, journal.NoPeers{}, zap.NewNop())
	if err != nil {
		return callsResult{}, err
	}
	defer func() { _ = j.Close() }()
	before, spent := heapBytes(), processorTime()
	err = makeCalls(j, n)
	r := callsResult{processor: (processorTime() - spent).Seconds() * 1e6}
	for j.Stats().Unsent > 0 {
		time.Sleep(time.Millisecond)
	}
	r.logBytes = float64(log.bytes.Load())
	r.heap = heapBytes() - before - r.logBytes // which the log itself holds
	return r, err
}

// makeCalls claims and ends n keys, callsAtOnce at a time.
func makeCalls(j *journal.Journal, n int) error {
	var next atomic.Int64
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for range callsAtOnce {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				if err := oneCall(j, fmt.Sprint("key-", i)); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

func oneCall(j *journal.Journal, key string) error {
	now := time.Now()
	c, _, err := j.Begin(context.Background(), now, journal.KeyedRequest{Workspace: "w", Key: key, KeyTime: now})
	if err != nil {
		return err
	}
	if !c.BeginSend(now) {
		return fmt.Errorf("%s: no leave to send", key)
	}
	c.EndRan(now, journal.Answer{Status: 200})
	return nil
}
