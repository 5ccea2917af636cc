package journal

import "sync/atomic"

// Stats holds the journal's counters since the start and its present sizes.
type Stats struct {
	Won         uint64 // claims won
	Lost        uint64 // claims whose key an earlier attempt holds or has expired
	Unavailable uint64 // claims on which the log gave no verdict
	Unsent      int    // outcomes that are not in the log yet
	Partitions  int    // partitions that this node reads
	Entries     int    // keys that this node knows
	AnswerBytes int    // bytes of cached answers
}

// counts holds the counters of Stats.
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

// Stats returns the present statistics.
func (j *Journal) Stats() Stats {
	s := Stats{
		Won:         j.counts.won.Load(),
		Lost:        j.counts.lost.Load(),
		Unavailable: j.counts.unavailable.Load(),
		AnswerBytes: j.answers.size(),
	}
	j.mu.Lock()
	s.Unsent, s.Partitions = len(j.unsentOutcomes), len(j.partitions)
	var open []*partition
	for _, p := range j.partitions {
		open = append(open, p)
	}
	j.mu.Unlock()
	for _, p := range open {
		s.Entries += p.keyCount()
	}
	return s
}

func (p *partition) keyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return 0
	}
	return len(p.state.keys)
}
