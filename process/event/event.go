// Package event holds the numbered log events. A number, once given, keeps
// its meaning; docs/EVENTS.md is the catalogue, and a test holds the two
// together.
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

// Number is the event's number in the log.
func (e Event) Number() int { return int(e) }

// fields puts the number first, and has the library's own name for an error
// begin with a capital as all names in the log do.
func fields(e Event, f []zap.Field) []zap.Field {
	all := append([]zap.Field{zap.Int("Event", e.Number())}, f...)
	for i := range all {
		if all[i].Type == zapcore.ErrorType && all[i].Key == "error" {
			all[i].Key = "Error"
		}
	}
	return all
}

// Info logs a numbered event that needs nobody's attention.
func Info(l *zap.Logger, e Event, f ...zap.Field) { l.Info(e.String(), fields(e, f)...) }

// Warn logs a numbered event that an operator should know of.
func Warn(l *zap.Logger, e Event, f ...zap.Field) { l.Warn(e.String(), fields(e, f)...) }

// Error logs a numbered event that an operator should act on.
func Error(l *zap.Logger, e Event, f ...zap.Field) { l.Error(e.String(), fields(e, f)...) }
