// Package canary compares a new software version of a service with the version that serves, by the
// answers that both give at the same time, and bounds how many requests the new version gets until
// it is trusted.
//
// Requests are divided between the versions at random, so both get the same mix of routes, prompt
// lengths and callers, and trouble that both have in common (a burst, a partition, a slow data
// centre) blames neither. Nodes count their own answers; what they count can be added up.
package canary

import (
	"errors"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Answer is what one send to an upstream has shown.
type Answer struct {
	Route    string
	New      bool   // from the new version
	Upstream string // name
	Outcome  Outcome
	// First is the time to the first event of a stream, or to the whole answer of a call; 0: unknown.
	First time.Duration
	// Pause is the mean time between two events of a stream; 0: unknown.
	Pause time.Duration
}

//go:generate go tool stringer -type=Outcome -output=outcome_string.go

// Outcome is what the end of a send tells of the upstream's version.
type Outcome uint8

const (
	// NoEvidence: the send tells nothing of the version. The upstream was not reached, refused to run
	// the request or its process ended, or the caller went away.
	NoEvidence Outcome = iota
	// Answered: the upstream gave a whole answer.
	Answered
	// Failed: the upstream answered with a failure, broke its answer off or gave none in time.
	Failed
)

// errorsWithoutEvidence are the errors of sends that say nothing about the upstream's version.
var errorsWithoutEvidence = []error{
	upstream.ErrNotSent, upstream.ErrRefused, upstream.ErrBusy, upstream.ErrWrongVersion, upstream.ErrAddressReused,
	upstream.ErrPathLost, upstream.ErrProcessEnded,
}

// OutcomeOf returns what the end of a send with an error tells. callerGone says that the caller had
// disconnected.
func OutcomeOf(err error, callerGone bool) Outcome {
	if err == nil {
		return Answered
	}
	if callerGone {
		return NoEvidence
	}
	for _, e := range errorsWithoutEvidence {
		if errors.Is(err, e) {
			return NoEvidence
		}
	}
	return Failed
}

// groups is the number of groups into which the upstreams of the new version are divided, so that one
// bad upstream can be told from a bad version by a bounded amount of evidence.
const groups = 8

// GroupOf returns the group of an upstream.
func GroupOf(upstream string) uint8 { return uint8(xxhash.Sum64String(upstream) % groups) }

// Cell identifies what answers are counted together.
type Cell struct {
	Route string
	New   bool
	Group uint8 // of the upstreams of the new version; 0 for the version that serves
}

// Counts sums up answers.
type Counts struct {
	Answers int // failed ones included
	Failed  int
	// Firsts and Pauses have the times of answers that have not failed.
	Firsts, Pauses Histogram
}

// add adds o to c, whose histograms are c's own.
func (c *Counts) add(o Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Firsts = c.Firsts.add(o.Firsts)
	c.Pauses = c.Pauses.add(o.Pauses)
}

// Evidence is what has been counted, by cell. It is not changed once it has been returned.
type Evidence map[Cell]Counts

// Sum returns the sum of all.
func Sum(all ...Evidence) Evidence {
	sum := Evidence{}
	for _, e := range all {
		for k, c := range e {
			total := sum[k]
			total.add(c)
			sum[k] = total
		}
	}
	return sum
}

// with returns the evidence with one more answer.
func (e Evidence) with(a Answer) Evidence {
	k := Cell{Route: a.Route, New: a.New}
	if a.New {
		k.Group = GroupOf(a.Upstream)
	}
	c := Counts{Answers: 1}
	if a.Outcome == Failed {
		c.Failed = 1
	} else {
		c.Firsts, c.Pauses = histogramOf(a.First), histogramOf(a.Pause)
	}
	return Sum(e, Evidence{k: c})
}

// Answers returns how many answers the versions have given on each route.
func (e Evidence) Answers(fromNew bool) map[string]int {
	n := map[string]int{}
	for k, c := range e {
		if k.New == fromNew {
			n[k.Route] += c.Answers
		}
	}
	return n
}

// binsPerOctave is the resolution of a Histogram: bins grow by a factor of 2^(1/4).
const binsPerOctave = 4

// Histogram counts durations, by bin; nil is empty.
type Histogram map[uint8]uint32

func histogramOf(d time.Duration) Histogram {
	if d <= 0 {
		return nil
	}
	return Histogram{binOf(d): 1}
}

// binOf returns the bin of a duration. Durations below a microsecond are in the first one.
func binOf(d time.Duration) uint8 {
	us := uint64(max(1, d.Microseconds()))
	octave := bits.Len64(us) - 1
	// The two bits below the leading one divide the octave into four bins.
	quarter := (us << 2 >> octave) & (binsPerOctave - 1)
	return uint8(binsPerOctave*octave) + uint8(quarter)
}

// add adds o to h and returns h, or a new histogram if h is nil.
func (h Histogram) add(o Histogram) Histogram {
	if h == nil && len(o) > 0 {
		h = make(Histogram, len(o))
	}
	for b, n := range o {
		h[b] += n
	}
	return h
}

// total returns the number of durations.
func (h Histogram) total() int { return h.atLeast(0) }

// atLeast returns the number of durations in a bin and above.
func (h Histogram) atLeast(bin int) int {
	sum := 0
	for b, n := range h {
		if int(b) >= bin {
			sum += int(n)
		}
	}
	return sum
}
