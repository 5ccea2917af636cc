package measure

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

// leastEvenness is the part of its kind's share served that each tenth by length has to
// get: our own aim. The users ask for half.
const leastEvenness = 0.7

// Callers with long prompts are refused, and refused again when they come back, while
// the same call with a short prompt is served: of the longest tenth a third was served
// where three quarters of all were. A fleet gets twice what it can do, so that half has to
// be refused. The wait that shedding judges holds the request's own reading, against a
// patience that knows no length: whatever was refused, the longest went first. Each length
// has a floor of its class's share since; without it the longest tenth of inspections gets
// 0.18 where all get 0.30, and every kind but the look-ups has such a tenth.
func TestLengthsAreServedAlikeUnderOverload(t *testing.T) {
	s := Scenario{Name: "Overload", Admission: true, From: eventAt, To: eventEnd, Load: 2}
	policies := placement.Policies()
	serve := Serve(policies[len(policies)-1])
	for _, u := range workload.Users() {
		for _, untold := range []bool{false, true} {
			u := u
			u.Untold = untold
			t.Run(fmt.Sprintf("%s/untold=%t", u.Name, untold), func(t *testing.T) {
				t.Parallel()
				var samples []*Sample
				for _, seed := range []uint64{1, 2, 3} {
					samples = append(samples, Run(u, s, serve, seed).Samples...)
				}
				samples = lo.Filter(samples, func(x *Sample, _ int) bool { return x.Request.At >= s.From && x.Request.At < s.To })
				for kind, all := range lo.GroupBy(samples, func(x *Sample) string { return x.Request.Kind }) {
					checkLengths(t, kind, all)
				}
			})
		}
	}
}

func checkLengths(t *testing.T, kind string, all []*Sample) {
	t.Helper()
	const tenths = 10
	slices.SortStableFunc(all, func(a, b *Sample) int {
		return cmp.Compare(a.Request.Chain.Tokens(), b.Request.Chain.Tokens())
	})
	served := float64(lo.CountBy(all, (*Sample).InTime)) / float64(len(all))
	for i := range tenths {
		part := all[i*len(all)/tenths : (i+1)*len(all)/tenths]
		got := float64(lo.CountBy(part, (*Sample).InTime)) / float64(len(part))
		if got < leastEvenness*served {
			t.Errorf("%s: of the %d requests of tenth %d by length %.2f were served in time, of all %.2f", kind, len(part), i+1, got, served)
		}
	}
}
