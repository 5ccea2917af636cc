package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// saltBytes is the length of the digest that is used, enough that no two identities
// collide.
const saltBytes = 16

// Salt returns the cache salt by which an engine separates its cached blocks: prompts
// with different salts share none, even with equal text. Placement alone cannot guarantee
// that, as it only chooses the engine. The hash is resistant to forgery, so that no
// workspace can be named such that it gets the blocks of another. version is that of the
// weights, software that of the engine's program; empty if it is not known.
func Salt(id Identity, version, software string) string {
	h := sha256.New()
	parts := []string{id.Workspace, id.Model, id.Adapter, version}
	if software != "" {
		parts = append(parts, software)
	}
	for _, s := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:])
		h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil)[:saltBytes])
}
