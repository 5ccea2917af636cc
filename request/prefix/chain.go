package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLevels bounds the levels of one chain, and with them the memory and the table
	// look-ups for one request, however long its prompt is.
	MaxLevels = 32
	// TailLevels is how many of the MaxLevels levels are reserved for the last message
	// boundaries of a long conversation, so that its next turn shares the last level
	// of this one.
	TailLevels = 4
	// FirstBlockBytes is the offset of the first block boundary inside a message.
	FirstBlockBytes = 512
	// BytesPerToken is the estimated length of a token.
	BytesPerToken = 4
)

// boundaryMark distinguishes the level at the end of a message from that of a block
// boundary at the same offset: the first is followed by a new message, the second by
// more of the same message.
const boundaryMark = 0x9e3779b97f4a7c15

// FromMessages returns the chain of a prompt. There is a level at the end of each
// message and, inside a long message, at block boundaries, each at one and a half
// times the offset of the one before. Whether there is a level at some offset depends
// only on the text before it, so that prompts with a common prefix have common levels.
// Beyond MaxLevels-TailLevels levels, only the last message boundaries are kept. The
// last level is always the whole prompt.
//
// The hash is fast and not resistant to forgery: a level decides where a request goes,
// never what an engine may reuse. Salt protects that.
func FromMessages(id Identity, msgs []Message) Chain {
	b := chainBuilder{
		chain: make(Chain, 0, min(MaxLevels, 2*len(msgs)+TailLevels)),
		hash:  identityHash(id),
	}
	for _, m := range msgs {
		b.add(m)
	}
	return b.finish()
}

// chainBuilder processes a prompt message by message.
type chainBuilder struct {
	chain      Chain
	tail       [TailLevels]Level // ring buffer of the last message boundaries after the first levels
	boundaries int               // message boundaries written to tail
	hash       uint64            // of all text up to the end of the last message
	bytes      int               // length of all content up to there
}

func (b *chainBuilder) add(m Message) {
	var digest xxhash.Digest
	digest.ResetWithSeed(b.hash)
	writeField(&digest, m.Role)
	offset := 0
	for boundary := FirstBlockBytes; boundary <= len(m.Content) && b.hasHeadRoom(); boundary += boundary / 2 {
		_, _ = digest.WriteString(m.Content[offset:boundary])
		offset = boundary
		b.chain = append(b.chain, Level{ID: digest.Sum64(), Tokens: estimateTokens(b.bytes + offset)})
	}
	_, _ = digest.WriteString(m.Content[offset:])
	b.hash = digest.Sum64() ^ boundaryMark
	b.bytes += len(m.Content)
	b.addBoundary(Level{ID: b.hash, Tokens: estimateTokens(b.bytes)})
}

func (b *chainBuilder) hasHeadRoom() bool { return len(b.chain) < MaxLevels-TailLevels }

func (b *chainBuilder) addBoundary(l Level) {
	if b.hasHeadRoom() {
		b.chain = append(b.chain, l)
		return
	}
	b.tail[b.boundaries%TailLevels] = l
	b.boundaries++
}

func (b *chainBuilder) finish() Chain {
	for i := max(0, b.boundaries-TailLevels); i < b.boundaries; i++ {
		b.chain = append(b.chain, b.tail[i%TailLevels])
	}
	return b.chain
}

func identityHash(id Identity) uint64 {
	d := xxhash.New()
	writeField(d, id.Workspace)
	writeField(d, id.Model)
	writeField(d, id.Adapter)
	return d.Sum64()
}

// writeField writes the length before the text, so that no two different lists of
// fields produce the same bytes.
func writeField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

func estimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
