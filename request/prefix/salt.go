package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// saltBytes of the digest are enough that no two identities ever meet.
const saltBytes = 16

// Salt gives the text under which an engine keeps its cached blocks apart:
// prompts with different salts share none, even with equal text. The
// placement alone can't promise that, as it only chooses the engine. The
// hash withstands forgery, so that no workspace can be named to get the
// blocks of another.
func Salt(id Identity, version string) string {
	h := sha256.New()
	for _, s := range []string{id.Workspace, id.Model, id.Adapter, version} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:])
		h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil)[:saltBytes])
}
