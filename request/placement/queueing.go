package placement

import "time"

const (
	// queueStep is the weight of one answer in the learnt queueing.
	queueStep = 0.02
	// queuePrior is how many seconds of queue the first values weigh.
	queuePrior = 0.2
	leastQueue = 0.02
	mostQueue  = 2.0
	// First values: engines put urgent work before the rest.
	urgentQueue = 0.3
	normalQueue = 1.0
)

// queueing is which part of an upstream's backlog a request waits for. It
// depends on how the engines treat priorities and share their time, and is
// learnt from the answers' times to first token.
type queueing struct {
	waited float64 // seconds, averaged
	queue  float64 // seconds of backlog found, averaged
}

func newQueueing(part float64) queueing {
	return queueing{waited: part * queuePrior, queue: queuePrior}
}

func (q queueing) part() float64 {
	return min(max(q.waited/q.queue, leastQueue), mostQueue)
}

// learn takes in an answer that took first, of which compute seconds were
// its own, with queue seconds of backlog before it.
func (q *queueing) learn(first time.Duration, compute, queue float64) {
	if first <= 0 || queue <= 0 {
		return
	}
	waited := max(0, first.Seconds()-compute)
	q.waited += queueStep * (waited - q.waited)
	q.queue += queueStep * (queue - q.queue)
}
