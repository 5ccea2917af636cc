package gateway

import (
	"reflect"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/origin"
)

// Guards against a node that takes its first streams for those of a fleet with one software version.
func TestVersionsMayDifferBeforeFirstStream(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name     string
		versions []string
		read     bool // the register has been read
		lost     bool // and can't be reached since
		want     bool
	}{
		{"one version", []string{"v1"}, true, false, false},
		{"two versions", []string{"v1", "v2"}, true, false, true},
		{"register not read", nil, false, false, true},
		{"register away", []string{"v1"}, true, true, true},
	}
	for _, c := range cases {
		o := &origins{tracker: origin.NewTracker(), releases: origin.NewReleases(), roster: roster.New()}
		o.releases.Observe(now, map[string][]string{"lm": c.versions})
		if c.read {
			o.roster.MarkRead()
		}
		if c.lost {
			o.roster.SetUnreachable()
		}
		if got := o.versionsMayDiffer(now); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestOutcomeOfResolving(t *testing.T) {
	cases := []struct {
		name       string
		own, asked OriginReply
		want       metric.Resume
	}{
		{"known here", OriginReply{Known: true}, OriginReply{Known: true}, metric.OriginOwn},
		{"known elsewhere", OriginReply{}, OriginReply{Known: true, Versions: []string{"v1", "v2"}}, metric.OriginTold},
		{"one version", OriginReply{}, OriginReply{Versions: []string{"v1"}, Current: true}, metric.OriginOnlyVersion},
		{"one version, as far as nodes know that don't reach the register", OriginReply{}, OriginReply{Versions: []string{"v1"}}, metric.OriginUnknown},
		{"two versions", OriginReply{}, OriginReply{Versions: []string{"v1", "v2"}, Current: true}, metric.OriginUnknown},
		{"no version", OriginReply{}, OriginReply{Current: true}, metric.OriginUnknown},
	}
	for _, c := range cases {
		if got := outcomeOf(c.own, c.asked); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// Guards against callers that begin a stream anew, although another node knows where it began, and against
// those that come back in vain.
func TestRefusalOfUnknownOrigin(t *testing.T) {
	cases := []struct {
		name            string
		joined          bool
		asked, answered int
		retries         bool
	}{
		{"the nodes that may know it don't", true, 3, 3, false},
		{"some don't answer", true, 3, 1, false},
		{"there are no others", true, 0, 0, false},
		{"none answers", true, 3, 0, true},
		{"the others are not known yet", false, 0, 0, true},
	}
	for _, c := range cases {
		err := resolution{asked: c.asked, answered: c.answered}.refusal("a", c.joined)
		if err.Ran != failure.NotRun || (err.RetryAfter > 0) != c.retries {
			t.Errorf("%s: %v, retry after %s", c.name, err, err.RetryAfter)
		}
	}
}

// Guards against entries without a software version, and offsets without the store's era, which nodes of an
// older build send and ask for during a rolling update.
func TestEntriesOfOlderBuildAreNotTaken(t *testing.T) {
	for _, method := range []string{"Register", "Entries", "RegisterChanges", "Newest"} {
		if _, found := reflect.TypeFor[*enginesHandler]().MethodByName(method); found {
			t.Errorf("nodes of an older build can call %s", method)
		}
	}
}
