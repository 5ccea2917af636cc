package capacity

import "math"

// Point is a cost measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted through points by least squares.
type Line struct {
	Base  float64 // value at size 0
	Slope float64 // value of one more
	// Residual is the root of the mean square of what the points lie beside
	// the line, as a share of the points' mean.
	Residual float64
}

// Fit gives the line of least squares through the points. Points of one size
// give a line without slope.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.Size - meanX) * (p.Size - meanX)
		xy += (p.Size - meanX) * (p.Value - meanY)
	}
	l := Line{Base: meanY}
	if xx > 0 {
		l.Slope = xy / xx
		l.Base = meanY - l.Slope*meanX
	}
	l.Residual = l.residual(points, meanY)
	return l
}

func (l Line) residual(points []Point, mean float64) float64 {
	if mean == 0 {
		return 0
	}
	sum := 0.0
	for _, p := range points {
		d := p.Value - (l.Base + l.Slope*p.Size)
		sum += d * d
	}
	return math.Sqrt(sum/float64(len(points))) / math.Abs(mean)
}

// At gives the line's value at a size, which is never below zero.
func (l Line) At(size float64) float64 { return max(0, l.Base+l.Slope*size) }
