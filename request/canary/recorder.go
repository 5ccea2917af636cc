package canary

import (
	"sync"
	"time"
)

const (
	// recentSlots and slotTime set the span of recent evidence. A version that turns bad later is
	// found by it before its good answers of before are outweighed.
	recentSlots = 6
	slotTime    = 500 * time.Millisecond
)

// Recorder counts the answers of one node during a roll-out. mu guards all of its fields.
type Recorder struct {
	mu    sync.Mutex
	total Evidence
	slots [recentSlots]slot
}

// slot has the answers of one span of slotTime.
type slot struct {
	began    time.Time
	evidence Evidence
}

// NewRecorder returns a Recorder without answers.
func NewRecorder() *Recorder { return &Recorder{total: Evidence{}} }

// Record counts one answer. One without evidence has no effect.
func (r *Recorder) Record(now time.Time, a Answer) {
	if a.Outcome == NoEvidence {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = r.total.with(a)
	began := now.Truncate(slotTime)
	s := &r.slots[began.UnixNano()/int64(slotTime)%recentSlots]
	if !s.began.Equal(began) {
		*s = slot{began: began, evidence: Evidence{}}
	}
	s.evidence = s.evidence.with(a)
}

// Evidence returns all that was counted, and what was counted recently.
func (r *Recorder) Evidence(now time.Time) (total, recent Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var slots []Evidence
	for _, s := range r.slots {
		if now.Sub(s.began) < recentSlots*slotTime {
			slots = append(slots, s.evidence)
		}
	}
	return r.total, Sum(slots...)
}
