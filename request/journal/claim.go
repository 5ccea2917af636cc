package journal

import (
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Answer is what an upstream answered to a request that ran.
type Answer = upstream.Reply

// stage is where a claim stands at its writer.
type stage uint8

const (
	stageWon   stage = iota // may be sent
	stageBegun              // was given leave to send
	stageEnded
)

// Claim is the right to send one request once. It belongs to the node that
// won it and never passes to another, so that a pause of any length between
// the check and the send does no harm: there is nothing to lapse.
type Claim struct {
	journal  *Journal
	record   ClaimRecord
	deadline time.Time // zero: none
	recorded bool

	mu      sync.Mutex
	stage   stage
	outcome Outcome
}

// Recorded says whether the claim stands in the log. If not, the upstream
// alone sees to it that the key runs once, and nothing is known of earlier
// tries: a refusal of such a request must say Unknown, also if it was not
// sent.
func (c *Claim) Recorded() bool { return c.recorded }

// MayBegin gives leave to send, right before the first byte. It says yes
// once; after a no, the claim is over and nothing was sent.
func (c *Claim) MayBegin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage != stageWon {
		return false
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return false
	}
	c.stage = stageBegun
	return true
}

// Reopen takes back a leave to send of which no byte was made use, so that
// MayBegin can pass again, for another upstream.
func (c *Claim) Reopen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == stageBegun {
		c.stage = stageWon
	}
}

// NotSent ends the claim: no byte has left and none will. The key is free
// for another try.
func (c *Claim) NotSent(now time.Time) { c.end(now, NotRun, Answer{}) }

// Ran ends the claim with the upstream's answer, which is held for callers
// who ask again.
func (c *Claim) Ran(now time.Time, a Answer) { c.end(now, Ran, a) }

// UnknownOutcome ends the claim: bytes have left, and no answer came.
func (c *Claim) UnknownOutcome(now time.Time) { c.end(now, Unclear, Answer{}) }

// Close ends the claim if nothing else did, by what is known: without a leave
// to send it did not run, with one it is unclear. Meant for a defer.
func (c *Claim) Close(now time.Time) {
	c.mu.Lock()
	begun := c.stage == stageBegun
	c.mu.Unlock()
	if begun {
		c.UnknownOutcome(now)
		return
	}
	c.NotSent(now)
}

func (c *Claim) end(now time.Time, o Outcome, a Answer) {
	c.mu.Lock()
	ended := c.stage == stageEnded
	if !ended {
		c.stage, c.outcome = stageEnded, o
	}
	c.mu.Unlock()
	if !ended {
		c.journal.ended(now, c, o, a)
	}
}

func (c *Claim) outcomeNow() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome
}
