// Package metric holds the metrics of one node. Every label has a bounded
// number of values, whatever callers send and however many workspaces there
// are. docs/OPERATING.md says which are worth an alarm.
package metric

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/version/config"
)

//go:generate go tool stringer -type=Retry,Append,PeerState,Import,Verdict -output=metric_string.go

const namespace = "dunlinmill"

// answered is the outcome label of a request that got its whole answer; the
// others are the names of failure codes.
const answered = "Answered"

// Retry says what was done about a request whose upstream failed.
type Retry uint8

const (
	// Resent: the request was sent to another upstream.
	Resent Retry = iota
	// Resumed: the stream went on, on the same upstream.
	Resumed
	// Continued: another upstream went on with the text sent so far.
	Continued
)

// Append says what became of an append to the log.
type Append uint8

const (
	// Accepted appends were answered with their offset.
	Accepted Append = iota
	// Refused appends had no effect.
	Refused
	// OutcomeUnknown appends lost their answer.
	OutcomeUnknown
)

// PeerState is a node's view of another.
type PeerState uint8

const (
	// Live peers answer.
	Live PeerState = iota
	// Unreachable peers are listed but don't answer.
	Unreachable
	// Leaving peers are shutting down.
	Leaving
)

// Import says what became of an import of a kept prefix.
type Import uint8

const (
	// Imported prefixes were not computed again.
	Imported Import = iota
	// NotImported prefixes were computed.
	NotImported
)

// Verdict is what the shedder decided about a request.
type Verdict uint8

const (
	// Sent requests may go to an upstream.
	Sent Verdict = iota
	// Shed requests would have waited too long.
	Shed
)

// firstTokenBuckets are in seconds, closest around the aim of 1 s.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .35, .5, .75, 1, 1.5, 2.5, 5, 10, 30}

// promptBuckets are in tokens.
var promptBuckets = prometheus.ExponentialBuckets(256, 2, 9)

// journalBuckets are in seconds.
var journalBuckets = []float64{.001, .0025, .005, .01, .02, .05, .1, .25, .5, 1, 2.5, 5}

// Metrics are the metrics of one node. All methods may be called from many
// goroutines.
type Metrics struct {
	registry *prometheus.Registry
	classes  atomic.Pointer[Classes]

	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec
	promptTokens   *prometheus.CounterVec
	promptLength   *prometheus.HistogramVec
	retries        *prometheus.CounterVec
	imports        *prometheus.CounterVec
	quarantine     *prometheus.CounterVec
	inFlight       prometheus.Gauge
	queueLength    prometheus.Gauge
	configOffset   prometheus.Gauge
	configRead     prometheus.Gauge
	logReachable   prometheus.Gauge
	peers          *prometheus.GaugeVec
	dutyHeld       prometheus.Gauge
	journalAppends *prometheus.CounterVec
	journalLatency prometheus.Histogram
}

// New gives the metrics of a node, all registered, with the Go runtime's and
// the process's own beside them.
func New() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		requests:       counters("requests_total", "Requests that ended, by workspace class and outcome (Answered or a failure code).", "class", "outcome"),
		refusals:       counters("refusals_total", "Requests that got an error, by failure code and by whether they ran.", "code", "ran"),
		firstToken:     histograms("first_token_seconds", "Time from the request's arrival to its first token, by workspace class.", firstTokenBuckets, "class"),
		promptTokens:   counters("prompt_tokens_total", "Prompt tokens by whether the engine had them cached or computed them.", "from"),
		promptLength:   histograms("prompt_length_tokens", "Prompt tokens of judged requests, by whether they were Sent or Shed.", promptBuckets, "verdict"),
		retries:        counters("retries_total", "Requests that were sent again, resumed or continued.", "kind"),
		imports:        counters("imports_total", "Decided imports of a prefix from another engine's cache, by result.", "result"),
		quarantine:     counters("quarantine_total", "Requests under which upstreams ended: suspected, held, turned away, tried again or cleared.", "step"),
		inFlight:       gauge("in_flight_requests", "Requests that this node has taken and not ended."),
		queueLength:    gauge("queued_requests", "Requests that wait for an upstream."),
		configOffset:   gauge("config_offset", "Log offset of the configuration in force."),
		configRead:     gauge("config_read_timestamp_seconds", "When this node last knew its configuration to be the newest, in Unix time."),
		logReachable:   gauge("log_reachable", "1 if the last call to the platform's log succeeded, else 0."),
		dutyHeld:       gauge("duty_held", "1 while this node has the duty to give orders, else 0."),
		peers:          prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "peers", Help: "Other nodes by state."}, []string{"state"}),
		journalAppends: counters("journal_appends_total", "Appends to the journal by what became of them.", "result"),
		journalLatency: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "journal_append_seconds", Help: "Time that an append to the journal took, whatever became of it.", Buckets: journalBuckets}),
	}
	m.classes.Store(&Classes{})
	m.registry.MustRegister(m.requests, m.refusals, m.firstToken, m.promptTokens, m.promptLength, m.retries, m.imports, m.quarantine,
		m.inFlight, m.queueLength, m.configOffset, m.configRead, m.logReachable, m.dutyHeld, m.peers,
		m.journalAppends, m.journalLatency,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Registry gives the registry, for further collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Answered counts a request that got its whole answer.
func (m *Metrics) Answered(workspace string) {
	m.requests.WithLabelValues(m.classes.Load().Of(workspace), answered).Inc()
}

// Failed counts a request that got an error.
func (m *Metrics) Failed(workspace string, e *failure.Error) {
	m.requests.WithLabelValues(m.classes.Load().Of(workspace), e.Code.String()).Inc()
	m.refusals.WithLabelValues(e.Code.String(), e.Ran.Text()).Inc()
}

// FirstToken notes the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(workspace string, d time.Duration) {
	m.firstToken.WithLabelValues(m.classes.Load().Of(workspace)).Observe(d.Seconds())
}

// Prompt notes how much of a prompt an engine had cached.
func (m *Metrics) Prompt(tokens, cached int) {
	m.promptTokens.WithLabelValues("cached").Add(float64(cached))
	m.promptTokens.WithLabelValues("computed").Add(float64(max(tokens-cached, 0)))
}

// Judged notes the length of a prompt, and what the shedder decided about its request.
func (m *Metrics) Judged(tokens int, v Verdict) {
	m.promptLength.WithLabelValues(v.String()).Observe(float64(tokens))
}

// Retried counts a retry.
func (m *Metrics) Retried(r Retry) { m.retries.WithLabelValues(r.String()).Inc() }

// Imported counts an import.
func (m *Metrics) Imported(i Import) { m.imports.WithLabelValues(i.String()).Inc() }

// Quarantined counts a step of a request that upstreams may have ended under.
func (m *Metrics) Quarantined(s quarantine.Step) { m.quarantine.WithLabelValues(s.String()).Inc() }

// Began counts a request that this node has taken.
func (m *Metrics) Began() { m.inFlight.Inc() }

// Ended counts a request that has ended, whatever its outcome.
func (m *Metrics) Ended() { m.inFlight.Dec() }

// Queued sets the number of requests that wait for an upstream.
func (m *Metrics) Queued(n int) { m.queueLength.Set(float64(n)) }

// Configured notes the configuration in force.
func (m *Metrics) Configured(cfg config.Config) {
	m.configOffset.Set(float64(cfg.Offset))
	next := NewClasses(cfg)
	for _, gone := range m.classes.Swap(&next).without(next) {
		m.requests.DeletePartialMatch(prometheus.Labels{"class": gone})
		m.firstToken.DeletePartialMatch(prometheus.Labels{"class": gone})
	}
}

// LogRead notes the outcome of a call to the platform's log. A success at
// the log's end makes the configuration known to be the newest at now.
func (m *Metrics) LogRead(now time.Time, ok bool) {
	if !ok {
		m.logReachable.Set(0)
		return
	}
	m.logReachable.Set(1)
	m.configRead.Set(float64(now.UnixMilli()) / 1000)
}

// Peers sets the number of other nodes in a state.
func (m *Metrics) Peers(s PeerState, n int) { m.peers.WithLabelValues(s.String()).Set(float64(n)) }

// Duty says whether this node has the duty to give orders.
func (m *Metrics) Duty(held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.dutyHeld.Set(value)
}

// Journalled notes what became of an append to the journal and how long it
// took.
func (m *Metrics) Journalled(a Append, d time.Duration) {
	m.journalAppends.WithLabelValues(a.String()).Inc()
	m.journalLatency.Observe(d.Seconds())
}
