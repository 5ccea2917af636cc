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

// ExpectedAnswer returns the text of the correct answer to a chat.
type ExpectedAnswer func(c Chat) string

// Run sets up a number of callers, each of which sends one request after another.
type Run struct {
	Client   *Client
	Workload Workload
	Expect   ExpectedAnswer // nil: the answers' texts are not checked
	Callers  int
	// Requests is the number of requests that each caller sends; 0: until ctx ends.
	Requests int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	Seed  uint64
	// MaxRetries bounds how often a caller repeats a request after a refusal with a
	// retry time, or after a connection that failed before the answer.
	MaxRetries int
	Result     *Result
	// Progress, if set, is called after each request.
	Progress func()
}

// Do sends the requests and returns when all callers have finished.
func (r Run) Do(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range r.Callers {
		callers.Go(func() { r.runCaller(ctx, rand.New(rand.NewPCG(r.Seed, uint64(i)))) })
	}
	callers.Wait()
}

func (r Run) runCaller(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil && (r.Requests == 0 || n < r.Requests); n++ {
		// A request in progress is completed, so that the end of the run cuts no
		// request.
		c := r.Workload.Next(random)
		a, err := r.Send(context.WithoutCancel(ctx), c)
		r.Result.Add(c, a, err)
		if r.Progress != nil {
			r.Progress()
		}
		clock.Sleep(ctx, r.Pause)
	}
}

// Send sends one chat, repeats it at the retry times of refusals, and checks the
// answer.
func (r Run) Send(ctx context.Context, c Chat) (Answer, error) {
	for n := 0; ; n++ {
		a, err := r.Client.Stream(ctx, c)
		if err == nil {
			return a, r.checkAnswer(c, a)
		}
		wait, retry := retryDelay(err)
		if !retry || n >= r.MaxRetries {
			return a, err
		}
		clock.Sleep(ctx, wait)
	}
}

func (r Run) checkAnswer(c Chat, a Answer) error {
	if r.Expect == nil {
		return nil
	}
	if want := r.Expect(c); a.Text != want {
		return fmt.Errorf("%w: %d tokens: %.60q, want %.60q", ErrWrongAnswer, a.Tokens, a.Text, want)
	}
	return nil
}

// retryDelay returns the delay after which a caller repeats a repeatable request
// that failed with err, and whether the caller repeats it.
func retryDelay(err error) (time.Duration, bool) {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal.RetryAfter, refusal.RetryAfter > 0
	case errors.Is(err, ErrConnection):
		return 0, true
	}
	return 0, false
}
