package keyed

import (
	"errors"
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a log that fills up with one record that can't be read, and against memory that another writer's keys use
// up.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	u := NewUnreadableLog(zap.New(core))
	reason := errors.New("no JSON")
	for range 3 {
		u.Record("a", Record{Key: "k", Position: At(1, 5)}, reason)
		u.Record("b", Record{Key: "k", Position: At(1, 5)}, reason)
	}
	if n := lines.Len(); n != 2 {
		t.Errorf("%d lines for one record in each of two topics", n)
	}
	u.Record("a", Record{Key: "k", Position: At(1, 6)}, reason)
	if n := lines.Len(); n != 3 {
		t.Errorf("%d lines after another value", n)
	}
	for i := range 2 * maxUnreadableKeys {
		u.Record("a", Record{Key: fmt.Sprint(i), Position: At(1, 7)}, reason)
	}
	if n := len(u.logged); n != maxUnreadableKeys {
		t.Errorf("%d keys are remembered", n)
	}
}
