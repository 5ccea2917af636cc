package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// newFullLearner returns a learner with all parts that follow the upstreams, and a number of engines.
func newFullLearner(tb testing.TB, upstreams int) *learner {
	tb.Helper()
	l := newLearner()
	guards, err := guard.NewPair(func(*guard.Config) {})
	if err != nil {
		tb.Fatal(err)
	}
	l.guards, l.metrics, l.log, l.releases = guards, metric.New(), zap.NewNop(), &releases{}
	l.limiter, l.rejects = ratelimit.New("n1"), newRejectLimits("n1", nil)
	l.paths = path.NewMonitor(nil, path.Observer{})
	l.origins.Store(newTestOrigins(&fakeLedger{}))
	l.book.Accept(accepted.Configuration{Version: 1, Services: map[string]accepted.Service{"lm": {Name: "lm", Engine: &accepted.Engine{Slots: 64, Models: []string{"m"}}}}})
	for i := range upstreams {
		l.roster.Put(benchEntry(i, 0), keyed.Position(i))
	}
	l.roster.MarkRead()
	l.refresh(time.Unix(1000, 0))
	return l
}

func benchEntry(i, version int) roster.Entry {
	return roster.Entry{
		ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "lm", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), DataCentre: fmt.Sprint("dc", i%6),
		Software: "v1", Slots: 64 + version, Weights: map[string]uint64{"m": 1},
	}
}

// BenchmarkRefresh measures what the change of one upstream takes a node, beside a number of others.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFullLearner(b, n)
			current := catalogue.NewCurrent(l.view)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.roster.Put(benchEntry(i%n, i+1), keyed.Position(n+i))
				l.refresh(time.Unix(1000, 0))
				current.Catalogue()
			}
		})
	}
}
