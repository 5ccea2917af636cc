package completion

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// SoftwarePin restricts a request to engines of one software version. The events that two
// versions write don't fit together in one stream. The zero value restricts nothing.
type SoftwarePin struct {
	set     bool
	unknown bool // the version is not known, so that no engine has it
	version string
}

// PinTo returns the restriction to a version.
func PinTo(version string) SoftwarePin { return SoftwarePin{set: true, version: version} }

// candidates returns the engines that the request may still be sent to.
func (s *requestState) candidates() []string {
	if !s.pin.set {
		return s.target.list.Names
	}
	return lo.Filter(s.target.list.Names, func(name string, _ int) bool { return s.hasPinnedSoftware(name) })
}

// otherSoftware returns the engines of other software versions than the pinned one.
func (s *requestState) otherSoftware() []string {
	if !s.pin.set {
		return nil
	}
	return lo.Reject(s.target.list.Names, func(name string, _ int) bool { return s.hasPinnedSoftware(name) })
}

func (s *requestState) hasPinnedSoftware(name string) bool {
	u, ok := s.rt.View.Catalogue().Config().Upstreams[name]
	return ok && !s.pin.unknown && u.Software == s.pin.version
}

// errSoftwareGone means that no engine has the pinned software version any more.
var errSoftwareGone = failure.ErrNotResumable.WithMessage("no upstream has the software that began the stream; begin the request anew")

// confirmTimeout bounds the check of an engine's start.
const confirmTimeout = 300 * time.Millisecond

// confirmSoftware checks that an engine to which a pinned request goes has not started again, with
// other software perhaps. Nothing of the request has been sent if it returns an error.
func (s *requestState) confirmSoftware(ctx context.Context, u config.Upstream) error {
	if !s.pin.set {
		return nil
	}
	if err := s.confirmStart(ctx, u, time.Time{}); err != nil {
		return fmt.Errorf("%w: the engine's start is not confirmed: %v", upstream.ErrNotSent, err)
	}
	return nil
}

func (s *requestState) confirmStart(ctx context.Context, u config.Upstream, after time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return s.rt.Upstreams.Engine(u).ConfirmStart(ctx, after)
}

// pinToFirstEngine returns the pin of a request whose first event an engine has given. The engine's start is
// confirmed after its connection was opened: had it started again before, its entry would name the software of
// the former start, and had it since, the connection would have broken. The error is that of an engine which
// has started again, or may have, while the request is pinned already.
func (s *requestState) pinToFirstEngine(ctx context.Context, u config.Upstream, openedAt time.Time) (SoftwarePin, error) {
	if !s.pin.set && !s.r.mayRepeat() {
		return PinTo(u.Software), nil // it goes on nowhere else
	}
	err := s.confirmStart(ctx, u, openedAt)
	switch {
	case err != nil && (s.pin.set || errors.Is(err, upstream.ErrAddressReused)):
		return SoftwarePin{}, fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, err)
	case err != nil:
		event.Info(s.rt.Log, event.SoftwareNotConfirmed, zap.String("Request", s.r.ID), zap.String("Upstream", u.Name), zap.Error(err))
		return SoftwarePin{set: true, unknown: true}, nil
	case s.pin.set:
		return s.pin, nil
	}
	return PinTo(u.Software), nil
}
