package node

import (
	"fmt"

	"go.uber.org/zap"
)

// closers stop the parts in the reverse order of their making, so that each
// part's dependencies outlive it.
type closers struct {
	list []closer
}

type closer struct {
	name  string
	close func() error
}

func (c *closers) add(name string, f func() error) {
	c.list = append(c.list, closer{name: name, close: f})
}

// closeAll closes each part once.
func (c *closers) closeAll(log *zap.Logger) {
	for i := len(c.list) - 1; i >= 0; i-- {
		if err := c.list[i].close(); err != nil {
			log.Warn(fmt.Sprintf("closing %s", c.list[i].name), zap.Error(err))
		}
	}
	c.list = nil
}
