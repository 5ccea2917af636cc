package fold

import (
	"errors"
	"fmt"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Code,Status,StepStatus -output=fold_string.go

// Sentinel errors of refusals. errors.Is on a *Refusal matches the sentinel of its
// code.
var (
	// ErrOvertaken means that an object that the plan touches has changed since the
	// state that the plan was made from.
	ErrOvertaken = errors.New("fold: overtaken")
	// ErrBusyObject means that an active plan touches the same object.
	ErrBusyObject = errors.New("fold: touched by an active plan")
	// ErrUnknownPlan means that the state holds no such plan.
	ErrUnknownPlan = errors.New("fold: unknown plan")
	// ErrWrongStatus means that the plan's status doesn't allow the action.
	ErrWrongStatus = errors.New("fold: not in this state of the plan")
	// ErrCapacity means that a model would be left without an engine.
	ErrCapacity = errors.New("fold: capacity")
	// ErrStaleFencing means that the writer no longer holds the lease.
	ErrStaleFencing = errors.New("fold: stale fencing number")
	// ErrLeaseHeld means that another lease record was accepted first.
	ErrLeaseHeld = errors.New("fold: another lease record came first")
	// ErrExpired means that the record arrived too late to be accepted.
	ErrExpired = errors.New("fold: record expired")
	// ErrInvalid means that the record holds an impossible value.
	ErrInvalid = errors.New("fold: invalid")
	// ErrLimit means that a bound is reached, such as two loads at once.
	ErrLimit = errors.New("fold: limit reached")
	// ErrUnknownType means that this version doesn't know the record's type.
	ErrUnknownType = errors.New("fold: unknown record type")
)

// Code is the reason for a refusal in machine-readable form.
type Code uint8

// Codes of refusals, each with the sentinel error of the same name.
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

// Cause identifies the change or plan that a record was refused for.
type Cause struct {
	Plan     string
	Operator string
	Offset   platform.Offset
}

// Refusal is an error that says why the fold did not accept a record.
type Refusal struct {
	Code   Code
	Reason string
	By     *Cause `json:",omitempty"`
}

// Error returns the reason as a sentence.
func (r *Refusal) Error() string { return r.Reason }

// Is reports whether target is the sentinel error of the refusal's code.
func (r *Refusal) Is(target error) bool {
	return int(r.Code) < len(sentinels) && sentinels[r.Code] == target
}

func refuse(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// Outcome is the result of one record: accepted, or refused with a reason.
type Outcome struct {
	ID      string
	Offset  platform.Offset
	Refusal *Refusal `json:",omitempty"`
}

// Err returns the refusal as an error; nil if the record was accepted.
func (o Outcome) Err() error {
	if o.Refusal == nil {
		return nil
	}
	return o.Refusal
}
