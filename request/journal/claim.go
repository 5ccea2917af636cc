package journal

import (
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Answer is an upstream's answer to a request that ran.
type Answer = upstream.Reply

// stage is the progress of a claim at its writer.
type stage uint8

const (
	stageWon     stage = iota // the request may be sent
	stageSending              // BeginSend returned true
	stageEnded
)

// Claim is the right to send one request once. It belongs to the node that
// won it and never passes to another node. A pause of any length between the
// check and the send is therefore safe: no right expires during it.
type Claim struct {
	journal  *Journal
	record   ClaimRecord
	deadline time.Time // zero: none
	inLog    bool

	mu      sync.Mutex
	stage   stage
	outcome Outcome
}

// InLog reports whether the claim is in the log. If it is not, only the
// upstream ensures that the key runs once, and nothing is known about earlier
// attempts. A refusal of such a request must report Unknown, even if it was
// not sent.
func (c *Claim) InLog() bool { return c.inLog }

// BeginSend reports whether the request may be sent, and is called right
// before its first byte. It returns true once, until UndoBeginSend, and false
// once the claim has ended or its deadline has passed. If it returns false,
// the caller must not send.
func (c *Claim) BeginSend(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage != stageWon {
		return false
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return false
	}
	c.stage = stageSending
	return true
}

// UndoBeginSend reverts a BeginSend after which no byte was sent, so that
// BeginSend can succeed again for another upstream.
func (c *Claim) UndoBeginSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == stageSending {
		c.stage = stageWon
	}
}

// EndNotSent ends the claim: no byte was sent and none will be. The key is
// free for another attempt.
func (c *Claim) EndNotSent(now time.Time) { c.end(now, NotRun, Answer{}) }

// EndRan ends the claim with the upstream's answer, which is kept for callers
// that repeat the request.
func (c *Claim) EndRan(now time.Time, a Answer) { c.end(now, Ran, a) }

// EndUnclear ends the claim: bytes were sent, and no answer was received.
func (c *Claim) EndUnclear(now time.Time) { c.end(now, Unclear, Answer{}) }

// Close ends the claim if it has not ended: as NotRun before BeginSend, as
// Unclear after it. It is meant to be deferred.
func (c *Claim) Close(now time.Time) {
	c.mu.Lock()
	sending := c.stage == stageSending
	c.mu.Unlock()
	if sending {
		c.EndUnclear(now)
		return
	}
	c.EndNotSent(now)
}

func (c *Claim) end(now time.Time, o Outcome, a Answer) {
	c.mu.Lock()
	ended := c.stage == stageEnded
	if !ended {
		c.stage, c.outcome = stageEnded, o
	}
	c.mu.Unlock()
	if !ended {
		c.journal.queueOutcome(now, c, o, a)
	}
}

func (c *Claim) currentOutcome() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome
}
