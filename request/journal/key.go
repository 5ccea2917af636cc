package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// MaxKeyLength bounds an idempotency key, in bytes.
const MaxKeyLength = 256

// KeyHash stands for a workspace's idempotency key.
type KeyHash [16]byte

// RequestHash stands for what was asked: method, path and body.
type RequestHash [8]byte

// HashRequest gives the hash of a request's parts.
func HashRequest(parts ...[]byte) RequestHash {
	return RequestHash(digest(parts)[:8])
}

// hashKey scopes a key by its workspace.
func hashKey(workspace, key string) KeyHash {
	return KeyHash(digest([][]byte{[]byte(workspace), []byte(key)})[:16])
}

// digest writes each part behind its length, so that two lists of parts that
// join to the same bytes differ.
func digest(parts [][]byte) []byte {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.AppendUvarint(nil, uint64(len(p))))
		h.Write(p)
	}
	return h.Sum(nil)
}

func millis(t time.Time) int64 { return t.UnixMilli() }

// partition gives the partition of a key among n.
func (k KeyHash) partition(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// Entry is a request that may run at most once.
type Entry struct {
	Workspace string
	// Key is the caller's idempotency key: a UUIDv7, or any text together
	// with KeyTime.
	Key string
	// KeyTime is when the key was made, by the caller's account; every try
	// has to give the same. A UUIDv7 carries its own, and KeyTime is ignored.
	KeyTime time.Time
	Request RequestHash
	// Deduplicates says that every upstream this request may be sent to runs
	// a key once by itself, as one: the same key at two of them runs once.
	Deduplicates bool
}

// keyTime gives when the key was made, to the millisecond.
func (e Entry) keyTime() (time.Time, error) {
	if e.Key == "" {
		return time.Time{}, failure.ErrKeyRequired
	}
	if len(e.Key) > MaxKeyLength {
		return time.Time{}, failure.ErrKeyInvalid.WithMessage("the Idempotency-Key is longer than %d bytes", MaxKeyLength)
	}
	if u, err := uuid.Parse(e.Key); err == nil && u.Version() == 7 {
		return time.UnixMilli(int64(binary.BigEndian.Uint64(u[:8]) >> 16)), nil
	}
	if e.KeyTime.IsZero() {
		return time.Time{}, failure.ErrKeyInvalid.WithMessage("the Idempotency-Key must be a UUIDv7 or come with its time")
	}
	return time.UnixMilli(e.KeyTime.UnixMilli()), nil
}

// checkKeyTime enforces the horizon. An earlier try may have passed another
// node's clock, so nothing is said about whether the request ran.
func (s Settings) checkKeyTime(now, keyTime time.Time) error {
	if keyTime.After(now.Add(s.MaxAhead)) {
		return failure.ErrKeyInvalid.WithRan(failure.Unknown).
			WithMessage("the Idempotency-Key's time is more than %v ahead", s.MaxAhead)
	}
	if now.Sub(keyTime) > s.Horizon {
		return failure.ErrKeyExpired
	}
	return nil
}
