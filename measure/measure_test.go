package measure

import (
	"testing"

	"github.com/dunlinmill/dunlinmill/measure/workload"
)

func TestRunsOfTheSameSeedAreEqual(t *testing.T) {
	for _, u := range workload.Users() {
		for _, p := range []Policy{Oracle(), testRandom()} {
			a := Measure(u, Scenarios()[0], p, 7)
			b := Measure(u, Scenarios()[0], p, 7)
			if a != b {
				t.Errorf("%s, %s: two runs differ:\n%+v\n%+v", u.Name, p.Name, a, b)
			}
		}
	}
}

func TestOracleIsAtLeastAsGoodAsPoliciesThatSeeNothing(t *testing.T) {
	for _, u := range workload.Users() {
		oracle := Measure(u, Scenarios()[0], Oracle(), 1)
		for _, p := range []Policy{testRandom(), testHash()} {
			row := Measure(u, Scenarios()[0], p, 1)
			if row.First99 < oracle.First99 {
				t.Errorf("%s: %s has p99 %v, the oracle %v", u.Name, p.Name, row.First99, oracle.First99)
			}
		}
	}
}
