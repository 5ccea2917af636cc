package follower

import (
	"sync"

	"github.com/dunlinmill/dunlinmill/version/fold"
)

// subscription holds the newest state that the subscriber hasn't received yet. A slow
// subscriber skips states and blocks nobody.
type subscription struct {
	states chan *fold.State
}

// offer replaces the held state. It is called with the follower's mu held, so that
// there is one writer.
func (s *subscription) offer(state *fold.State) {
	select {
	case <-s.states:
	default:
	}
	s.states <- state
}

// Subscribe returns a channel that receives the newest state at once and after each
// change, and a function that ends the subscription.
func (f *Follower) Subscribe() (<-chan *fold.State, func()) {
	sub := &subscription{states: make(chan *fold.State, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs[sub] = struct{}{}
	sub.offer(f.state.Load())
	var once sync.Once
	return sub.states, func() {
		once.Do(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.subs, sub)
		})
	}
}
