package placement

import "time"

const (
	// queueingWeight is the weight of one answer in the learnt averages.
	queueingWeight = 0.02
	// priorBacklog is how many seconds of backlog the initial values stand for.
	priorBacklog     = 0.2
	minQueueFraction = 0.02
	maxQueueFraction = 2.0
	// Initial values: engines serve urgent requests before the others.
	initialUrgentFraction = 0.3
	initialNormalFraction = 1.0
)

// queueing is the fraction of an upstream's backlog that a request waits for. It
// depends on how the engines treat priorities and share their time, and is learnt from
// the times to first token of the answers.
type queueing struct {
	waited  float64 // seconds waited, moving average
	backlog float64 // seconds of backlog ahead, moving average
}

func newQueueing(fraction float64) queueing {
	return queueing{waited: fraction * priorBacklog, backlog: priorBacklog}
}

func (q queueing) fraction() float64 {
	return min(max(q.waited/q.backlog, minQueueFraction), maxQueueFraction)
}

// learn processes an answer whose first token took the time first. Of this, compute
// seconds were the request's own computing. Queue seconds of backlog were ahead of it.
func (q *queueing) learn(first time.Duration, compute, queue float64) {
	if first <= 0 || queue <= 0 {
		return
	}
	waited := max(0, first.Seconds()-compute)
	q.waited += queueingWeight * (waited - q.waited)
	q.backlog += queueingWeight * (queue - q.backlog)
}
