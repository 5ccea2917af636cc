package completion

import (
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// SoftwarePin restricts a request to engines of one software version. The events that two
// versions write don't fit together in one stream. The zero value restricts nothing.
type SoftwarePin struct {
	set     bool
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
	return ok && u.Software == s.pin.version
}

// errSoftwareGone means that no engine has the pinned software version any more.
var errSoftwareGone = failure.ErrNotResumable.WithMessage("no upstream has the software that began the stream; begin the request anew")
