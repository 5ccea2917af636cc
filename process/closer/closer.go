// Package closer stops the parts of a process.
package closer

import (
	"fmt"

	"go.uber.org/zap"
)

// List stops parts in the reverse order of their making, so that each part's
// dependencies outlive it. The zero List has none.
type List struct {
	parts []part
}

type part struct {
	name  string
	close func() error
}

// Add has a part closed with the others.
func (l *List) Add(name string, close func() error) {
	l.parts = append(l.parts, part{name: name, close: close})
}

// CloseAll closes each part once.
func (l *List) CloseAll(log *zap.Logger) {
	for i := len(l.parts) - 1; i >= 0; i-- {
		if err := l.parts[i].close(); err != nil {
			log.Warn(fmt.Sprintf("closing %s", l.parts[i].name), zap.Error(err))
		}
	}
	l.parts = nil
}
