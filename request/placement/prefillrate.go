package placement

import "time"

// Some engines do not state their prefill rate. It is learnt from the time between the
// send and the first token of long prompts that had little work ahead of them.
const (
	// minLongPrompt is the least number of computed tokens at which the time to first
	// token depends on the prefill rate, and not mainly on the network and the first
	// decode step.
	minLongPrompt = 1000
	// maxBacklogFraction bounds the backlog ahead of such a prompt, as a fraction of
	// its computed tokens.
	maxBacklogFraction = 0.25
	// maxShortPrompt is the largest number of computed tokens at which the time to
	// first token consists of only the network and the first decode step.
	maxShortPrompt = 100
	// minAnswerWeight is the weight of an answer after many others, and priorAnswers
	// is how many answers the initial value counts for. A node receives one or two
	// answers to long prompts per second, and adapts to engines of another fleet
	// within about ten of them.
	minAnswerWeight = 0.05
	priorAnswers    = 1
	// maxRateChange bounds the factor by which one answer may differ from the
	// estimate, to limit the influence of a single slow or faulty engine.
	maxRateChange = 3.0
)

// prefillRate is an estimate of the prefill rate of the engines of a group, learnt
// from their answers.
type prefillRate struct {
	secondsPerToken float64
	baseLatency     float64 // seconds to the first token when nothing has to be computed
	longPrompts     int     // answers to long prompts
	shortPrompts    int     // answers to short prompts
}

// report returns the estimate for the node's summary.
func (p *prefillRate) report() Pace {
	return Pace{Rate: p.rate(), Answers: min(p.longPrompts, maxReportedAnswers)}
}

// newPrefillRate returns an estimate that starts from a rate in tokens per second.
func newPrefillRate(rate float64) prefillRate { return prefillRate{secondsPerToken: 1 / max(1, rate)} }

// learn processes an answer whose first token took the time first, with the given
// numbers of tokens computed for it and waiting before it.
func (p *prefillRate) learn(first time.Duration, computed, backlog float64) {
	latency := first.Seconds()
	switch {
	case latency <= 0:
	case computed <= maxShortPrompt && backlog <= maxShortPrompt:
		p.shortPrompts++
		p.baseLatency += answerWeight(p.shortPrompts) * (latency - p.baseLatency)
	case computed >= minLongPrompt && backlog <= maxBacklogFraction*computed:
		p.longPrompts++
		measured := max(0, latency-p.baseLatency) / computed
		measured = min(max(measured, p.secondsPerToken/maxRateChange), p.secondsPerToken*maxRateChange)
		p.secondsPerToken += answerWeight(p.longPrompts) * (measured - p.secondsPerToken)
	}
}

// answerWeight returns the weight of the nth answer.
func answerWeight(n int) float64 { return max(minAnswerWeight, 1/float64(n+priorAnswers)) }

// rate returns the estimate in tokens per second.
func (p *prefillRate) rate() float64 { return 1 / p.secondsPerToken }

// maxReportedAnswers bounds the answers that the estimate of one node counts for, so
// that many nodes outvote one.
const maxReportedAnswers = 20

// Pace is the prefill rate that a node has estimated, and the number of answers behind
// it.
type Pace struct {
	Rate    float64 // tokens per second
	Answers int
}

// combinedRate combines this node's estimate with those of its peers, weighted by
// their answers. A node that has just started thus uses the estimates of its peers.
func (p *prefillRate) combinedRate(peers []Summary) float64 {
	answers := float64(priorAnswers + min(p.longPrompts, maxReportedAnswers))
	weightedSeconds := answers * p.secondsPerToken
	for _, s := range peers {
		if s.pace.Answers > 0 && s.pace.Rate > 0 {
			peerAnswers := float64(min(s.pace.Answers, maxReportedAnswers*max(1, s.Nodes)))
			weightedSeconds += peerAnswers / s.pace.Rate
			answers += peerAnswers
		}
	}
	return answers / weightedSeconds
}
