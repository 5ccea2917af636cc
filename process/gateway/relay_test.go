package gateway

import (
	"fmt"
	"slices"
	"testing"

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
