package measure

import (
	"bytes"
	_ "embed" // bounds.yaml
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/samber/lo"
	"go.yaml.in/yaml/v3"
)

// Metric names a figure of a Row that has a regression bound.
type Metric string

// The bounded metrics. The bound is a minimum for HitRate, Goodput, SmallInTime and
// RestartHitRate, and a maximum for the others.
const (
	HitRate        Metric = "HitRate"
	First99        Metric = "First99"  // milliseconds
	Urgent99       Metric = "Urgent99" // milliseconds
	WastedShare    Metric = "WastedShare"
	Settled99      Metric = "Settled99" // milliseconds
	RestartHitRate Metric = "RestartHitRate"
	Lost           Metric = "Lost" // number of requests refused, failed or unanswered
	Goodput        Metric = "Goodput"
	SmallInTime    Metric = "SmallInTime"
	ResentShare    Metric = "ResentShare"
	NotAtOnce      Metric = "NotAtOnce" // number of refusals later than immediateRefusalLimit
	SummaryBytes   Metric = "SummaryBytes"
)

var metrics = map[Metric]func(r Row) float64{
	HitRate:        func(r Row) float64 { return r.HitRate },
	First99:        func(r Row) float64 { return toMilliseconds(r.First99) },
	Urgent99:       func(r Row) float64 { return toMilliseconds(r.Urgent99) },
	WastedShare:    func(r Row) float64 { return fraction(r.Wasted, r.Computed) },
	Settled99:      func(r Row) float64 { return toMilliseconds(r.Settled99) },
	RestartHitRate: func(r Row) float64 { return r.HitRateAfter / r.HitRateBefore },
	Lost:           func(r Row) float64 { return float64(r.Refused + r.Failed + r.Unanswered) },
	Goodput:        func(r Row) float64 { return r.Goodput },
	SmallInTime:    func(r Row) float64 { return r.SmallInTime },
	ResentShare:    func(r Row) float64 { return fraction(r.Retried, r.Requests) },
	NotAtOnce:      func(r Row) float64 { return float64(r.LateRefusals) },
	SummaryBytes:   func(r Row) float64 { return r.SummaryBytes },
}

// higherIsBetter lists the metrics whose bound is a minimum.
var higherIsBetter = []Metric{HitRate, Goodput, SmallInTime, RestartHitRate}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Bound is a regression bound on one figure of the table. Measured is the figure of
// the run that set the bound. Limit may be looser than Measured by up to maxSlack of
// it.
type Bound struct {
	User     string  `yaml:"User"`
	Scenario string  `yaml:"Scenario"`
	Policy   string  `yaml:"Policy"`
	Metric   Metric  `yaml:"Metric"`
	Measured float64 `yaml:"Measured"`
	Limit    float64 `yaml:"Limit"`
}

// maxSlack is how much looser than the measured figure a limit may be, as a share of
// that figure.
const maxSlack = 0.03

// BoundsSeed is the first seed of the runs that the bounds apply to.
const BoundsSeed = 1

// ErrBounds means that the list of bounds is invalid.
var ErrBounds = errors.New("measure: bounds")

//go:embed bounds.yaml
var boundsYAML []byte

// Bounds returns the bounds in bounds.yaml. The error names every invalid bound.
func Bounds() ([]Bound, error) {
	var all []Bound
	d := yaml.NewDecoder(bytes.NewReader(boundsYAML))
	d.KnownFields(true)
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBounds, err)
	}
	var faults []error
	for _, b := range all {
		if err := b.check(); err != nil {
			faults = append(faults, err)
		}
	}
	return all, errors.Join(faults...)
}

func (b Bound) name() string {
	return fmt.Sprintf("%s, %s, %s, %s", b.User, b.Scenario, b.Policy, b.Metric)
}

func (b Bound) check() error {
	if _, ok := metrics[b.Metric]; !ok {
		return fmt.Errorf("%w: %s: unknown metric", ErrBounds, b.name())
	}
	slack := b.Limit - b.Measured
	if lo.Contains(higherIsBetter, b.Metric) {
		slack = -slack
	}
	if slack < 0 || slack > maxSlack*b.Measured {
		return fmt.Errorf("%w: %s: limit %g is tighter than or more than a share of %g looser than the measured %g", ErrBounds, b.name(), b.Limit, maxSlack, b.Measured)
	}
	return nil
}

// Evaluate returns the row's figure and whether it is within the bound.
func (b Bound) Evaluate(r Row) (float64, bool) {
	figure := metrics[b.Metric](r)
	if lo.Contains(higherIsBetter, b.Metric) {
		return figure, figure >= b.Limit
	}
	return figure, figure <= b.Limit
}

// newBoundSlack is the slack of newly set bounds, as a share of the measured figure.
const newBoundSlack = 0.02

// boundedMetrics returns the metrics of a row that get a bound.
func boundedMetrics(r Row) []Metric {
	if r.Admission {
		return []Metric{Goodput, SmallInTime, Urgent99, ResentShare, NotAtOnce}
	}
	list := []Metric{HitRate, First99, Urgent99, WastedShare, Lost}
	switch r.Scenario {
	case CalmName:
		return append(list, SummaryBytes)
	case RestartName:
		return append(list, RestartHitRate)
	}
	return append(list, Settled99)
}

// SetBounds returns new bounds set from the figures of rows.
func SetBounds(rows []Row) []Bound {
	return lo.FlatMap(rows, func(r Row, _ int) []Bound {
		return lo.Map(boundedMetrics(r), func(m Metric, _ int) Bound {
			figure := metrics[m](r)
			slack := newBoundSlack * figure
			if lo.Contains(higherIsBetter, m) {
				slack = -slack
			}
			return Bound{
				User: r.User, Scenario: r.Scenario, Policy: r.Policy, Metric: m,
				Measured: roundSignificant(figure), Limit: roundSignificant(figure + slack),
			}
		})
	})
}

// roundSignificant rounds to five significant digits. The rounding error is far less
// than the slack.
func roundSignificant(x float64) float64 {
	if x == 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-4)
	return math.Round(x/unit) * unit
}

// WriteBounds prints bounds in the format of bounds.yaml.
func WriteBounds(w io.Writer, bounds []Bound) error {
	for _, b := range bounds {
		_, err := fmt.Fprintf(w, "- {User: %s, Scenario: %s, Policy: %s, Metric: %s, Measured: %.5g, Limit: %.5g}\n",
			b.User, b.Scenario, b.Policy, b.Metric, b.Measured, b.Limit)
		if err != nil {
			return fmt.Errorf("measure: write bounds: %w", err)
		}
	}
	return nil
}
