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

// leastUrgent is the priority of work that nobody waits for.
const leastUrgent = 7

// Warm has a pool compute a prompt that its workspace is about to bring
// there, so that the first callers after the shift don't wait for it. It
// asks for one token, as an engine computes a prompt only with an answer.
func (rt *Router) Warm(ctx context.Context, r Request, pool string) error {
	r.MaxTokens = 1
	r.Priority, r.Class = leastUrgent, leastUrgent
	s := &start{rt: rt, ctx: ctx, r: r, content: r.content(), began: time.Now(), chain: rt.chain(r)}
	c := rt.View.Catalogue()
	if _, ok := c.Config().Models[r.Model]; !ok {
		return failure.ErrUnknownModel
	}
	g, l := c.Engines(catalogue.Group{Pool: pool, Model: r.Model})
	if g.Pool != pool {
		return failure.ErrNoUpstream
	}
	s.target = target{group: g, list: l}
	release, err := rt.Admission.Admit(ctx, s.began, r, s.chain.Tokens())
	if err != nil {
		return fmt.Errorf("warm: %w", err)
	}
	a, err := s.attemptAll(ctx)
	if err != nil {
		release()
		return fmt.Errorf("warm: %w", err)
	}
	a.release = release
	defer a.Close()
	for {
		if _, err := a.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("warm: %w", err)
		}
	}
}
