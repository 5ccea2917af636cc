package gateway

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// BenchmarkEnginesToFollowNearby measures which caches a node of a large fleet chooses to follow, each time
// that an upstream or a node has come or gone.
func BenchmarkEnginesToFollowNearby(b *testing.B) {
	for _, s := range []struct{ nodes, engines int }{{360, 340}, {986, 9640}} {
		b.Run(fmt.Sprintf("%d nodes, %d engines", s.nodes, s.engines), func(b *testing.B) {
			cfg := config.New()
			for i := range s.engines {
				e := benchEntry(i, 0)
				cfg.Upstreams[e.ID] = config.Upstream{Name: e.ID, Kind: config.Engine, DataCentre: e.DataCentre}
			}
			nodes := lo.Map(testVMs(s.nodes, 6), func(vm platform.VM, _ int) member.Member { return memberOf(vm, member.Alive) })
			for b.Loop() {
				enginesToFollowNearby(nodes[0].Name, nodes, cfg)
			}
		})
	}
}
