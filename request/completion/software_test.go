package completion

import (
	"context"
	"errors"
	"testing"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// newReleaseFixture provides engines by name with their software versions.
func newReleaseFixture(software map[string]string, engines ...*fakeEngine) *fixture {
	s := newFixture(engines...)
	for name, version := range software {
		u := s.cfg.Upstreams[name]
		u.Software = version
		s.cfg = s.cfg.WithUpstream(u)
	}
	return s
}

// Guards against an answer that goes on at an engine of another software version.
func TestContinuationKeepsSoftwareVersion(t *testing.T) {
	cases := []struct {
		name     string
		software map[string]string
		sends    map[string]int // to each engine
		cut      bool
	}{
		{"an engine of the version is left", map[string]string{"a": "s1", "b": "s2", "c": "s1"}, map[string]int{"a": 1, "b": 0, "c": 1}, false},
		{"no engine of the version is left", map[string]string{"a": "s1", "b": "s2", "c": "s2"}, map[string]int{"a": 1, "b": 0, "c": 0}, true},
		{"the former version is left", map[string]string{"a": "s2", "b": "s2", "c": "s1"}, map[string]int{"a": 1, "b": 1, "c": 0}, false},
	}
	for _, c := range cases {
		for _, r := range []Request{testRequest, passthroughRequest()} {
			engines := []*fakeEngine{{name: "a", engineScript: engineScript{cutAfter: 2}}, {name: "b"}, {name: "c"}}
			a, err := newReleaseFixture(c.software, engines...).router().Start(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAnswer(a); c.cut != errors.Is(err, failure.ErrStreamCut) || !c.cut && err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			for _, e := range engines {
				if len(e.sends) != c.sends[e.name] {
					t.Errorf("%s: %d sends to %s, want %d", c.name, len(e.sends), e.name, c.sends[e.name])
				}
			}
		}
	}
}
