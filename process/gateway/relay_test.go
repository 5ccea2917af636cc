package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/member"
)

var start = time.Unix(1_790_000_000, 0)

// newTestReaders returns the readers as a node chooses them that knows all nodes of a fleet, none of
// which states its size.
func newTestReaders(self member.Member, fleet []member.Member) *readers {
	others := lo.Reject(fleet, func(m member.Member, _ int) bool { return m.Name == self.Name })
	return newReaders(newRoles(platform.VM{Name: self.Name, Address: self.Address, DataCentre: self.DataCentre}, func() []member.Member { return others }), self.Name)
}

// Of 20 nodes in four data centres, two in each query the platform and the others ask these. All
// nodes must select the same ones without messages. With a single reader, a data centre would lose
// its proofs when that reader is cut off.
func TestTwoNodesOfADataCentreAskThePlatform(t *testing.T) {
	var fleet []member.Member
	for i := range 20 {
		fleet = append(fleet, member.Member{Name: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i%4)})
	}
	asking := map[string][]string{}
	for _, m := range fleet {
		readers, _ := newTestReaders(m, fleet).near(start)
		if len(readers) < readersPerDataCentre {
			asking[m.DataCentre] = append(asking[m.DataCentre], m.Name)
		}
		for _, r := range readers {
			if r.DataCentre != m.DataCentre {
				t.Errorf("%s asks %s of another data centre", m.Name, r.Name)
			}
		}
	}
	for dc, names := range asking {
		if len(names) != readersPerDataCentre {
			t.Errorf("%s: %v ask the platform", dc, names)
		}
	}
	if len(asking) != 4 {
		t.Errorf("%v", asking)
	}
}

// When all nodes of a fleet of 195 read the register at the same pace, a third of them read it
// while the first one was reporting to the others, and each of these reported to all. This caused
// calls to the platform, and connections from each node to each. Two nodes of each data centre must
// read before any of the others is due. A node without peers must not wait longer than the two
// seconds within which nodes have to know that an upstream is leaving.
func TestReadersReadTheRegisterBeforeOthersAreDue(t *testing.T) {
	earliest := func(pace float64) time.Duration {
		return time.Duration(pace * (1 - registerSpread) * float64(registerPause))
	}
	latest := func(pace float64) time.Duration {
		return time.Duration(pace * (1 + registerSpread) * float64(registerPause))
	}
	if earliest(readerPauseFactor)+peerCallTimeout > earliest(nonReaderPauseFactor) || latest(nonReaderPauseFactor) > 2*time.Second {
		t.Errorf("readers read after %v, others between %v and %v", earliest(readerPauseFactor), earliest(nonReaderPauseFactor), latest(nonReaderPauseFactor))
	}
	for _, c := range []struct{ nodes, readers, commonPace int }{{8, 0, 8}, {18, 12, 0}, {195, 12, 0}} {
		f := newSharingFleet(c.nodes, 1, 6)
		readers, commonPace := 0, 0
		for _, n := range f.nodes {
			before, fleet := newTestReaders(n.Member, f.live()).near(start)
			switch pauseFactor(len(before), fleet) {
			case readerPauseFactor:
				readers++
			case 1:
				commonPace++
			}
		}
		if readers != c.readers || commonPace != c.commonPace {
			t.Errorf("%d nodes: %d readers, %d at the common pace", c.nodes, readers, commonPace)
		}
	}
}
