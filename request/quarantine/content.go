// Package quarantine detects requests that make the upstream processes running
// them end, and stops sending such requests. The cause may be a request as a whole or
// one part of its prompt, which other requests have too. The end of an upstream process
// interrupts all requests that run there, so a single end does not show what
// caused it. What was running at several ends, and never received
// a complete answer, is held.
package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Digest identifies a request by its content: its destination, its owner and its
// body. Attempts of the same request have the same Digest. The request id is not
// part of it, because callers retry under new ids. The zero value stands for no
// request. A part of a prompt also has a Digest.
type Digest uint64

// DigestOf returns the digest of the parts, in their order.
func DigestOf(parts ...[]byte) Digest {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, p := range parts {
		// With a length prefix, the end of one part can't be read as the beginning of the
		// next.
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = d.Write(length[:]) // never fails
		_, _ = d.Write(p)
	}
	return Digest(max(1, d.Sum64()))
}

// String returns the digest in hexadecimal, as written to the log.
func (c Digest) String() string { return strconv.FormatUint(uint64(c), 16) }

// Content is what of a request may be the cause of the end of an upstream's process.
type Content struct {
	Request   Digest
	Workspace string
	Parts     []Part // of the prompt, first to last, without the one that no other request has
}

// Part is a part of a prompt, wherever it stands in it.
type Part struct {
	Digest Digest
	ID     string // as stated by the caller; empty: the part has no ID
}

// MaxParts bounds the parts of one prompt that are looked at.
const MaxParts = 32

// NewPart returns the part with an ID.
func NewPart(id string) Part { return Part{Digest: DigestOf([]byte("part"), []byte(id)), ID: id} }

// NewTextPart returns the part with a text, sent under a role.
func NewTextPart(role, text string) Part {
	return Part{Digest: DigestOf([]byte("text"), []byte(role), []byte(text))}
}

// suspect is a request or a part of its prompt.
type suspect struct {
	Part
	level int // 0: the request; n: the nth part of its prompt
}

// suspects returns the request and its parts.
func (c Content) suspects() []suspect {
	return append([]suspect{{Part: Part{Digest: c.Request}}}, c.partSuspects()...)
}

func (c Content) partSuspects() []suspect {
	return lo.Map(c.Parts[:min(len(c.Parts), MaxParts)], func(p Part, i int) suspect { return suspect{Part: p, level: i + 1} })
}

//go:generate go tool stringer -type=Grain -output=grain_string.go

// Grain says what an entry of the quarantine stands for.
type Grain uint8

const (
	// Request: a request as a whole.
	Request Grain = iota
	// PromptPart: a part of a prompt.
	PromptPart
)
