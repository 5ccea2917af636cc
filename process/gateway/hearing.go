package gateway

import (
	"sync"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
)

// UpstreamNotices receives what upstreams report of themselves with their answers. The report
// arrives before the register has it, and also while the register is unreachable.
type UpstreamNotices interface {
	// Replaced reports that another process has started at the upstream's address.
	Replaced(upstream string)
	// Leaving reports that the upstream is leaving and must get no further requests.
	Leaving(upstream string)
	// RateLimit reports what an answer to a request that was sent at a time states about the rate
	// that the upstream takes.
	RateLimit(upstream string, sentAt time.Time, l ratelimit.Limit)
	// RejectLimit reports what an answer to a request that was sent at a time states about the requests
	// that the upstream may reject in a second without a crash.
	RejectLimit(upstream string, sentAt time.Time, l ratelimit.Limit)
	// RateLimitUnreadable reports that an answer states a rate that can't be read, which leaves the
	// known one in force.
	RateLimitUnreadable(upstream string, err error)
}

// noticeHandler applies the notices to the roster and updates the request paths at once. Otherwise
// these would use the register's entries, which are seconds old, or stay as they are while the
// register is unreachable.
type noticeHandler struct {
	roster  *roster.Roster
	refresh func(now time.Time) // see learner.refresh
	limiter *ratelimit.Limiter
	rejects *rejectLimits
	metrics *metric.Metrics
	log     *zap.Logger

	mu           sync.Mutex
	loggedLimits map[string]ratelimit.Limit // by upstream, as last logged; guarded by mu
}

var _ UpstreamNotices = (*noticeHandler)(nil)

func (g *Gateway) newNoticeHandler(i do.Injector) *noticeHandler {
	return &noticeHandler{roster: do.MustInvoke[*roster.Roster](i), refresh: do.MustInvoke[*learner](i).refresh, limiter: do.MustInvoke[*ratelimit.Limiter](i), rejects: do.MustInvoke[*rejectLimits](i), metrics: do.MustInvoke[*metric.Metrics](i), log: g.log, loggedLimits: map[string]ratelimit.Limit{}}
}

// Replaced takes the upstream out of use.
func (h *noticeHandler) Replaced(upstream string) {
	h.roster.RecordReplaced(upstream)
	h.refresh(clock.BoottimeNow())
}

// Leaving stops further requests to the upstream.
func (h *noticeHandler) Leaving(upstream string) { h.markLeaving(clock.BoottimeNow(), upstream, "") }

// leavingByPeer applies a peer's list of upstreams that are leaving.
func (h *noticeHandler) leavingByPeer(now time.Time, upstreams []string) {
	for _, u := range upstreams {
		h.markLeaving(now, u, "a peer")
	}
}

func (h *noticeHandler) markLeaving(now time.Time, upstream, by string) {
	if h.roster.MarkLeaving(now, upstream) {
		event.Info(h.log, event.UpstreamLeaving, zap.String("Upstream", upstream), zap.String("By", by))
		h.refresh(now)
	}
}

// leavingRepeat is how long this node reports that an upstream is leaving. It covers several
// reports, as one may be lost, and the hops over aggregators.
const leavingRepeat = 2 * time.Second

// recent returns the leaving upstreams that the peers may not know yet.
func (h *noticeHandler) recent(now time.Time) []string {
	return h.roster.LeavingSince(now.Add(-leavingRepeat))
}

// RateLimit applies the rate that the upstream states.
func (h *noticeHandler) RateLimit(upstream string, sentAt time.Time, l ratelimit.Limit) {
	if h.limiter.Observe(time.Now(), sentAt, upstream, l) {
		h.recordLimit(upstream, l, "")
	}
}

// RejectLimit applies what the upstream states.
func (h *noticeHandler) RejectLimit(upstream string, sentAt time.Time, l ratelimit.Limit) {
	if h.rejects.Observe(time.Now(), sentAt, upstream, l) {
		h.recordRejectLimit(upstream, l, "")
	}
}

// rejectLimitsByPeer applies a peer's list of limits of rejections.
func (h *noticeHandler) rejectLimitsByPeer(now time.Time, reports []ratelimit.Report) {
	for _, r := range h.rejects.Merge(now, reports) {
		h.recordRejectLimit(r.Upstream, r.Limit, "a peer")
	}
}

func (h *noticeHandler) recordRejectLimit(upstream string, l ratelimit.Limit, by string) {
	event.Info(h.log, event.UpstreamRejectsLimited, zap.String("Upstream", upstream), zap.Bool("Limited", l.Limited), zap.Float64("PerSecond", l.PerSecond), zap.String("By", by))
}

// RateLimitUnreadable logs the error.
func (h *noticeHandler) RateLimitUnreadable(upstream string, err error) {
	event.Warn(h.log, event.UpstreamLimitUnreadable, zap.String("Upstream", upstream), zap.Error(err))
}

// limitsByPeer applies a peer's list of rates.
func (h *noticeHandler) limitsByPeer(now time.Time, reports []ratelimit.Report) {
	for _, r := range h.limiter.Merge(now, reports) {
		h.recordLimit(r.Upstream, r.Limit, "a peer")
	}
}

func (h *noticeHandler) recordLimit(upstream string, l ratelimit.Limit, by string) {
	h.metrics.SetRateLimit(upstream, l.Limited, l.PerSecond)
	if !h.isLimitToLog(upstream, l) {
		return
	}
	event.Info(h.log, event.UpstreamLimited, zap.String("Upstream", upstream), zap.Bool("Limited", l.Limited), zap.Float64("PerSecond", l.PerSecond), zap.String("By", by))
}

// isLimitToLog reports whether a limit has begun, ended or changed by a quarter since it was logged.
// An upstream may state another one with each answer.
func (h *noticeHandler) isLimitToLog(upstream string, l ratelimit.Limit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.loggedLimits[upstream]
	if l.Limited == last.Limited && l.PerSecond <= last.PerSecond*rateLogFactor && l.PerSecond*rateLogFactor >= last.PerSecond {
		return false
	}
	if !l.Limited {
		delete(h.loggedLimits, upstream)
		return true
	}
	h.loggedLimits[upstream] = l
	return true
}
