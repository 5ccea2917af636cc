package release

//go:generate go tool stringer -type=Outcome -output=outcome_string.go

// Outcome is what the platform's record says of a roll-out.
type Outcome uint8

const (
	// InProgress: the roll-out has begun and not ended.
	InProgress Outcome = iota
	// Completed: the former upstreams may stop.
	Completed
	// Reverted: the upstreams of the new version may stop.
	Reverted
)

// Record is the record of a service's roll-out that the platform keeps for operators, and for nodes
// that have not seen it.
type Record struct {
	Service  string
	Software string
	ID       uint64 // of the order
	Era      uint64 // of the order
	Outcome  Outcome
}

// RecordOf returns the record of a state.
func RecordOf(s State) Record {
	r := Record{Service: s.Service, Software: s.Software, ID: s.ID, Era: s.Era}
	switch s.Phase {
	case Complete:
		r.Outcome = Completed
	case RolledBack:
		r.Outcome = Reverted
	}
	return r
}

// Ended returns the update of a roll-out that has ended by its record; false if it has not.
func (r Record) Ended(o Order) (Update, bool) {
	repeated := r.Era < o.Era && r.Software == o.Software
	if r.ID != o.ID && !repeated || r.Outcome == InProgress {
		return Update{}, false
	}
	phase := Complete
	if r.Outcome == Reverted {
		phase = RolledBack
	}
	return Update{State: State{Order: o, Phase: phase, Reason: "by the platform's record"}, Recorded: true}, true
}
