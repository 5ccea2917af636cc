package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLevels bounds the levels of one chain, and with them the memory and
	// the table look-ups that one request costs, however long its prompt is.
	MaxLevels = 32
	// TailLevels of them are kept for the last message boundaries of a long
	// conversation, so that its next turn shares the level of this one.
	TailLevels = 4
	// FirstBlock is the first block boundary inside a message, in bytes.
	FirstBlock = 512
	// BytesPerToken is the length of a token, estimated.
	BytesPerToken = 4
)

// endMark keeps the level at a message's end apart from the level of a block
// boundary at the same place: after the one comes a new message, after the
// other more of the same.
const endMark = 0x9e3779b97f4a7c15

// FromMessages gives the chain of a prompt. There is a level at the end of
// each message and, inside a long message, at block boundaries that grow by
// half each time; whether there is one at some place depends on the text
// before it alone, so that prompts with a common opening have common levels.
// Past MaxLevels-TailLevels levels only the last message boundaries are
// kept. The last level is always the whole prompt.
//
// The hash is fast and not made to withstand forgery: a level decides where
// a request goes, never what an engine may reuse. Salt guards that.
func FromMessages(id Identity, msgs []Message) Chain {
	b := builder{
		chain: make(Chain, 0, min(MaxLevels, 2*len(msgs)+TailLevels)),
		hash:  identityHash(id),
	}
	for _, m := range msgs {
		b.add(m)
	}
	return b.finish()
}

// builder goes through a prompt message by message.
type builder struct {
	chain Chain
	tail  [TailLevels]Level // the last message boundaries past the head, a ring
	ends  int               // message boundaries written to tail
	hash  uint64            // of everything up to the last message's end
	bytes int               // of all content up to there
}

func (b *builder) add(m Message) {
	var d xxhash.Digest
	d.ResetWithSeed(b.hash)
	writeField(&d, m.Role)
	at := 0
	for next := FirstBlock; next <= len(m.Content) && b.headroom(); next += next / 2 {
		_, _ = d.WriteString(m.Content[at:next])
		at = next
		b.chain = append(b.chain, Level{ID: d.Sum64(), Tokens: tokens(b.bytes + at)})
	}
	_, _ = d.WriteString(m.Content[at:])
	b.hash = d.Sum64() ^ endMark
	b.bytes += len(m.Content)
	b.end(Level{ID: b.hash, Tokens: tokens(b.bytes)})
}

func (b *builder) headroom() bool { return len(b.chain) < MaxLevels-TailLevels }

func (b *builder) end(l Level) {
	if b.headroom() {
		b.chain = append(b.chain, l)
		return
	}
	b.tail[b.ends%TailLevels] = l
	b.ends++
}

func (b *builder) finish() Chain {
	for i := max(0, b.ends-TailLevels); i < b.ends; i++ {
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

// writeField writes the length before the text, so that no two lists of
// fields give the same bytes.
func writeField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

func tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
