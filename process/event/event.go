// Package event holds the numbered log events. The meaning of a number never
// changes. docs/EVENTS.md is the catalogue, and a test keeps the two in step.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

//go:generate go tool stringer -type=Event -output=event_string.go
//go:generate go test -run ^TestCatalogue$ -update .

// Event is the number of a log event. Each area has its own hundred and its
// own file in this package.
type Event uint16

// Number returns the event's number in the log.
func (e Event) Number() int { return int(e) }

// fields puts the event number first and capitalises zap's own key for an
// error, as all field names in the log are.
func fields(e Event, f []zap.Field) []zap.Field {
	all := append([]zap.Field{zap.Int("Event", e.Number())}, f...)
	for i := range all {
		if all[i].Type == zapcore.ErrorType && all[i].Key == "error" {
			all[i].Key = "Error"
		}
	}
	return all
}

// Info logs an event that needs no attention.
func Info(l *zap.Logger, e Event, f ...zap.Field) { l.Info(e.String(), fields(e, f)...) }

// Warn logs an event that an operator should know about.
func Warn(l *zap.Logger, e Event, f ...zap.Field) { l.Warn(e.String(), fields(e, f)...) }

// Error logs an event that an operator should act on.
func Error(l *zap.Logger, e Event, f ...zap.Field) { l.Error(e.String(), fields(e, f)...) }
