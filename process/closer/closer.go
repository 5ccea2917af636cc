// Package closer closes the components of a process.
package closer

import (
	"fmt"

	"go.uber.org/zap"
)

// List closes components in the reverse order of their addition, so that a
// component's dependencies outlive it. The zero value is an empty list.
type List struct {
	components []component
}

type component struct {
	name  string
	close func() error
}

// Add adds a component to close.
func (l *List) Add(name string, close func() error) {
	l.components = append(l.components, component{name: name, close: close})
}

// CloseAll closes each component once and logs the errors.
func (l *List) CloseAll(log *zap.Logger) {
	for i := len(l.components) - 1; i >= 0; i-- {
		if err := l.components[i].close(); err != nil {
			log.Warn(fmt.Sprintf("failed to close %s", l.components[i].name), zap.Error(err))
		}
	}
	l.components = nil
}
