package metric

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/retry"
)

// Observer records the events of the completion path in Metrics.
type Observer struct {
	Metrics *Metrics
}

// Answered records the time to the first token and the cached tokens of an
// answer that has begun.
func (o Observer) Answered(r completion.Request, i completion.Info, firstToken time.Duration) {
	o.Metrics.ObserveFirstToken(r.Workspace, firstToken)
	if !i.CacheUnknown {
		o.Metrics.RecordPrompt(i.PromptTokens, i.CachedTokens)
	}
}

// Judged records the shedder's decision about a request.
func (o Observer) Judged(tokens int, shed bool) {
	if shed {
		o.Metrics.RecordVerdict(tokens, Shed)
		return
	}
	o.Metrics.RecordVerdict(tokens, Sent)
}

// Retried counts the action taken after a failed send.
func (o Observer) Retried(_ completion.Request, a retry.Action) {
	switch a {
	case retry.Resume:
		o.Metrics.RecordRetry(Resumed)
	case retry.ContinueElsewhere:
		o.Metrics.RecordRetry(Continued)
	default:
		o.Metrics.RecordRetry(Resent)
	}
}

// Imported counts an import of a stored prefix.
func (o Observer) Imported(_ completion.Request, err error) {
	if err != nil {
		o.Metrics.RecordImport(NotImported)
		return
	}
	o.Metrics.RecordImport(Imported)
}
