package gateway

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/roster"
)

// An engine says that it leaves with an answer to one node of a large fleet, while the
// register is away. All others hear of it over the aggregators.
func TestLargeFleetHearsThatAnUpstreamLeaves(t *testing.T) {
	f := newSharingFleet(195, 6, 6)
	rosters := lo.Map(f.nodes, func(n *sharingNode, _ int) *roster.Roster { return n.sharer.endings.hearing.roster })
	for _, r := range rosters {
		r.Put(roster.Entry{ID: "e1", Service: "lm", Address: "10.0.0.1:80"}, 1)
	}
	f.run(time.Second, func() {})
	f.nodes[7].sharer.endings.hearing.Leaving("e1")
	f.run(2*time.Second, func() {})
	late := lo.CountBy(rosters, func(r *roster.Roster) bool {
		entries, _ := r.Entries()
		return !entries[0].Leaving
	})
	if late > 0 {
		t.Errorf("%d of %d nodes have not heard", late, len(f.nodes))
	}
}
