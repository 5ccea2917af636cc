package release

import (
	"testing"
	"time"
)

// Guards against an order that operators write again in a new era of the platform and that is taken for a
// new one.
func TestOrderWrittenAgainIsTheSame(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Order{Service: "s", Software: "v2", Duration: time.Minute, ID: 5, Era: 1}
	for _, c := range []struct {
		name  string
		order Order
		isNew bool
	}{
		{"written again in a new era", Order{Service: "s", Software: "v2", Duration: time.Minute, ID: 90, Era: 2}, false},
		{"ordered again in the same era", Order{Service: "s", Software: "v2", Duration: time.Minute, ID: 6, Era: 1}, true},
		{"another version", Order{Service: "s", Software: "v3", Duration: time.Minute, ID: 90, Era: 2}, true},
		{"withdrawn", Order{Service: "s", Withdrawn: true, ID: 90, Era: 2}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker(1)
			tr.PutOrder(now, first, false)
			tr.Merge(now, Update{State: State{Order: first, Phase: RolledBack}, Recorded: true}.Sent(now))
			if got := tr.PutOrder(now, c.order, false); got != c.isNew {
				t.Errorf("new: %t", got)
			}
			if open := len(tr.Open()); (open > 0) != c.isNew {
				t.Errorf("%d open roll-outs", open)
			}
			r := Record{Service: "s", Software: "v2", ID: first.ID, Era: first.Era, Outcome: Reverted}
			if _, ended := r.Ended(c.order); ended == c.isNew {
				t.Errorf("ended by its record: %t", ended)
			}
		})
	}
}
