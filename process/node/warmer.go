package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/recent"
)

// Bounds of warming.
const (
	warmWorkers = 4
	// recentWindow is how recently a prefix must have been used to be warmed.
	recentWindow = 5 * time.Minute
	// warmLifetime is how long a pool is assumed to keep what it has computed. After
	// it, the next step of a shift warms the pool again.
	warmLifetime = time.Minute
	// warmTimeout bounds the computation of one prefix.
	warmTimeout = 30 * time.Second
)

// warmJob is the warming of one pool for one workspace.
type warmJob struct {
	workspace string
	pool      string
}

// warmTask is one prefix to compute.
type warmTask struct {
	job    warmJob
	prefix recent.Prefix
}

// warmer computes a workspace's prefixes in a pool before the workspace's requests
// arrive there. It knows only the prefixes that this node has seen, but all nodes
// see the same frequent ones, as the load balancer distributes requests evenly.
type warmer struct {
	table *recent.Table
	send  func(ctx context.Context, r completion.Request, pool string) error
	tasks chan warmTask

	mu        sync.Mutex
	pending   map[warmJob]int
	startedAt map[warmJob]time.Time
	failures  map[warmJob]error

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

func newWarmer(t *recent.Table, send func(context.Context, completion.Request, string) error) *warmer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &warmer{
		table:     t,
		send:      send,
		tasks:     make(chan warmTask, recent.DefaultPrefixes),
		pending:   map[warmJob]int{},
		startedAt: map[warmJob]time.Time{},
		failures:  map[warmJob]error{},
		cancel:    cancel,
	}
	for range warmWorkers {
		w.workers.Go(func() { w.runWorker(ctx) })
	}
	return w
}

func (w *warmer) Close() error {
	w.cancel()
	w.workers.Wait()
	return nil
}

// Warm starts the job, or reports that it is done or has failed. The planner calls
// it again until the job is done.
func (w *warmer) Warm(_ context.Context, workspace, pool string) (bool, error) {
	now := time.Now()
	job := warmJob{workspace: workspace, pool: pool}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.failures[job]; err != nil {
		delete(w.failures, job)
		delete(w.startedAt, job)
		return false, err
	}
	startTime, started := w.startedAt[job]
	if started && now.Sub(startTime) < warmLifetime {
		return w.pending[job] == 0, nil
	}
	w.enqueue(now, job)
	return w.pending[job] == 0, nil
}

// enqueue queues as many of the job's prefixes as the queue has room for. The others
// are less recent and cost no more than they would without warming.
func (w *warmer) enqueue(now time.Time, job warmJob) {
	w.startedAt[job] = now
	for _, o := range w.table.Prefixes(job.workspace, now.Add(-recentWindow)) {
		select {
		case w.tasks <- warmTask{job: job, prefix: o}:
			w.pending[job]++
		default:
			return
		}
	}
}

func (w *warmer) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-w.tasks:
			w.finishTask(t.job, w.computePrefix(ctx, t))
		}
	}
}

func (w *warmer) computePrefix(ctx context.Context, t warmTask) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	return w.send(ctx, completion.Request{
		ID:        uuid.NewString(),
		Workspace: t.job.workspace,
		Model:     t.prefix.Model,
		Adapter:   t.prefix.Adapter,
		Messages:  t.prefix.Messages,
	}, t.job.pool)
}

// finishTask records the end of a task. A pool that is only overloaded or rate
// limited is no failure: callers' requests take precedence over warming.
func (w *warmer) finishTask(job warmJob, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[job]--
	if w.pending[job] == 0 {
		delete(w.pending, job)
	}
	if err != nil && !errors.Is(err, failure.ErrOverloaded) && !errors.Is(err, failure.ErrRateLimited) {
		w.failures[job] = err
	}
}
