package node

import (
	"fmt"
	"testing"

	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

type fixedView struct{ cfg config.Config }

func (v fixedView) Config() config.Config { return v.cfg }

// BenchmarkUpstreamNames gives what finding the names behind a peer's ids costs
// for each value that is taken in.
func BenchmarkUpstreamNames(b *testing.B) {
	for _, n := range []int{12, 100, 400, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := config.New().WithOffset(1)
			for i := range n {
				name := fmt.Sprintf("runner-%d", i)
				cfg.Upstreams[name] = config.Upstream{Name: name}
			}
			m := &maintenance{catalogue: catalogue.NewCurrent(fixedView{cfg: cfg})}
			b.ReportAllocs()
			for b.Loop() {
				if len(m.upstreamNames()) != n {
					b.Fatal("names are missing")
				}
			}
		})
	}
}
