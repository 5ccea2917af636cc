package capacity

import (
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Names of the slopes of the metrics.
const (
	scrapeBytes   = "metrics, bytes of a scrape"
	scrapeMicros  = "metrics, processor time of a scrape"
	countMicros   = "metrics, processor time of counting a request"
	metricsMicros = "metrics, processor time of a configuration"
)

func metricSlopes(cfg Config) ([]Slope, error) {
	const code = "process/metric Metrics"
	by := func(name, unit string, f func(n int) float64) Slope {
		return measured(name, code, unit, PerWorkspace, workspaceSizes, f)
	}
	return []Slope{
		by(scrapeBytes, "bytes", func(n int) float64 { return float64(scrape(usedMetrics(n))) }),
		by(scrapeMicros, "µs", func(n int) float64 {
			m := usedMetrics(n)
			return processorMicros(cfg, func() { scrape(m) })
		}),
		by(countMicros, "µs", func(n int) float64 {
			m := usedMetrics(n)
			i := 0
			return processorMicros(cfg, func() {
				i++
				count(m, workspaceName(i%n))
			})
		}),
		by(metricsMicros, "µs", func(n int) float64 {
			m, c := metric.New(), newConfig(n)
			return processorMicros(cfg, func() { m.SetConfig(c) })
		}),
	}, nil
}

// usedMetrics has counted requests of each of n workspaces, and each kind of
// failure.
func usedMetrics(n int) *metric.Metrics {
	m := metric.New()
	m.SetConfig(newConfig(n))
	for i := range n {
		count(m, workspaceName(i))
		m.RecordFailure(workspaceName(i), failure.ErrOverloaded)
		m.RecordFailure(workspaceName(i), failure.ErrRateLimited)
		m.RecordFailure(workspaceName(i), failure.ErrDeadlineExceeded)
	}
	return m
}

// count is what one answered request counts.
func count(m *metric.Metrics, workspace string) {
	m.RequestStarted()
	m.ObserveFirstToken(workspace, 300*time.Millisecond)
	m.RecordPrompt(4000, 3000)
	m.RecordAnswer(workspace)
	m.RequestEnded()
}

// scrape gives the bytes of a scrape.
func scrape(m *metric.Metrics) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/metrics", nil)
	promhttp.HandlerFor(m.Registry(), promhttp.HandlerOpts{}).ServeHTTP(w, r)
	return w.Body.Len()
}
