// Package capacity works out what each role costs at the size that the
// project is designed for. Slopes are measured over the real packages, with
// virtual time or direct calls, at several sizes each; a straight line through
// them gives the figures of docs/CAPACITY.md at the full size.
package capacity

import (
	"fmt"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

// Config says how much is measured.
type Config struct {
	// Quick measures each point once instead of Repeats times.
	Quick bool
}

// repeats is how many measurements of a point the median is taken of.
const repeats = 3

func (c Config) repeats() int {
	if c.Quick {
		return 1
	}
	return repeats
}

// Slope is one cost, measured at several sizes.
type Slope struct {
	// Name is what costs, unique among all slopes.
	Name string
	// Code is the code of this repository that was run.
	Code string
	// Unit is that of the values.
	Unit string
	// Per is what the sizes count.
	Per    Growth
	Points []Point
	// Line is fitted through Points.
	Line Line
}

// Growth is what a cost grows with.
type Growth string

// What the sizes of a slope count.
const (
	PerNode      Growth = "node"
	PerLocalNode Growth = "node of the data centre"
	PerRunner    Growth = "runner"
	PerWorkspace Growth = "workspace"
	PerRequest   Growth = "request"
	PerKey       Growth = "kept key"
	PerCall      Growth = "call a second"
	PerEvent     Growth = "event"
	PerChange    Growth = "change"
	PerToken     Growth = "token"
	PerStream    Growth = "open stream"
	PerLevel     Growth = "level"
	PerByte      Growth = "byte"
)

// newSlope fits a line through measured points.
func newSlope(name, code, unit string, per Growth, points []Point) Slope {
	return Slope{Name: name, Code: code, Unit: unit, Per: per, Points: points, Line: Fit(points)}
}

// measured runs f at each size and fits a line.
func measured(name, code, unit string, per Growth, sizes []int, f func(size int) float64) Slope {
	points := lo.Map(sizes, func(n int, _ int) Point { return Point{Size: float64(n), Value: f(n)} })
	return newSlope(name, code, unit, per, points)
}

// Slopes are all that were measured, by name.
type Slopes map[string]Slope

// At gives a slope's cost at a size. A name that wasn't measured is an error
// of the program.
func (s Slopes) At(name string, size float64) float64 {
	slope, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("capacity: no slope %q", name))
	}
	return slope.Line.At(size)
}

// Per gives a slope's cost of one more.
func (s Slopes) Per(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("capacity: no slope %q", name))
	}
	return slope.Line.Slope
}

// group is one area's measurements.
type group struct {
	name string
	run  func(Config) ([]Slope, error)
}

// timed gives the areas in which processor time, real time or memory is
// measured, so that nothing else may run beside them. The journal's fleet is
// one of them: beside the fleets below, its calls waited three times as long,
// and its readers were still reading back when they were counted.
func timed() []group {
	return []group{
		{"placement", placementSlopes},
		{"configuration", configurationSlopes},
		{"plans", planSlopes},
		{"journal", journalSlopes},
		{"journal's fleet", journalFleetSlopes},
		{"limits", limitSlopes},
		{"health", healthSlopes},
		{"engines", engineSlopes},
		{"platform", platformSlopes},
		{"peers", peerSlopes},
		{"metrics", metricSlopes},
		{"serving", servingSlopes},
	}
}

// untimed gives the areas that play fleets in virtual time, or whose real
// time is spent waiting. They are run side by side.
func untimed() []group {
	return []group{
		{"failures", faultSlopes},
		{"changes in force", forceSlopes},
	}
}

// Measure runs every measurement; progress hears the name of each area.
func Measure(cfg Config, progress func(area string)) ([]Slope, error) {
	fleets, beside, err := measureUntimed(cfg, progress)
	if err != nil {
		return nil, err
	}
	all, err := membershipSlopes(cfg, fleets)
	if err != nil {
		return nil, fmt.Errorf("capacity: membership: %w", err)
	}
	all = append(all, beside...)
	for _, g := range timed() {
		progress(g.name)
		slopes, err := g.run(cfg)
		if err != nil {
			return nil, fmt.Errorf("capacity: %s: %w", g.name, err)
		}
		all = append(all, slopes...)
	}
	return all, nil
}

// measureUntimed runs the untimed areas, and settles the fleets whose
// processor time is measured afterwards.
func measureUntimed(cfg Config, progress func(area string)) (fleets []*memberFleet, slopes []Slope, err error) {
	var g errgroup.Group
	progress("membership, failures, changes in force")
	g.Go(func() (err error) {
		fleets, err = settleFleets()
		return err
	})
	found := make([][]Slope, len(untimed()))
	for i, area := range untimed() {
		g.Go(func() (err error) {
			if found[i], err = area.run(cfg); err != nil {
				err = fmt.Errorf("capacity: %s: %w", area.name, err)
			}
			return err
		})
	}
	err = g.Wait()
	return fleets, lo.Flatten(found), err
}
