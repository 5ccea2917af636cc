package fold

import (
	"errors"
	"fmt"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Code,Status,StepStatus -output=fold_string.go

// Sentinels of refusals. errors.Is on a *Refusal matches the one of its code.
var (
	// ErrOvertaken means that something the plan touches has changed since
	// the state it was made from.
	ErrOvertaken = errors.New("fold: overtaken")
	// ErrBusyObject means that a plan that isn't finished touches the same.
	ErrBusyObject = errors.New("fold: touched by an active plan")
	// ErrUnknownPlan means that no such plan is kept.
	ErrUnknownPlan = errors.New("fold: unknown plan")
	// ErrWrongStatus means that the plan isn't in a state that allows it.
	ErrWrongStatus = errors.New("fold: not in this state of the plan")
	// ErrCapacity means that a model would be left without an engine.
	ErrCapacity = errors.New("fold: capacity")
	// ErrStaleFencing means that the writer no longer holds the lease.
	ErrStaleFencing = errors.New("fold: stale fencing number")
	// ErrLeaseHeld means that another lease record came first.
	ErrLeaseHeld = errors.New("fold: lease changed meanwhile")
	// ErrExpired means that the record arrived too late to be taken.
	ErrExpired = errors.New("fold: record expired")
	// ErrInvalid means that the record says something impossible.
	ErrInvalid = errors.New("fold: invalid")
	// ErrLimit means that a bound, such as two loads at once, is reached.
	ErrLimit = errors.New("fold: limit reached")
	// ErrUnknownType means that this version doesn't know the record's type.
	ErrUnknownType = errors.New("fold: unknown record type")
)

// Code is the kind of a refusal.
type Code uint8

// The kinds of refusals, each with a sentinel of the same name.
const (
	Overtaken Code = iota
	BusyObject
	UnknownPlan
	WrongStatus
	Capacity
	StaleFencing
	LeaseHeld
	Expired
	Invalid
	Limit
	UnknownType
)

var sentinels = [...]error{
	ErrOvertaken, ErrBusyObject, ErrUnknownPlan, ErrWrongStatus, ErrCapacity, ErrStaleFencing,
	ErrLeaseHeld, ErrExpired, ErrInvalid, ErrLimit, ErrUnknownType,
}

// By says what a record was overtaken or held up by.
type By struct {
	Plan     string
	Operator string
	Offset   platform.Offset
}

// Refusal is why the fold did not accept a record. It is an error.
type Refusal struct {
	Code   Code
	Reason string
	By     *By `json:",omitempty"`
}

// Error tells the reason in a sentence.
func (r *Refusal) Error() string { return r.Reason }

// Is matches the sentinel of the refusal's code.
func (r *Refusal) Is(target error) bool {
	return int(r.Code) < len(sentinels) && sentinels[r.Code] == target
}

func refuse(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// Outcome is what became of one record.
type Outcome struct {
	ID      string
	Offset  platform.Offset
	Refusal *Refusal `json:",omitempty"`
}

// Err is nil if the record was accepted.
func (o Outcome) Err() error {
	if o.Refusal == nil {
		return nil
	}
	return o.Refusal
}
