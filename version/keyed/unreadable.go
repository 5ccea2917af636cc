package keyed

import (
	"sync"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// maxUnreadableKeys bounds what an UnreadableLog remembers. Another writer may leave any number of keys.
const maxUnreadableKeys = 64

// UnreadableLog logs records of the nodes' own topics that can't be read, each value once. Its methods are safe for
// concurrent use.
type UnreadableLog struct {
	log *zap.Logger

	mu     sync.Mutex // guards logged
	logged map[topicKey]Position
}

// topicKey is a key in a topic.
type topicKey struct{ topic, key string }

// NewUnreadableLog returns an UnreadableLog that writes to log.
func NewUnreadableLog(log *zap.Logger) *UnreadableLog {
	return &UnreadableLog{log: log, logged: map[topicKey]Position{}}
}

// Record logs that a record of a topic can't be read, for the given reason.
func (u *UnreadableLog) Record(topic string, r Record, reason error) {
	if u.isNew(topicKey{topic, r.Key}, r.Position) {
		event.Warn(u.log, event.OwnRecordUnreadable, zap.String("Topic", topic), zap.String("Key", r.Key), zap.Stringer("Position", r.Position), zap.Error(reason))
	}
}

// isNew reports whether the value of a key at a position was not logged before.
func (u *UnreadableLog) isNew(k topicKey, at Position) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	last, known := u.logged[k]
	if known && last == at || !known && len(u.logged) >= maxUnreadableKeys {
		return false
	}
	u.logged[k] = at
	return true
}
