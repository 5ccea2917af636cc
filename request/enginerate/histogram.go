package enginerate

import "math"

// bandCount is the number of bands of a histogram.
const bandCount = 64

// bands divide a range of values on a logarithmic scale.
type bands struct {
	least     float64 // lower bound of the first band
	perOctave float64 // bands between a value and its double
}

// The bands reach from 64 to 170 million tokens per second, and from 0.5 ms to 32 s.
var (
	rateBands    = bands{least: 64, perOctave: 3}
	latencyBands = bands{least: 0.0005, perOctave: 4}
)

// index returns the band of a value; values out of range belong to the first or last one.
func (b bands) index(value float64) int {
	if value <= b.least {
		return 0
	}
	return min(int(b.perOctave*math.Log2(value/b.least)), bandCount-1)
}

// at returns the value at a position in bands from the lower bound of the first one.
func (b bands) at(position float64) float64 {
	return b.least * math.Exp2(position/b.perOctave)
}

// histogram counts answers by band, each by the weight of its age.
type histogram [bandCount]float32

func (h *histogram) merge(o *histogram) {
	for i, n := range o {
		h[i] += n
	}
}

func (h *histogram) total() float64 {
	sum := 0.0
	for _, n := range h {
		sum += float64(n)
	}
	return sum
}

// median returns the median and the number of answers that it is based on. The values of
// a band are taken to be spread evenly over it.
func (h *histogram) median(b bands) (value, answers float64) {
	answers = h.total()
	if answers <= 0 {
		return 0, 0
	}
	below := 0.0
	for i, n := range h {
		if below+float64(n) >= answers/2 && n > 0 {
			return b.at(float64(i) + (answers/2-below)/float64(n)), answers
		}
		below += float64(n)
	}
	return b.at(bandCount), answers
}
