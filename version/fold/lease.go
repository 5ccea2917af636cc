package fold

import (
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/lease"
	"github.com/dunlinmill/dunlinmill/version/record"
)

func (s State) takeLease(e logEntry, b record.TakeLease) (State, *Refusal) {
	if b.Holder == "" {
		return s, refuse(Invalid, "a lease without a holder")
	}
	if b.Prev != s.Lease.Version {
		r := refuse(LeaseHeld, "the lease changed at offset %d, after %d; %s holds it", s.Lease.Version, b.Prev, s.Lease.Holder)
		r.By = &Cause{Operator: s.Lease.Holder, Offset: s.Lease.Version}
		return s, r
	}
	s.Lease = lease.Lease{Holder: b.Holder, Fencing: e.offset, Version: e.offset}
	return s, nil
}

func (s State) renewLease(e logEntry, b record.RenewLease) (State, *Refusal) {
	if r := s.checkHolder(b.Holder, b.Fencing); r != nil {
		return s, r
	}
	s.Lease.Version = e.offset
	return s, nil
}

func (s State) releaseLease(e logEntry, b record.ReleaseLease) (State, *Refusal) {
	if r := s.checkHolder(b.Holder, b.Fencing); r != nil {
		return s, r
	}
	s.Lease.Version = e.offset
	s.Lease.Free = true
	return s, nil
}

func (s State) checkHolder(holder string, fencing platform.Offset) *Refusal {
	if s.Lease.Holder != holder {
		return s.refuseStale(fencing)
	}
	return s.checkFencing(fencing)
}

// checkFencing refuses records by a holder that was paused while another node took
// the lease: the paused holder still believes that it holds the lease, and without
// this check it would begin steps beside the new holder. A holder's fencing number is
// the offset of its own take, so that no clock is needed to tell the two apart.
func (s State) checkFencing(fencing platform.Offset) *Refusal {
	if s.Lease.Free || fencing == 0 || fencing != s.Lease.Fencing {
		return s.refuseStale(fencing)
	}
	return nil
}

func (s State) refuseStale(fencing platform.Offset) *Refusal {
	r := refuse(StaleFencing, "fencing number %d is not in force: %s holds the lease with %d", fencing, s.Lease.Holder, s.Lease.Fencing)
	r.By = &Cause{Operator: s.Lease.Holder, Offset: s.Lease.Fencing}
	return r
}
