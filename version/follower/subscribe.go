package follower

import (
	"sync"

	"github.com/dunlinmill/dunlinmill/version/fold"
)

// subscription holds one state, the newest that wasn't taken yet: a slow
// subscriber skips states and holds nobody up.
type subscription struct {
	states chan *fold.State
}

// offer is called with the follower's mu held, so that there is one writer.
func (s *subscription) offer(state *fold.State) {
	select {
	case <-s.states:
	default:
	}
	s.states <- state
}

// Subscribe gives the newest state at once and after each change. The
// returned function ends the subscription.
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
