package shedding

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/request/decay"
)

const (
	// bandsPerOctave is how many bands of lengths lie between a length and its double:
	// the longest prompt of a band is a fifth longer than its shortest. With half as
	// many, two tenths of one kind by length were still served 0.67 of their kind's share.
	bandsPerOctave = 4
	// mostBands reaches a million tokens.
	mostBands = 80
	// mostClasses bounds the classes whose lengths are counted apart.
	mostClasses = 10
	// priorRequests is how many requests the class's share counts for in that of a band:
	// what became of one or two says nothing.
	priorRequests = 4
)

// band is the one that a length belongs to.
func band(tokens int) int {
	return min(int(bandsPerOctave*math.Log2(float64(max(1, tokens)))), mostBands-1)
}

// counts is how many requests asked lately, and how many of them were sent.
type counts struct{ asked, sent decay.Sum }

func (c *counts) add(now time.Time, memory time.Duration, sent bool) {
	c.asked.Add(now, memory, 1)
	if sent {
		c.sent.Add(now, memory, 1)
	}
}

// share is the part that was sent, in which prior counts for so many requests more.
func (c *counts) share(now time.Time, memory time.Duration, prior, requests float64) float64 {
	asked := c.asked.At(now, memory) + requests
	if asked == 0 {
		return 1
	}
	return (c.sent.At(now, memory) + prior*requests) / asked
}

// lengths counts requests by the length of their prompts: those of one class, and of
// workspaces on one side of their share. A workspace over its share is refused more by
// intent, whatever it sends: compared with all others, its long prompts were let in by the
// floor, and under a flood of one workspace the small ones got 0.55 in time in place of 0.82.
type lengths struct {
	all   counts
	bands [mostBands]counts
}

// behind says that of the band of a length less was sent than the floor's part of what
// was of its class.
func (l *lengths) behind(now time.Time, cfg Config, tokens int) bool {
	all := l.all.share(now, cfg.LengthMemory, 0, 0)
	own := l.bands[band(tokens)].share(now, cfg.LengthMemory, all, priorRequests)
	return own < cfg.Floor*all
}

func (l *lengths) add(now time.Time, memory time.Duration, tokens int, sent bool) {
	l.all.add(now, memory, sent)
	l.bands[band(tokens)].add(now, memory, sent)
}
