package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// Of 20 nodes in four data centres, two in each ask the platform and the others ask
// those: all choose alike without a message. With one that is cut off as the only
// reader, a data centre would lose its proofs together.
func TestTwoNodesOfADataCentreAskThePlatform(t *testing.T) {
	var fleet []member.Member
	for i := range 20 {
		fleet = append(fleet, member.Member{Name: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i%4)})
	}
	asking := map[string][]string{}
	for i, m := range fleet {
		others := slices.Delete(slices.Clone(fleet), i, i+1)
		readers := relay{&peers{name: m.Name, dataCentre: m.DataCentre}}.readers(others)
		if len(readers) < relyReaders {
			asking[m.DataCentre] = append(asking[m.DataCentre], m.Name)
		}
		for _, r := range readers {
			if r.DataCentre != m.DataCentre {
				t.Errorf("%s asks %s of another data centre", m.Name, r.Name)
			}
		}
	}
	for dc, names := range asking {
		if len(names) != relyReaders {
			t.Errorf("%s: %v ask the platform", dc, names)
		}
	}
	if len(asking) != 4 {
		t.Errorf("%v", asking)
	}
}

// All nodes of a fleet of 195 looked at the register at one pace. While the first one told
// the others what it had read, a third of them looked as well, and each of those told all:
// calls to the platform, and connections of each node to each. Two nodes of each data
// centre are to look before any of the others is due; alone, none may wait past the two
// seconds in which upstreams that leave have to be known.
func TestReadersLookAtTheRegisterBeforeOthersAreDue(t *testing.T) {
	soonest := func(pace float64) time.Duration {
		return time.Duration(pace * (1 - registerSpread) * float64(registerPause))
	}
	latest := func(pace float64) time.Duration {
		return time.Duration(pace * (1 + registerSpread) * float64(registerPause))
	}
	if soonest(readersLook)+tellTimeout > soonest(othersLook) || latest(othersLook) > 2*time.Second {
		t.Errorf("readers look after %v, others between %v and %v", soonest(readersLook), soonest(othersLook), latest(othersLook))
	}
	for _, c := range []struct{ nodes, readers, alike int }{{8, 0, 8}, {18, 12, 0}, {195, 12, 0}} {
		f := newSharingFleet(c.nodes, 1, 6)
		readers, alike := 0, 0
		for _, n := range f.nodes {
			others := slices.DeleteFunc(f.live(), func(m member.Member) bool { return m.Name == n.Name })
			switch (relay{&peers{name: n.Name, dataCentre: n.DataCentre}}).paceAmong(others) {
			case readersLook:
				readers++
			case 1:
				alike++
			}
		}
		if readers != c.readers || alike != c.alike {
			t.Errorf("%d nodes: %d readers, %d at the common pace", c.nodes, readers, alike)
		}
	}
}
