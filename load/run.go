package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/process/clock"
)

// Expect gives the answer that a chat has to get.
type Expect func(c Chat) string

// Run is a number of callers that send one request after the other.
type Run struct {
	Client   *Client
	Workload Workload
	Expect   Expect // nil: the text is not checked
	Callers  int
	// Requests is how many each caller sends; 0: until ctx ends.
	Requests int
	// Pause is a caller's time between two requests.
	Pause time.Duration
	Seed  uint64
	// Returns is how often a caller comes back after a refusal that says
	// when, or a connection that failed before an answer.
	Returns int
	Result  *Result
	// Progress, if set, is called after each request.
	Progress func()
}

// Do sends the requests and returns when every caller is done.
func (r Run) Do(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range r.Callers {
		callers.Go(func() { r.caller(ctx, rand.New(rand.NewPCG(r.Seed, uint64(i)))) })
	}
	callers.Wait()
}

func (r Run) caller(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil && (r.Requests == 0 || n < r.Requests); n++ {
		// A request that was begun is waited for, so that the end of the run
		// cuts none.
		c := r.Workload.Next(random)
		a, err := r.Send(context.WithoutCancel(ctx), c)
		r.Result.Add(c, a, err)
		if r.Progress != nil {
			r.Progress()
		}
		clock.Sleep(ctx, r.Pause)
	}
}

// Send sends one chat, comes back as the refusals say, and checks the answer.
func (r Run) Send(ctx context.Context, c Chat) (Answer, error) {
	for n := 0; ; n++ {
		a, err := r.Client.Stream(ctx, c)
		if err == nil {
			return a, r.check(c, a)
		}
		wait, again := comeBack(err)
		if !again || n >= r.Returns {
			return a, err
		}
		clock.Sleep(ctx, wait)
	}
}

func (r Run) check(c Chat, a Answer) error {
	if r.Expect == nil {
		return nil
	}
	if want := r.Expect(c); a.Text != want {
		return fmt.Errorf("%w: %d tokens: %.60q, want %.60q", ErrWrong, a.Tokens, a.Text, want)
	}
	return nil
}

// comeBack says whether and when a caller of a repeatable request sends it
// again.
func comeBack(err error) (time.Duration, bool) {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal.RetryAfter, refusal.RetryAfter > 0
	case errors.Is(err, ErrConnection):
		return 0, true
	}
	return 0, false
}
