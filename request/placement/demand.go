package placement

import "math"

const (
	// demandDecay is the time constant of the demand average, in seconds. A hot prefix
	// is detected within it.
	demandDecay = 5.0
	// minWindow is the shortest time over which the first requests of a node are
	// averaged, in seconds.
	minWindow = 2.0
	// shrinkRatio is the fraction of a set's planned load below which the set is
	// halved. It is well below one half, so that the set is not doubled again at once.
	shrinkRatio = 0.35
	// shrinkDelay is how long demand has to stay below that load, in seconds.
	shrinkDelay = 10.0
)

// demand is the recent cost of the requests with one level.
type demand struct {
	cost           float32 // engine-seconds, decayed
	count          float32 // requests, decayed
	decayedAt      tick    // when cost and count were last decayed
	oversizedSince tick    // since when the set is larger than needed; 0: it is not
	sizeLog2       uint8   // log2 of the replica set's size
}

func (d *demand) decay(at tick) {
	f := float32(math.Exp(-elapsed(d.decayedAt, at) / demandDecay))
	d.cost *= f
	d.count *= f
	d.decayedAt = at
}

func (d *demand) add(at tick, cost float64) {
	d.decay(at)
	d.cost += float32(cost)
	d.count++
}

// repeatedCost returns the cost without that of one request, so that a single request
// does not count as a stream of requests.
func (d *demand) repeatedCost() float64 {
	if d.count <= 1 {
		return 0
	}
	return float64(d.cost * (1 - 1/d.count))
}

// resize changes the set size towards the one at which each member receives at most
// targetLoad engine-seconds per second. It grows the set at once and shrinks it with
// hysteresis.
func (d *demand) resize(at tick, demandRate, targetLoad float64) {
	neededLog2 := 0
	if demandRate > targetLoad {
		neededLog2 = int(math.Ceil(math.Log2(demandRate / targetLoad)))
	}
	if neededLog2 >= int(d.sizeLog2) {
		d.sizeLog2 = uint8(min(neededLog2, 15))
		d.oversizedSince = 0
		return
	}
	if demandRate > shrinkRatio*targetLoad*float64(int(1)<<d.sizeLog2) {
		d.oversizedSince = 0
		return
	}
	if d.oversizedSince == 0 {
		d.oversizedSince = at
	}
	if elapsed(d.oversizedSince, at) >= shrinkDelay {
		d.sizeLog2--
		d.oversizedSince = at
	}
}

// averagingWindow returns the time over which demand has been averaged, in seconds. It
// is shorter than demandDecay in a node that has just started, so that its rates are
// right from the first requests on.
func averagingWindow(started, at tick) float64 {
	return demandDecay * (1 - math.Exp(-max(elapsed(started, at), minWindow)/demandDecay))
}
