package gateway

import (
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// Endings is what nodes tell each other of upstreams that end or are about to.
type Endings struct {
	Quarantine []quarantine.News // of requests under which upstreams have ended
	Leaving    []string          // upstreams whose answers have said so lately
}

// endings is where that comes from and goes to.
type endings struct {
	held    *quarantine.Book
	hearing *hearing
}

func newEndings(i do.Injector) endings {
	return endings{held: do.MustInvoke[*quarantine.Book](i), hearing: do.MustInvoke[*hearing](i)}
}

// untold gives what this node has to tell by itself.
func (e endings) untold(now time.Time) Endings {
	return Endings{Quarantine: e.held.Untold(now), Leaving: e.hearing.lately(clock.Boot())}
}

// recent gives what this node has seen or heard lately, for who asks it.
func (e endings) recent(now time.Time) Endings {
	return Endings{Quarantine: e.held.Recent(now), Leaving: e.hearing.lately(clock.Boot())}
}

// take takes in what a peer tells.
func (e endings) take(now time.Time, told Endings) {
	e.held.Hear(now, told.Quarantine)
	e.hearing.told(clock.Boot(), told.Leaving)
}
