package completion

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

// leastUrgent is the priority of work that no caller waits for.
const leastUrgent = 7

// Warm makes a pool compute a prompt that its workspace is about to be shifted to, so
// that the first callers after the shift don't wait for it. It requests one token,
// because an engine computes a prompt only together with an answer.
func (rt *Router) Warm(ctx context.Context, r Request, pool string) error {
	r.MaxTokens = 1
	r.Priority, r.Class = leastUrgent, leastUrgent
	s := &requestState{rt: rt, ctx: ctx, r: r, content: r.content(), startedAt: time.Now(), chain: rt.chain(r)}
	c := rt.View.Catalogue()
	if _, ok := c.Config().Models[r.Model]; !ok {
		return failure.ErrUnknownModel
	}
	g, l := c.Engines(catalogue.Group{Pool: pool, Model: r.Model})
	if g.Pool != pool {
		return failure.ErrNoUpstream
	}
	s.target = target{group: g, list: l}
	release, err := rt.Admission.Admit(ctx, s.startedAt, r, s.chain.Tokens())
	if err != nil {
		return fmt.Errorf("warm pool: %w", err)
	}
	a, err := s.attemptUntilAnswered(ctx)
	if err != nil {
		release()
		return fmt.Errorf("warm pool: %w", err)
	}
	a.release = release
	defer a.Close()
	for {
		if _, err := a.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("warm pool: %w", err)
		}
	}
}
