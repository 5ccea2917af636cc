package metric

import "github.com/prometheus/client_golang/prometheus"

// DroppedLines is a collector that counts dropped log lines by the name of
// their event.
type DroppedLines struct {
	dropped func() map[string]int
	desc    *prometheus.Desc
}

// NewDroppedLines returns a collector that reads the counts from dropped.
func NewDroppedLines(dropped func() map[string]int) *DroppedLines {
	return &DroppedLines{dropped: dropped, desc: prometheus.NewDesc(
		prometheus.BuildFQName(namespace, "", "log_lines_dropped_total"),
		"Log lines that found the queue of the writer full, by event.", []string{"event"}, nil)}
}

// Describe implements prometheus.Collector.
func (l *DroppedLines) Describe(ch chan<- *prometheus.Desc) { ch <- l.desc }

// Collect implements prometheus.Collector.
func (l *DroppedLines) Collect(ch chan<- prometheus.Metric) {
	for event, n := range l.dropped() {
		ch <- prometheus.MustNewConstMetric(l.desc, prometheus.CounterValue, float64(n), event)
	}
}
