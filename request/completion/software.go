package completion

import "github.com/samber/lo"

// softwarePin restricts a request to engines of one software version. The events that two
// versions write don't fit together in one stream.
type softwarePin struct {
	set     bool
	version string
}

func pinTo(version string) softwarePin { return softwarePin{set: true, version: version} }

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
