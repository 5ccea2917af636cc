package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// MaxKeyLength is the maximum length of an idempotency key, in bytes.
const MaxKeyLength = 256

// KeyHash identifies an idempotency key within a workspace.
type KeyHash [16]byte

// RequestHash identifies the content of a request: its method, path and body.
type RequestHash [8]byte

// HashRequest returns the hash of a request's parts, in order.
func HashRequest(parts ...[]byte) RequestHash {
	return RequestHash(digest(parts)[:8])
}

// hashKey includes the workspace, so that equal keys of two workspaces
// differ.
func hashKey(workspace, key string) KeyHash {
	return KeyHash(digest([][]byte{[]byte(workspace), []byte(key)})[:16])
}

// digest prefixes each part with its length, so that two lists of parts whose
// concatenations are equal have different digests.
func digest(parts [][]byte) []byte {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.AppendUvarint(nil, uint64(len(p))))
		h.Write(p)
	}
	return h.Sum(nil)
}

func unixMillis(t time.Time) int64 { return t.UnixMilli() }

// partition returns the index of the key's partition out of n.
func (k KeyHash) partition(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// KeyedRequest is a request with an idempotency key, which may run at most
// once.
type KeyedRequest struct {
	Workspace string
	// Key is the caller's idempotency key: a UUIDv7, or any text together
	// with KeyTime.
	Key string
	// KeyTime is when the caller says that it made the key. Every attempt has
	// to give the same time. KeyTime is ignored for a UUIDv7, which contains
	// its own time.
	KeyTime time.Time
	Request RequestHash
	// Deduplicates states that all upstreams that this request may be sent to
	// run a key at most once between them: the same key sent to two of them
	// runs once.
	Deduplicates bool
}

// keyTime returns the time when the key was made, truncated to milliseconds.
func (e KeyedRequest) keyTime() (time.Time, error) {
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

// checkKeyTime rejects keys that are older than the horizon or too far in the
// future. The failure does not say whether the request ran, since another
// node's clock may have let an earlier attempt pass.
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
