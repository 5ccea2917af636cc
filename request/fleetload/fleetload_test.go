package fleetload

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
)

var start = time.Unix(1_000_000, 0)

func newTestTracker(t testing.TB) *Tracker {
	t.Helper()
	tr, err := New(DefaultConfig)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Guards against settings out of range being accepted, and against only the first of
// several errors being reported.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   []string // settings named by the errors
	}{
		{"default", func(*Config) {}, nil},
		{"no usage decay", func(c *Config) { c.UsageDecay = 0 }, []string{"UsageDecay"}},
		{"negative forecast decay", func(c *Config) { c.ForecastDecay = -time.Second }, []string{"ForecastDecay"}},
		{"overload in the wrong order", func(c *Config) { c.OverloadStart = 0.4 }, []string{"OverloadStart"}},
		{"overload below 0", func(c *Config) { c.OverloadStart = -0.1 }, []string{"OverloadStart"}},
		{"overload over 1", func(c *Config) { c.OverloadFull = 1.1 }, []string{"OverloadStart"}},
		{"overload not a number", func(c *Config) { c.OverloadFull = math.NaN() }, []string{"OverloadStart"}},
		{"no headroom", func(c *Config) { c.DemandHeadroom = 0 }, []string{"DemandHeadroom"}},
		{"infinite headroom", func(c *Config) { c.DemandHeadroom = math.Inf(1) }, []string{"DemandHeadroom"}},
		{"no reported workspaces", func(c *Config) { c.ReportedWorkspaces = 0 }, []string{"ReportedWorkspaces"}},
		{"too many reported workspaces", func(c *Config) { c.ReportedWorkspaces = MaxReportedWorkspaces + 1 }, []string{"ReportedWorkspaces"}},
		{"no workspaces", func(c *Config) { c.MaxWorkspaces = 0 }, []string{"MaxWorkspaces"}},
		{"no report life", func(c *Config) { c.ReportLife = 0 }, []string{"ReportLife"}},
		{"three errors", func(c *Config) { c.UsageDecay, c.MaxWorkspaces, c.ReportLife = 0, 0, 0 }, []string{"UsageDecay", "MaxWorkspaces", "ReportLife"}},
	}
	for _, c := range cases {
		cfg := DefaultConfig
		c.change(&cfg)
		_, err := New(cfg)
		if errors.Is(err, ErrConfig) != (len(c.want) > 0) {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		var lines []string
		if err != nil {
			lines = strings.Split(err.Error(), "\n")
		}
		if len(lines) != len(c.want) {
			t.Errorf("%s: %d errors, want %d: %q", c.name, len(lines), len(c.want), lines)
			continue
		}
		for i, setting := range c.want {
			if !strings.HasPrefix(lines[i], setting) {
				t.Errorf("%s: error %q, want one of %s", c.name, lines[i], setting)
			}
		}
	}
}

// Guards against a level that isn't max-min fair: parts that small workspaces leave unused
// must go to the others, weights must count, and equal usage must be the fair share.
func TestMaxMinLevel(t *testing.T) {
	cases := []struct {
		name     string
		demands  []demand
		headroom float64
		want     float64
	}{
		{"no usage", nil, 0.25, 0},
		{"alone", []demand{{90, 1}}, 0.25, 90},
		{"alone, by weight", []demand{{90, 3}}, 0.25, 30},
		{"all alike", []demand{{10, 1}, {10, 1}, {10, 1}}, 0.25, 10},
		{"all alike by weight", []demand{{10, 1}, {30, 3}, {20, 2}}, 0.25, 10},
		{"one large, two small", []demand{{90, 1}, {5, 1}, {5, 1}}, 0.25, 100 - 2*6.25},
		{"in any order", []demand{{5, 1}, {90, 1}, {5, 1}}, 0.25, 100 - 2*6.25},
		{"two large share what a small one leaves", []demand{{60, 1}, {40, 1}, {10, 1}}, 0.25, (110 - 12.5) / 2},
		{"one of middle size needs less than its part", []demand{{60, 1}, {30, 1}, {10, 1}}, 0.25, 100 - 12.5 - 37.5},
		{"a larger weight gets more of it", []demand{{60, 2}, {30, 1}, {10, 1}}, 0.25, (100 - 12.5) / 3},
		{"a small weight makes a workspace large", []demand{{50, 1}, {50, 0.1}}, 0.25, (100 - 62.5) / 0.1},
		{"the small ones need all of their part", []demand{{12, 1}, {10, 1}, {10, 1}}, 0.25, 32.0 / 3},
		{"several levels of small ones", []demand{{100, 1}, {1, 1}, {4, 1}, {16, 1}}, 0.25, 121 - 1.25*21},
		{"a large headroom gives equal parts", []demand{{90, 1}, {5, 1}, {5, 1}}, 10, 100.0 / 3},
		{"a rest of ten workspaces", []demand{{90, 1}, {10, 10}}, 0.25, 100 - 12.5},
	}
	for _, c := range cases {
		if got := maxMinLevel(c.demands, c.headroom); !(math.Abs(got-c.want) <= 1e-9) {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

// Guards against a workspace over its share being judged within it, and one within its
// share over it.
func TestShareFactor(t *testing.T) {
	type sent struct {
		workspace string
		weight    float64
		work      time.Duration
	}
	cases := []struct {
		name      string
		sent      []sent
		workspace string
		weight    float64
		want      float64
	}{
		{"nothing known", nil, "a", 1, maxShareFactor},
		{"no usage", []sent{{"b", 1, time.Second}}, "a", 1, maxShareFactor},
		{"alone", []sent{{"a", 1, time.Second}, {"a", 1, time.Second}}, "a", 1, 1},
		{"alone, weight 0", []sent{{"a", 0, time.Second}}, "a", 1, 1},
		{"alone, impossible weight", []sent{{"a", math.NaN(), time.Second}}, "a", -1, 1},
		{"alike", []sent{{"a", 1, time.Second}, {"b", 1, time.Second}}, "a", 1, 1},
		{"alike by weight", []sent{{"a", 1, time.Second}, {"b", 3, 3 * time.Second}}, "b", 3, 1},
		{"over its share", []sent{{"a", 1, 90 * time.Second}, {"b", 1, 10 * time.Second}}, "a", 1, 87.5 / 90},
		{"the small one beside it", []sent{{"a", 1, 90 * time.Second}, {"b", 1, 10 * time.Second}}, "b", 1, maxShareFactor},
		{"within its share by its weight", []sent{{"a", 9, 90 * time.Second}, {"b", 1, 10 * time.Second}}, "a", 9, 1},
		{"somewhat less than its share", []sent{{"a", 1, 12 * time.Second}, {"b", 1, 10 * time.Second}}, "b", 1, 1.1},
		{"negative work", []sent{{"a", 1, 2 * time.Second}, {"b", 1, 2 * time.Second}, {"a", 1, -time.Second}}, "a", 1, 1},
		{"no work", []sent{{"a", 1, -time.Second}, {"a", 1, 0}}, "a", 1, maxShareFactor},
	}
	for _, c := range cases {
		tr := newTestTracker(t)
		for _, s := range c.sent {
			tr.RecordSent(start, s.workspace, s.weight, s.work)
		}
		if got := tr.ShareFactor(start, c.workspace, c.weight); !(math.Abs(got-c.want) <= 1e-9) {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

// Guards against a workspace that has stopped sending staying over its share, and against
// its usage being kept for ever.
func TestUsageDecays(t *testing.T) {
	tr := newTestTracker(t)
	tr.RecordSent(start, "a", 1, 100*time.Second)
	tr.RecordSent(start, "b", 1, time.Second)
	if f := tr.ShareFactor(start, "a", 1); f >= 1 {
		t.Errorf("factor %g of the large workspace", f)
	}
	later := start.Add(10 * DefaultConfig.UsageDecay)
	tr.RecordSent(later, "b", 1, time.Second)
	if f := tr.ShareFactor(later, "a", 1); f <= 1 {
		t.Errorf("factor %g after it has stopped", f)
	}
	tr.ShareFactor(later.Add(time.Hour), "a", 1)
	if n := len(tr.workspaces); n > 0 {
		t.Errorf("%d workspaces are remembered an hour later", n)
	}
}

// Guards against the shares being computed anew for each request, or never.
func TestSharesAreReusedForAnInterval(t *testing.T) {
	tr := newTestTracker(t)
	tr.RecordSent(start, "b", 1, time.Second)
	tr.ShareFactor(start, "a", 1)
	tr.RecordSent(start, "a", 1, 100*time.Second)
	if f := tr.ShareFactor(start.Add(viewInterval-1), "a", 1); f != maxShareFactor {
		t.Errorf("factor %g within the interval, want the reused %d", f, maxShareFactor)
	}
	if f := tr.ShareFactor(start.Add(viewInterval), "a", 1); f >= 1 {
		t.Errorf("factor %g after the interval", f)
	}
}

func TestOverload(t *testing.T) {
	cases := []struct {
		name             string
		misses, requests int
		after            time.Duration
		want             float64
	}{
		{"no requests", 0, 0, 0, 0},
		{"no misses", 0, 100, 0, 0},
		{"few misses", 20, 100, 0, 0},
		{"half", 30, 100, 0, 0.5},
		{"full", 40, 100, 0, 1},
		{"all", 100, 100, 0, 1},
		{"a single miss", 1, 1, 0, 1},
		{"a single miss long ago", 1, 1, 5 * DefaultConfig.ForecastDecay, 0},
	}
	for _, c := range cases {
		tr := newTestTracker(t)
		for i := range c.requests {
			tr.RecordForecast(start, 1, i < c.misses)
		}
		if got := tr.Overload(start.Add(c.after)); !(math.Abs(got-c.want) <= 1e-9) {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

// Guards against workspaces without bound taking memory without bound, and against the
// workspaces with the most usage being forgotten.
func TestWorkspacesAreBounded(t *testing.T) {
	cfg := DefaultConfig
	cfg.MaxWorkspaces = 10
	tr, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		tr.RecordSent(start, fmt.Sprint(i), 1, time.Duration(100-i%50)*time.Millisecond)
	}
	if len(tr.workspaces) != cfg.MaxWorkspaces || tr.workspaces[IDOf("0")] == nil {
		t.Errorf("%d workspaces are remembered, the largest among them: %t", len(tr.workspaces), tr.workspaces[IDOf("0")] != nil)
	}
}

// Guards against a report of more than 700 bytes, which nodes send once a second, and
// against usage that is neither listed nor part of the rest.
func TestReportSize(t *testing.T) {
	tr := newTestTracker(t)
	total := 0.0
	for i := range 200 {
		work := time.Duration(i+1) * time.Second / 2 // as on a node that sends for a hundred engines and more
		total += work.Seconds()
		tr.RecordSent(start, fmt.Sprint(i), 1+float64(i%8)/4, work)
		tr.RecordForecast(start, 1, i%2 == 0)
	}
	r := tr.Report(start)
	if n := len(r.Workspaces); n != MaxReportedWorkspaces {
		t.Errorf("%d workspaces are listed", n)
	}
	least := slices.MinFunc(r.Workspaces, func(a, b Usage) int { return int(a.Used) - int(b.Used) })
	if least.ID != IDOf(fmt.Sprint(200-MaxReportedWorkspaces)) {
		t.Errorf("the least of the listed workspaces uses %g s", float64(least.Used)*usageUnit)
	}
	reported := float64(r.Rest)*usageUnit + lo.SumBy(r.Workspaces, func(u Usage) float64 { return float64(u.Used) * usageUnit })
	if math.Abs(reported-total) > 1e-6*total {
		t.Errorf("%g s are reported, %g s were used", reported, total)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r); err != nil {
		t.Fatal(err)
	}
	const maxBytes = 700
	if b.Len() > maxBytes {
		t.Errorf("%d bytes, at most %d", b.Len(), maxBytes)
	}
	t.Logf("%d bytes", b.Len())
	var decoded Report
	if err := gob.NewDecoder(&b).Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, r) {
		t.Errorf("decoded as %v, want %v: %v", decoded, r, err)
	}
}

// Guards against a damaged report changing what is sent, and against one with many
// entries taking memory without bound. Negative and infinite values can't be stated: a
// report has unsigned integers only.
func TestInvalidReportsAreLeftOut(t *testing.T) {
	const huge = math.MaxUint32
	cases := []struct {
		name   string
		report Report
	}{
		{"empty", Report{}},
		{"more misses than requests", Report{Requests: 16_000, Misses: 16_001}},
		{"misses without requests", Report{Misses: 16_000}},
		{"too many requests", Report{Requests: huge, Misses: huge}},
		{"too much usage", Report{Workspaces: []Usage{{ID: IDOf("a"), Used: huge}}}},
		{"just too much usage", Report{Workspaces: []Usage{{ID: IDOf("a"), Used: maxUsage + 1}}}},
		{"too large a weight", Report{Workspaces: []Usage{{ID: IDOf("a"), Used: 10_000_000, Weight: huge}}}},
		{"no usage", Report{Workspaces: []Usage{{ID: IDOf("a"), Weight: 900}}}},
		{"too large a rest", Report{Workspaces: []Usage{{ID: IDOf("a"), Weight: 900}}, Rest: huge}},
		{"a rest beside no workspace", Report{Rest: 10_000_000}},
	}
	for _, c := range cases {
		for _, viaSum := range []bool{false, true} {
			tr, same := newTestTracker(t), newTestTracker(t)
			for i := range 10 {
				for _, node := range []*Tracker{tr, same} {
					node.RecordForecast(start, 1, i < 3)
					node.RecordSent(start, fmt.Sprint("abc"[i%3:i%3+1]), 1, time.Duration(i)*time.Second)
				}
			}
			report := c.report
			if viaSum {
				report = Sum([]Report{report})
			}
			tr.Merge(start, "b", report)
			if got, want := judgements(tr, start), judgements(same, start); got != want {
				t.Errorf("%s, through a sum: %t: %v, want %v as without it", c.name, viaSum, got, want)
			}
		}
	}
	tr := newTestTracker(t)
	many := lo.Times(100_000, func(i int) Usage { return Usage{ID: ID(i), Used: 1} })
	tr.Merge(start, "b", Report{Workspaces: many})
	if n := len(tr.reports["b"].Workspaces); n > MaxReportedWorkspaces {
		t.Errorf("%d workspaces of a report are kept", n)
	}
}

// judgements returns the overload and the share factors of three workspaces.
func judgements(tr *Tracker, now time.Time) [4]float64 {
	return [4]float64{tr.Overload(now), tr.ShareFactor(now, "a", 1), tr.ShareFactor(now, "b", 1), tr.ShareFactor(now, "c", 1)}
}

// Guards against one invalid entry taking the valid ones of its report with it, or those
// of other nodes in a sum.
func TestValidEntriesBesideInvalidOnesCount(t *testing.T) {
	damaged := Report{Requests: 16, Misses: 32, Workspaces: []Usage{{ID: 1, Used: math.MaxUint32}, {ID: 2, Used: 50}}, Rest: maxUsage + 1}
	whole := Report{Requests: 160, Misses: 16, Workspaces: []Usage{{ID: 2, Used: 25, Weight: 300}}, Rest: 5}
	want := Report{Requests: 160, Misses: 16, Workspaces: []Usage{{ID: 2, Used: 75, Weight: 300}}, Rest: 5}
	twice := Report{Workspaces: []Usage{{ID: 3, Used: 7}, {ID: 3, Used: 7}}}
	if got := Sum([]Report{twice}).Workspaces; !slices.Equal(got, twice.Workspaces[:1]) {
		t.Errorf("%v of a workspace that is listed twice", got)
	}
	for _, reports := range [][]Report{{damaged, whole}, {whole, damaged}} {
		if got := Sum(reports); !reflect.DeepEqual(got, want) {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// Guards against a sum that wraps around when many nodes report much, or one that the
// receiver takes for damaged.
func TestSumIsBounded(t *testing.T) {
	r := Report{Requests: maxCount, Misses: maxCount, Workspaces: []Usage{{ID: 1, Used: maxUsage}}, Rest: maxUsage}
	sum := Sum(slices.Repeat([]Report{r}, 10))
	if !reflect.DeepEqual(sum, r) || !reflect.DeepEqual(sum.valid(), r) {
		t.Errorf("%v, want %v", sum, r)
	}
}

// Guards against the reports of nodes that are gone counting for ever, and against their
// counts not decaying like those of the node itself.
func TestReportsDecayAndAgeOut(t *testing.T) {
	gone := newTestTracker(t)
	for range 100 {
		gone.RecordForecast(start, 1, true)
	}
	gone.RecordSent(start, "a", 1, 100*time.Second)
	tr := newTestTracker(t)
	tr.Merge(start, "gone", gone.Report(start))
	life := DefaultConfig.ReportLife
	cases := []struct {
		after    time.Duration
		overload float64 // beside as many own requests without a miss as were reported, decayed
		known    bool
	}{
		{time.Second, 1, true},
		{life, 1, true},
		{life + viewInterval, 0, false},
	}
	for _, c := range cases {
		now := start.Add(c.after)
		if got, known := tr.Overload(now), tr.ShareFactor(now, "a", 1) < maxShareFactor; got != c.overload || known != c.known {
			t.Errorf("after %s: overload %g, usage known %t; want %g, %t", c.after, got, known, c.overload, c.known)
		}
	}
	own, both := newTestTracker(t), newTestTracker(t)
	for i := range 100 {
		own.RecordForecast(start, 1, i < 60)
	}
	own.RecordSent(start, "a", 1, 100*time.Second)
	both.Merge(start, "own", own.Report(start))
	now := start.Add(2 * time.Second)
	for _, node := range []*Tracker{own, both} {
		for range 80 {
			node.RecordForecast(now, 1, false)
		}
		node.RecordSent(now, "b", 1, 60*time.Second)
	}
	if got, want := judgements(both, now), judgements(own, now); !nearlySame(got, want) {
		t.Errorf("%v by a report of 2 s before, %v by own counts of that time", got, want)
	}
}

func nearlySame(a, b [4]float64) bool {
	for i := range a {
		if math.Abs(a[i]-b[i]) > 1e-4 {
			return false
		}
	}
	return true
}

// Guards against reports of one source being added up instead of replaced, which would
// count a node's load once more each second.
func TestMergeReplacesTheSource(t *testing.T) {
	tr, once := newTestTracker(t), newTestTracker(t)
	r := Report{Requests: 1600, Misses: 480, Workspaces: []Usage{{ID: IDOf("a"), Used: 100_000}, {ID: IDOf("b"), Used: 50_000}}}
	for _, node := range []*Tracker{tr, once} {
		node.RecordSent(start, "b", 1, 6*time.Second)
		node.RecordForecast(start, 1, true)
	}
	for range 5 {
		tr.Merge(start, "x", r)
	}
	once.Merge(start, "x", r)
	if got, want := judgements(tr, start), judgements(once, start); got != want {
		t.Errorf("%v after five reports, %v after one", got, want)
	}
}

// Guards against workspaces that only other nodes send for being judged without their
// weights.
func TestReportedWeightsCount(t *testing.T) {
	peer, tr := newTestTracker(t), newTestTracker(t)
	peer.RecordSent(start, "a", 3, 90*time.Second)
	peer.RecordSent(start, "b", 0.5, 15*time.Second)
	peer.RecordSent(start, "c", 1, 30*time.Second)
	tr.Merge(start, "peer", peer.Report(start))
	got := [3]float64{tr.ShareFactor(start, "a", 3), tr.ShareFactor(start, "b", 0.5), tr.ShareFactor(start, "c", 1)}
	if !(math.Abs(got[0]-1)+math.Abs(got[1]-1)+math.Abs(got[2]-1) <= 1e-9) {
		t.Errorf("%v of workspaces that use their shares by weight", got)
	}
}

// Guards against a level that depends on the order of the demands, such as that in a map.
func TestMaxMinLevelInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	demands := []demand{{1e6, 1}}
	for i := range 100 {
		weight := math.Exp2(float64(i % 40)) // exact, so that many have the same usage by weight
		demands = append(demands, demand{used: weight / 3, weight: weight}, demand{used: rng.Float64(), weight: 1})
	}
	want := maxMinLevel(slices.Clone(demands), 0.25)
	for range 50 {
		rng.Shuffle(len(demands), func(i, k int) { demands[i], demands[k] = demands[k], demands[i] })
		if got := maxMinLevel(slices.Clone(demands), 0.25); got != want {
			t.Fatalf("%v, want %v", got, want)
		}
	}
}

// Guards against results that depend on the order of a map or of the reports: nodes would
// judge the same workspace differently.
func TestResultsAreReproducible(t *testing.T) {
	run := func(order []int) [4]float64 {
		tr := newTestTracker(t)
		for i := range 500 {
			tr.RecordSent(start, fmt.Sprint(i), 1+float64(i%7)/3, time.Duration(1+i*i%977)*time.Millisecond/3)
		}
		for _, i := range order {
			peer := newTestTracker(t)
			for k := range 50 {
				peer.RecordSent(start, string(rune('a'+(k+i)%50)), 1, time.Duration(1+i*k)*time.Millisecond*7/3)
				peer.RecordForecast(start, 1, k%(i+2) == 0)
			}
			tr.Merge(start, fmt.Sprint(i), peer.Report(start))
		}
		return judgements(tr, start.Add(777*time.Millisecond))
	}
	want := run([]int{0, 1, 2, 3, 4, 5, 6, 7})
	for range 20 {
		if got := run([]int{5, 2, 7, 0, 6, 1, 3, 4}); got != want {
			t.Fatalf("%v, want %v", got, want)
		}
	}
}

func BenchmarkShareFactor(b *testing.B) {
	for _, n := range []int{16, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr := newTestTracker(b)
			names := lo.Times(n, func(i int) string { return fmt.Sprint(i) })
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				_ = tr.ShareFactor(now, names[i%n], 1)
				tr.RecordSent(now, names[i%n], 1, time.Millisecond)
			}
		})
	}
}
