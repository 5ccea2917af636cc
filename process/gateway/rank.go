package gateway

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Lengths of prompts, by the time that an engine computes them alone. An engine
// computes prompts one after the other, so that a short one behind a long one
// waits for all of it. Shorter first within one priority brought short requests
// in time: on a troubled day of one user 223 of 2,562 were late, 413 without it.
// Half of these lengths gave the same within noise.
const (
	shortPrompt = 180 * time.Millisecond
	longPrompt  = 520 * time.Millisecond
)

// lengths is how many ranks a priority has, one for each length.
const lengths = 3

// engineRank is the rank by which an engine orders the requests that wait: their
// priority first, and within one the prompts that are shorter by the rate, in tokens a
// second, at which the engines are known to read.
func engineRank(priority int, parts []prefix.Part, rate float64) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	took := time.Duration(float64(tokens) / max(1, rate) * float64(time.Second))
	switch {
	case took > longPrompt:
		return lengths*priority + 2
	case took > shortPrompt:
		return lengths*priority + 1
	}
	return lengths * priority
}
