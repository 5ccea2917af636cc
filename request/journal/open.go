package journal

import (
	"context"
	"time"
)

// freshKeys is how old the keys are that a partition serves as soon as it is
// opened. Older ones wait until the rest of the horizon is read back.
const freshKeys = 15 * time.Second

// open reads back just far enough to serve fresh keys and returns, so that a
// node that starts serves at once; the rest of the horizon is read back
// beside it.
func (p *partition) open(ctx context.Context) error {
	now := time.Now()
	fresh, err := p.seekState(ctx, now.Add(-freshKeys))
	p.health.note(&p.health.reads, time.Now(), err)
	if err != nil {
		p.mu.Lock()
		close(p.openFailed)
		p.openFailed = make(chan struct{})
		p.mu.Unlock()
		return err
	}
	filled := make(chan struct{})
	p.mu.Lock()
	first := p.state == nil
	p.state, p.filled = fresh, filled
	p.mu.Unlock()
	if first {
		close(p.ready)
	}
	p.wg.Go(func() {
		defer close(filled)
		p.fill(ctx, fresh, now.Add(-p.settings.Horizon-p.settings.ClockSkew))
	})
	return nil
}

// seekState gives a state that is complete for keys made at covered or later
// once it has been read up to the present.
func (p *partition) seekState(ctx context.Context, covered time.Time) (*State, error) {
	from, latest, err := seek(ctx, p.log, p.stream, millis(covered.Add(-p.settings.lead())))
	if err != nil {
		return nil, err
	}
	s := newState(p.settings, from, millis(covered))
	s.latest = latest
	return s, nil
}

// fill reads the stream from further back into a second state, and puts that
// one in the place of fresh when both have read equally far. It ends early if
// the partition is opened anew.
func (p *partition) fill(ctx context.Context, fresh *State, covered time.Time) {
	for p.current(fresh) {
		whole, err := p.seekState(ctx, covered)
		for err == nil && !p.swap(fresh, whole) {
			err = p.fillPage(ctx, fresh, whole)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		p.health.note(&p.health.reads, time.Now(), err)
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
	}
}

func (p *partition) current(s *State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == s
}

// fillPage reads one page, but nothing that fresh has not read: whoever
// waits for those records hears of them as fresh reads them.
func (p *partition) fillPage(ctx context.Context, fresh, whole *State) error {
	page, err := p.log.Read(ctx, p.stream, whole.next, readLimit, 0)
	if err != nil {
		return err
	}
	p.mu.Lock()
	end := fresh.next
	p.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset < end {
			_, _ = whole.Apply(r) // what can't be read is reported by apply
		}
	}
	return nil
}

// swap says whether the filling is over.
func (p *partition) swap(fresh, whole *State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != fresh {
		return true
	}
	if whole.next < fresh.next {
		return false
	}
	p.state = whole
	return true
}

// coverage waits until the state is complete for a key's time. Without, a
// caller's retry through a node that has just started could pass for new.
func (p *partition) coverage(ctx context.Context, keyTime int64) error {
	for {
		p.mu.Lock()
		covered, filled := keyTime >= p.state.covered, p.filled
		p.mu.Unlock()
		if covered {
			return nil
		}
		select {
		case <-filled:
		case <-ctx.Done():
			return errNotCovered
		case <-p.stopped:
			return errClosed
		}
		// Still not covered: the key is older than the horizon was when the
		// partition was opened, or the state was opened anew.
		p.mu.Lock()
		over := p.filled == filled && keyTime < p.state.covered
		p.mu.Unlock()
		if over {
			return errNotCovered
		}
	}
}
