package completion

import (
	"context"
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
	if err := s.confirmStart(ctx, u); err != nil {
		return fmt.Errorf("%w: the engine's start is not confirmed: %v", upstream.ErrNotSent, err)
	}
	return nil
}

func (s *requestState) confirmStart(ctx context.Context, u config.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return s.rt.Upstreams.Engine(u).ConfirmStart(ctx)
}

// pinToFirstEngine returns the pin of a request whose first event an engine has given. While versions
// differ, the engine's start is confirmed now: had it started again before it answered, its entry would
// name the software of the former start, and had it since, the stream would have broken.
func (s *requestState) pinToFirstEngine(ctx context.Context, u config.Upstream) SoftwarePin {
	if s.pin.set {
		return s.pin
	}
	if !s.r.mayRepeat() || s.rt.SoftwareDiffers == nil || !s.rt.SoftwareDiffers() {
		return PinTo(u.Software) // a request that may not be repeated goes on nowhere else
	}
	if err := s.confirmStart(ctx, u); err != nil {
		event.Info(s.rt.Log, event.SoftwareNotConfirmed, zap.String("Request", s.r.ID), zap.String("Upstream", u.Name), zap.Error(err))
		return SoftwarePin{set: true, unknown: true}
	}
	return PinTo(u.Software)
}
