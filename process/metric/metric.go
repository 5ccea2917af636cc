// Package metric holds the metrics of one node. Every label has a limited
// number of values, whatever callers send and however many workspaces there
// are. docs/OPERATING.md lists the metrics that are worth an alarm.
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

//go:generate go tool stringer -type=Retry,Append,PeerState,Import,Verdict,Relay,Resume -output=metric_string.go

const namespace = "dunlinmill"

// answeredOutcome is the outcome label of a request that got its whole answer.
// The other outcomes are the names of failure codes.
const answeredOutcome = "Answered"

// Retry is what was done about a request whose upstream failed.
type Retry uint8

const (
	// Resent: the request was sent to another upstream.
	Resent Retry = iota
	// Resumed: the same upstream continued the stream.
	Resumed
	// Continued: another upstream continued after the text sent so far.
	Continued
)

// Append is the outcome of an append to the log.
type Append uint8

const (
	// Accepted appends were answered with their offset.
	Accepted Append = iota
	// Refused appends had no effect.
	Refused
	// OutcomeUnknown appends got no answer, so they may have had an effect.
	OutcomeUnknown
)

// PeerState is the state of another node as this node sees it.
type PeerState uint8

const (
	// Live peers answer.
	Live PeerState = iota
	// Unreachable peers are listed but do not answer.
	Unreachable
	// Leaving peers are shutting down.
	Leaving
)

// Import is the outcome of an import of a stored prefix.
type Import uint8

const (
	// Imported prefixes were not computed again.
	Imported Import = iota
	// NotImported prefixes were computed.
	NotImported
)

// Verdict is the shedder's decision about a request.
type Verdict uint8

const (
	// Sent requests may go to an upstream.
	Sent Verdict = iota
	// Shed requests would have waited too long.
	Shed
)

// Relay is what became of a connection to an upstream through another node.
type Relay uint8

const (
	// Opened connections were opened by another node for this one.
	Opened Relay = iota
	// NotOpened connections were opened by none of the nodes that this one asked.
	NotOpened
	// PassedOn connections were opened by this node for another one.
	PassedOn
)

// Resume is how the origin of a stream was found that a caller resumes.
type Resume uint8

const (
	// OriginOwn: the stream began at this node, or this node has been told of it.
	OriginOwn Resume = iota
	// OriginTold: another node that was asked knew it.
	OriginTold
	// OriginOnlyVersion: no node knew it, and one software version alone has served.
	OriginOnlyVersion
	// OriginUnknown: the stream may have begun at one of several versions, and was refused.
	OriginUnknown
)

// firstTokenBuckets are in seconds, closest around the target of 1 s.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .35, .5, .75, 1, 1.5, 2.5, 5, 10, 30}

// promptBuckets are in tokens.
var promptBuckets = prometheus.ExponentialBuckets(256, 2, 9)

// journalBuckets are in seconds.
var journalBuckets = []float64{.001, .0025, .005, .01, .02, .05, .1, .25, .5, 1, 2.5, 5}

// Metrics holds the metrics of one node. Its methods are safe for concurrent
// use.
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
	storeEra       prometheus.Gauge
	storeReturns   prometheus.Counter
	rateLimit      *prometheus.GaugeVec
	fleetOverload  prometheus.Gauge
	pathLost       *prometheus.GaugeVec
	upstreams      *prometheus.GaugeVec
	resumes        *prometheus.CounterVec
	relays         *prometheus.CounterVec
	releasePhase   *prometheus.GaugeVec
	releaseSends   *prometheus.CounterVec
	journalAppends *prometheus.CounterVec
	journalLatency prometheus.Histogram
}

// New returns the metrics of a node, registered together with those of the Go
// runtime and of the process.
func New() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		requests:       newCounterVec("requests_total", "Requests that ended, by workspace class and outcome (Answered or a failure code).", "class", "outcome"),
		refusals:       newCounterVec("refusals_total", "Requests that got an error, by failure code and by whether they ran.", "code", "ran"),
		firstToken:     newHistogramVec("first_token_seconds", "Time from the request's arrival to its first token, by workspace class.", firstTokenBuckets, "class"),
		promptTokens:   newCounterVec("prompt_tokens_total", "Prompt tokens by whether the engine had them cached or computed them.", "from"),
		promptLength:   newHistogramVec("prompt_length_tokens", "Prompt tokens of judged requests, by whether they were Sent or Shed.", promptBuckets, "verdict"),
		retries:        newCounterVec("retries_total", "Requests that were sent again, resumed or continued.", "kind"),
		imports:        newCounterVec("imports_total", "Decided imports of a prefix from another engine's cache, by result.", "result"),
		quarantine:     newCounterVec("quarantine_total", "Requests, and parts of prompts, under which upstreams ended: suspected, held, turned away, tried again or cleared.", "grain", "step"),
		inFlight:       newGauge("in_flight_requests", "Requests that this node has taken and not ended."),
		queueLength:    newGauge("queued_requests", "Requests that wait for an upstream."),
		configOffset:   newGauge("config_offset", "Log offset of the configuration in force."),
		configRead:     newGauge("config_read_timestamp_seconds", "When this node last knew its configuration to be the newest, in Unix time."),
		logReachable:   newGauge("log_reachable", "1 if the last call to the platform's log succeeded, else 0."),
		fleetOverload:  newGauge("fleet_overload", "Overload of the engines by the forecasts of all nodes, from 0 to 1; 0 where requests are not admitted by goals."),
		storeEra:       newGauge("store_era", "Era of the platform's store as this node has last read it; 0: not stated."),
		storeReturns:   newCounter("store_returns_total", "Returns of the platform's store from an older copy that this node has learnt of."),
		dutyHeld:       newGauge("duty_held", "1 while this node has the duty to give orders, else 0."),
		peers:          prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "peers", Help: "Other nodes by state."}, []string{"state"}),
		rateLimit:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "upstream_rate_limit", Help: "Requests a second that an upstream takes from all nodes together, while it states so."}, []string{"upstream"}),
		pathLost:       prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "path_lost", Help: "1 while this node cannot connect to the upstreams of a service, else no series."}, []string{"service"}),
		upstreams:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "upstreams", Help: "Upstreams that may get requests, by service and by the version of their software."}, []string{"service", "software"}),
		resumes:        newCounterVec("resumed_streams_total", "Streams that callers asked to resume, by how their origin was found.", "origin"),
		relays:         newCounterVec("relayed_connections_total", "Connections to upstreams that were asked of other nodes (Opened, NotOpened) or passed on for them (PassedOn).", "result"),
		releasePhase:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "release_phase", Help: "How far the roll-out of a service's software version has come as this node knows: 0 Pending, 1 Watching, 2 Loading, 3 Shifting, 4 Draining, 5 Complete, 6 RolledBack."}, []string{"service", "software"}),
		releaseSends:   newCounterVec("release_sends_total", "Sends to the upstreams of a service during a roll-out, by whether their software version is the new one.", "service", "version"),
		journalAppends: newCounterVec("journal_appends_total", "Appends to the journal by what became of them.", "result"),
		journalLatency: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "journal_append_seconds", Help: "Time that an append to the journal took, whatever became of it.", Buckets: journalBuckets}),
	}
	m.classes.Store(&Classes{})
	m.registry.MustRegister(m.requests, m.refusals, m.firstToken, m.promptTokens, m.promptLength, m.retries, m.imports, m.quarantine,
		m.inFlight, m.queueLength, m.configOffset, m.configRead, m.logReachable, m.dutyHeld, m.storeEra, m.storeReturns, m.rateLimit, m.fleetOverload, m.pathLost, m.upstreams, m.resumes, m.relays, m.releasePhase, m.releaseSends, m.peers,
		m.journalAppends, m.journalLatency,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Registry returns the registry, to register further collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// RecordAnswer counts a request that got its whole answer.
func (m *Metrics) RecordAnswer(workspace string) {
	m.requests.WithLabelValues(m.classes.Load().Of(workspace), answeredOutcome).Inc()
}

// RecordFailure counts a request that got an error.
func (m *Metrics) RecordFailure(workspace string, e *failure.Error) {
	m.requests.WithLabelValues(m.classes.Load().Of(workspace), e.Code.String()).Inc()
	m.refusals.WithLabelValues(e.Code.String(), e.Ran.Text()).Inc()
}

// ObserveFirstToken records the time from a request's arrival to its first
// token.
func (m *Metrics) ObserveFirstToken(workspace string, d time.Duration) {
	m.firstToken.WithLabelValues(m.classes.Load().Of(workspace)).Observe(d.Seconds())
}

// RecordPrompt counts the tokens of a prompt, by whether an engine had them
// cached or computed them.
func (m *Metrics) RecordPrompt(tokens, cached int) {
	m.promptTokens.WithLabelValues("cached").Add(float64(cached))
	m.promptTokens.WithLabelValues("computed").Add(float64(max(tokens-cached, 0)))
}

// RecordVerdict records the length of a prompt in tokens and the shedder's
// decision about its request.
func (m *Metrics) RecordVerdict(tokens int, v Verdict) {
	m.promptLength.WithLabelValues(v.String()).Observe(float64(tokens))
}

// RecordRetry counts a retry.
func (m *Metrics) RecordRetry(r Retry) { m.retries.WithLabelValues(r.String()).Inc() }

// RecordImport counts an import.
func (m *Metrics) RecordImport(i Import) { m.imports.WithLabelValues(i.String()).Inc() }

// Quarantined counts a step in the quarantine of a request, or a part of a prompt, during which
// upstreams may have crashed.
func (m *Metrics) Quarantined(g quarantine.Grain, s quarantine.Step) {
	m.quarantine.WithLabelValues(g.String(), s.String()).Inc()
}

// RequestStarted counts a request that this node has accepted.
func (m *Metrics) RequestStarted() { m.inFlight.Inc() }

// RequestEnded counts a request that has ended, whatever its outcome.
func (m *Metrics) RequestEnded() { m.inFlight.Dec() }

// SetQueued sets the number of requests that wait for an upstream.
func (m *Metrics) SetQueued(n int) { m.queueLength.Set(float64(n)) }

// SetConfig records the configuration in force and deletes the series of
// classes that it no longer has.
func (m *Metrics) SetConfig(cfg config.Config) {
	m.configOffset.Set(float64(cfg.Offset))
	next := NewClasses(cfg)
	for _, class := range m.classes.Swap(&next).missingFrom(next) {
		m.requests.DeletePartialMatch(prometheus.Labels{"class": class})
		m.firstToken.DeletePartialMatch(prometheus.Labels{"class": class})
	}
}

// RecordLogRead records whether a call to the platform's log succeeded. A
// success at the end of the log means that the configuration is known to be the
// newest at now.
func (m *Metrics) RecordLogRead(now time.Time, ok bool) {
	if !ok {
		m.logReachable.Set(0)
		return
	}
	m.logReachable.Set(1)
	m.configRead.Set(float64(now.UnixMilli()) / 1000)
}

// SetPeers sets the number of other nodes in a state.
func (m *Metrics) SetPeers(s PeerState, n int) { m.peers.WithLabelValues(s.String()).Set(float64(n)) }

// SetDutyHeld sets whether this node holds the duty to give orders.
func (m *Metrics) SetDutyHeld(held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.dutyHeld.Set(value)
}

// SetStoreEra sets the era of the platform's store.
func (m *Metrics) SetStoreEra(era uint64) { m.storeEra.Set(float64(era)) }

// RecordStoreReturn counts a return of the platform's store from an older copy.
func (m *Metrics) RecordStoreReturn() { m.storeReturns.Inc() }

// SetFleetOverload sets the overload of the engines, from 0 to 1.
func (m *Metrics) SetFleetOverload(overload float64) { m.fleetOverload.Set(overload) }

// SetRateLimit sets the rate that an upstream takes; without a limit it has no series.
func (m *Metrics) SetRateLimit(upstream string, limited bool, perSecond float64) {
	if !limited {
		m.rateLimit.DeleteLabelValues(upstream)
		return
	}
	m.rateLimit.WithLabelValues(upstream).Set(perSecond)
}

// SetPathLost sets whether this node cannot connect to the upstreams of a service.
func (m *Metrics) SetPathLost(service string, lost bool) {
	if !lost {
		m.pathLost.DeleteLabelValues(service)
		return
	}
	m.pathLost.WithLabelValues(service).Set(1)
}

// UpstreamGroup is a group of upstreams that are counted together.
type UpstreamGroup struct {
	Service  string
	Software string
}

// SetUpstreams sets how many upstreams may get requests.
func (m *Metrics) SetUpstreams(counts map[UpstreamGroup]int) {
	m.upstreams.Reset()
	for g, n := range counts {
		m.upstreams.WithLabelValues(g.Service, g.Software).Set(float64(n))
	}
}

// RecordResume counts a stream that a caller asked to resume.
func (m *Metrics) RecordResume(r Resume) { m.resumes.WithLabelValues(r.String()).Inc() }

// RecordRelay counts a connection that goes through another node.
func (m *Metrics) RecordRelay(r Relay) { m.relays.WithLabelValues(r.String()).Inc() }

// RecordAppend records the outcome and the duration of an append to the
// journal.
func (m *Metrics) RecordAppend(a Append, d time.Duration) {
	m.journalAppends.WithLabelValues(a.String()).Inc()
	m.journalLatency.Observe(d.Seconds())
}

// SetReleasePhase sets how far the roll-out of a service's software version has come.
func (m *Metrics) SetReleasePhase(service, software string, phase int) {
	m.releasePhase.DeletePartialMatch(prometheus.Labels{"service": service})
	m.releasePhase.WithLabelValues(service, software).Set(float64(phase))
}

// RecordReleaseSend counts a send to an upstream of a service that has a roll-out.
func (m *Metrics) RecordReleaseSend(service string, toNew bool) {
	version := "serving"
	if toNew {
		version = "new"
	}
	m.releaseSends.WithLabelValues(service, version).Inc()
}
