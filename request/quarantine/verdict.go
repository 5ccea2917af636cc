package quarantine

import (
	"cmp"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// applyNewEnd holds what was there at enough ends, and releases what was only there because of it.
func (b *Tracker) applyNewEnd(now time.Time, c Digest, e *entry) {
	b.holdIfDue(now, c, e)
	if e.isHeld() {
		b.releaseExplained(now)
	}
}

// holdIfDue holds a request during which enough upstreams have ended. An end during
// its trial holds it for longer; later ends of sends that were already running change
// nothing.
func (b *Tracker) holdIfDue(now time.Time, c Digest, e *entry) {
	if len(e.ends) < holdThreshold || e.isHeld() && !e.inTrial(now) || !isDue(c, e, b.explainersOf(e)) {
		return
	}
	e.holdCount++
	e.trial = time.Time{}
	e.heldUntil = now.Add(holdDuration(e.holdCount))
	b.queueOwnSave(c, e)
	b.observer.Quarantined(e.grain(), Held)
	event.Warn(b.log, event.RequestHeld, e.logFields(now, c)...)
}

// releaseExplained releases the held entries whose ends others account for.
func (b *Tracker) releaseExplained(now time.Time) {
	held := heldEntries{parts: b.heldOf(PromptPart)}
	if len(held.parts) == 0 {
		return // requests don't account for each other
	}
	held.requests = b.heldOf(Request)
	for _, h := range append(held.requests, held.parts...) {
		if !h.inTrial(now) && !isDue(h.digest, h.entry, held) {
			b.release(now, h.digest, h.entry)
			b.queueOwnSave(h.digest, h.entry)
		}
	}
}

// release ends the hold of an entry.
func (b *Tracker) release(now time.Time, c Digest, e *entry) {
	e.heldUntil, e.trial, e.holdCount = time.Time{}, time.Time{}, 0
	b.observer.Quarantined(e.grain(), Cleared)
	event.Info(b.log, event.RequestCleared, e.logFields(now, c)...)
}

// heldEntry is an entry that is held.
type heldEntry struct {
	*entry
	digest Digest
}

// heldEntries are the entries that are held, by what they stand for.
type heldEntries struct{ requests, parts []heldEntry }

// explainersOf returns the held entries that may account for the ends of an entry.
func (b *Tracker) explainersOf(e *entry) heldEntries {
	held := heldEntries{parts: b.heldOf(PromptPart)}
	if e.isPart() {
		held.requests = b.heldOf(Request)
	}
	return held
}

func (b *Tracker) heldOf(g Grain) []heldEntry {
	var all []heldEntry
	for c, e := range b.entries {
		if e.isHeld() && e.grain() == g {
			all = append(all, heldEntry{e, c})
		}
	}
	return all
}

// isDue reports whether the ends of an entry are enough to hold it. A part needs ends of different
// requests: a single one that ends upstreams takes its parts to all of its ends.
func isDue(c Digest, e *entry, held heldEntries) bool {
	if len(e.ends) < holdThreshold {
		return false
	}
	ends := unexplainedEnds(c, e, held)
	if e.isPart() {
		ends = lo.UniqBy(ends, func(o End) Digest { return o.Request })
	}
	return len(ends) >= holdThreshold
}

// unexplainedEnds returns the ends of an entry that no held entry accounts for. Requests don't
// account for the ends of other requests.
func unexplainedEnds(c Digest, e *entry, held heldEntries) []End {
	ends := withoutExplained(e.ends, c, e, held.parts)
	if e.isPart() {
		ends = withoutExplained(ends, c, e, held.requests)
	}
	return ends
}

func withoutExplained(ends []End, c Digest, e *entry, held []heldEntry) []End {
	for _, h := range held {
		if len(ends) > 0 && h.overlaps(e) && h.explains(e, c) {
			ends = lo.Reject(ends, func(o End, _ int) bool { return lo.ContainsBy(h.ends, o.isSame) })
		}
	}
	return ends
}

// overlaps reports whether two entries may have ends in common, as most held ones don't.
func (e *entry) overlaps(o *entry) bool {
	return len(e.ends) > 0 && len(o.ends) > 0 &&
		e.ends[0].At.Sub(o.ends[len(o.ends)-1].At) < sameEndWindow &&
		o.ends[0].At.Sub(e.ends[len(e.ends)-1].At) < sameEndWindow
}

// explains reports whether a held entry accounts for the ends that it has in common with another
// one: it was there at more of them. Between equals the narrower one accounts for the wider one, a
// request for its parts and a part for those before it, as less is refused if it is held.
func (h heldEntry) explains(o *entry, digest Digest) bool {
	return h.digest != digest && cmp.Or(
		cmp.Compare(len(h.ends), len(o.ends)),
		cmp.Compare(o.grain(), h.grain()),
		cmp.Compare(h.level, o.level),
		cmp.Compare(h.digest, digest),
	) > 0
}
