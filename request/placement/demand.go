package placement

import "math"

const (
	// demandLife is the time over which demand is averaged, in seconds. A
	// hot prefix is seen within it.
	demandLife = 5.0
	// leastWindow is the shortest time over which the first requests of a
	// node are averaged, in seconds.
	leastWindow = 2.0
	// shrinkRatio is the part of a set's planned load under which it is
	// halved; far enough under a half that it isn't doubled again at once.
	shrinkRatio = 0.35
	// shrinkHold is how long demand has to stay under it, in seconds.
	shrinkHold = 10.0
)

// demand is what requests under one level cost lately.
type demand struct {
	cost  float32 // engine-seconds, decayed
	count float32 // requests, decayed
	at    tick    // of the decay
	low   tick    // since when the set is larger than needed; 0: it isn't
	size  uint8   // log2 of the replica set's size
}

func (d *demand) decay(at tick) {
	f := float32(math.Exp(-seconds(d.at, at) / demandLife))
	d.cost *= f
	d.count *= f
	d.at = at
}

func (d *demand) add(at tick, cost float64) {
	d.decay(at)
	d.cost += float32(cost)
	d.count++
}

// settled is the cost without that of one request, so that a single one is
// not taken for a stream of them.
func (d *demand) settled() float64 {
	if d.count <= 1 {
		return 0
	}
	return float64(d.cost * (1 - 1/d.count))
}

// resize moves the size towards the one that gives each member of the set
// load engine-seconds a second at most: up at once, down with hysteresis.
func (d *demand) resize(at tick, rate, load float64) {
	need := 0
	if rate > load {
		need = int(math.Ceil(math.Log2(rate / load)))
	}
	if need >= int(d.size) {
		d.size = uint8(min(need, 15))
		d.low = 0
		return
	}
	if rate > shrinkRatio*load*float64(int(1)<<d.size) {
		d.low = 0
		return
	}
	if d.low == 0 {
		d.low = at
	}
	if seconds(d.low, at) >= shrinkHold {
		d.size--
		d.low = at
	}
}

// window is the time over which demand was averaged so far, in seconds; less
// than demandLife in a node that has just started, so that its figures are
// right from the first requests on.
func window(started, at tick) float64 {
	return demandLife * (1 - math.Exp(-max(seconds(started, at), leastWindow)/demandLife))
}
