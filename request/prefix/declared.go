package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that the caller declares instead of sending its text: two
// prompts with equal parts up to some point have equal text up to there.
type Part struct {
	ID     string
	Tokens int
}

// FromParts returns the chain of a prompt that the caller declares. There is a level
// at the end of each part. Of more than MaxLevels parts, the first ones and the whole
// prompt are kept. A caller that makes a false declaration lowers only its own hit
// rate: the engines use the same declaration, under the salt of the caller's identity.
func FromParts(id Identity, parts []Part) Chain {
	chain := make(Chain, 0, min(MaxLevels, len(parts)))
	hash := identityHash(id)
	tokens := 0
	for i, p := range parts {
		hash = partHash(hash, p)
		tokens += p.Tokens
		if len(chain) < MaxLevels-1 || i == len(parts)-1 {
			chain = append(chain, Level{ID: hash, Tokens: tokens})
		}
	}
	return chain
}

// SharedLevels returns the levels of a declared prompt that other requests have too:
// all except the last, which covers the question of this request.
func (c Chain) SharedLevels() Chain {
	if len(c) < 2 {
		return c
	}
	return c[:len(c)-1]
}

func partHash(parent uint64, p Part) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(parent)
	writeField(&d, p.ID)
	var tokens [8]byte
	binary.LittleEndian.PutUint64(tokens[:], uint64(p.Tokens))
	_, _ = d.Write(tokens[:])
	return d.Sum64()
}
