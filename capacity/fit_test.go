package capacity

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"none", nil, Line{}},
		{"one", []Point{{8, 3}}, Line{Base: 3}},
		{"one size", []Point{{8, 2}, {8, 4}}, Line{Base: 3, Residual: 1.0 / 3}},
		{"line", []Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, Line{Base: 3, Slope: 2}},
		{"constant", []Point{{1, 6}, {2, 6}, {4, 6}, {8, 6}}, Line{Base: 6}},
		// The least squares of (0,0), (1,0), (2,3): slope 1.5, base -0.5;
		// the squares of 0.5, -1, 0.5 have the mean 0.5.
		{"beside", []Point{{0, 0}, {1, 0}, {2, 3}}, Line{Base: -0.5, Slope: 1.5, Residual: math.Sqrt(0.5)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Fit(tt.points)
			near(t, "Base", got.Base, tt.want.Base)
			near(t, "Slope", got.Slope, tt.want.Slope)
			near(t, "Residual", got.Residual, tt.want.Residual)
		})
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func TestLineIsNeverBelowZero(t *testing.T) {
	if got := (Line{Base: -5, Slope: 1}).At(2); got != 0 {
		t.Errorf("At(2) is %v, want 0", got)
	}
}

func TestNumber(t *testing.T) {
	tests := []struct {
		value float64
		want  string
	}{
		{0, "0"}, {0.000123, "0.00012"}, {0.1234, "0.123"}, {1.234, "1.23"}, {2, "2"},
		{14.04, "14"}, {14.26, "14.3"}, {999.6, "1,000"}, {170_000_000, "170,000,000"}, {-1234, "-1,234"},
	}
	for _, tt := range tests {
		if got := number(tt.value); got != tt.want {
			t.Errorf("number(%v) is %q, want %q", tt.value, got, tt.want)
		}
	}
}
