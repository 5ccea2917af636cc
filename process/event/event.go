// Package event holds the numbered log events. A number, once given, keeps
// its meaning; docs/EVENTS.md is the catalogue, and a test holds the two
// together.
package event

import (
	"go.uber.org/zap"
)

//go:generate go tool stringer -type=Event -output=event_string.go
//go:generate go test -run ^TestCatalogue$ -update .

// Event is the number of a log event. Each area has its own hundred and its
// own file in this package.
type Event uint16

// Number is the event's number in the log.
func (e Event) Number() int { return int(e) }

func fields(e Event, f []zap.Field) []zap.Field {
	return append([]zap.Field{zap.Int("Event", e.Number())}, f...)
}

// Info logs a numbered event that needs nobody's attention.
func Info(l *zap.Logger, e Event, f ...zap.Field) { l.Info(e.String(), fields(e, f)...) }

// Warn logs a numbered event that an operator should know of.
func Warn(l *zap.Logger, e Event, f ...zap.Field) { l.Warn(e.String(), fields(e, f)...) }

// Error logs a numbered event that an operator should act on.
func Error(l *zap.Logger, e Event, f ...zap.Field) { l.Error(e.String(), fields(e, f)...) }
