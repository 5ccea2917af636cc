package completion

import (
	"context"
	"errors"
	"testing"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Guards against an engine that is taken to hold newer weights than it does, after it refused a request: it gets
// requests that it refuses, and the node that gives orders never orders it again.
func TestRefusingEngineIsAskedForItsWeights(t *testing.T) {
	cases := []struct {
		name           string
		believed, held string
		reportErr      error
		want           string
	}{
		{"it holds a version in between", "v1", "v2", nil, "v2"},
		{"it holds the newest", "v1", "v3", nil, "v3"},
		{"it holds an older one than believed", "v3", "v2", nil, "v2"},
		{"it does not answer", "v1", "v2", errors.New("no answer"), "v1"},
	}
	for _, c := range cases {
		s := newFixture(&fakeEngine{name: "a", engineScript: engineScript{version: c.held, reportErr: c.reportErr}})
		s.cfg.Models["base"] = config.Model{Name: "base", Version: "v3", Any: true}
		s.versions["a"] = c.believed
		answer, err := s.router().Start(context.Background(), testRequest)
		if err == nil {
			_, _ = readAnswer(answer)
		}
		if got := s.versions["a"]; got != c.want {
			t.Errorf("%s: believed to hold %s, want %s", c.name, got, c.want)
		}
	}
}
