package journal

import "sync/atomic"

// Stats counts what the journal did since the start, and what it holds.
type Stats struct {
	Won         uint64 // claims won
	Lost        uint64 // keys that an earlier try holds, or that are expired
	Unavailable uint64 // claims on which the log gave no verdict
	Unsent      int    // outcomes that are not in the log yet
	Partitions  int    // streams that this node reads
	Entries     int    // keys that it knows
	AnswerBytes int    // bytes of held answers
}

// counts are the counters of Stats.
type counts struct {
	won, lost, unavailable atomic.Uint64
}

func (c *counts) add(d decision) {
	switch {
	case d.err != nil:
		c.unavailable.Add(1)
	case d.verdict == Won:
		c.won.Add(1)
	default:
		c.lost.Add(1)
	}
}

// Stats gives the counts of the moment.
func (j *Journal) Stats() Stats {
	s := Stats{
		Won:         j.counts.won.Load(),
		Lost:        j.counts.lost.Load(),
		Unavailable: j.counts.unavailable.Load(),
		AnswerBytes: j.answers.size(),
	}
	j.mu.Lock()
	s.Unsent, s.Partitions = len(j.unsent), len(j.partitions)
	var open []*partition
	for _, p := range j.partitions {
		open = append(open, p)
	}
	j.mu.Unlock()
	for _, p := range open {
		s.Entries += p.entries()
	}
	return s
}

func (p *partition) entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return 0
	}
	return len(p.state.entries)
}
