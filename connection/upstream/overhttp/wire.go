package overhttp

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Paths of an engine's HTTP API.
const (
	PathGenerate = "/generate" // POST upstream.Generation; answers a stream
	PathResume   = "/resume"   // POST ResumeRequest; answers a stream
	PathCancel   = "/cancel"   // POST CancelRequest
	PathReport   = "/report"   // GET upstream.Report
	PathEvents   = "/events"   // GET upstream.CacheEvents, with ?From=
	PathOrder    = "/order"    // POST upstream.Order
	PathExport   = "/export"   // POST upstream.Generation; answers opaque bytes
	PathImport   = "/import"   // POST opaque bytes
)

// HeaderIdempotencyKey is the header field with the idempotency key of a call to a
// plain service.
const HeaderIdempotencyKey = "Idempotency-Key"

// Names of the server-sent events of a stream: one head, the tokens and one end. Each
// event has the fields id, event and data, in this order. AppendEventID formats the ID.
// The ID contains the stream's ID, so that an event of another stream is detected. It
// is separate from the data, so that it can be compared without decoding the data.
const (
	EventHead  = "Head"  // data: upstream.Head
	EventToken = "Token" // data: TokenEvent
	EventEnd   = "End"   // data: EndEvent
)

// TokenEvent is the data of a token's event.
type TokenEvent struct {
	Text   string
	Finish string `json:",omitempty"`
}

// EndEvent is the data of the event after the last token. The index in its ID is one
// more than that of the last token.
type EndEvent struct {
	Tokens int // index of the last token plus one
}

// AppendEventID appends the ID of an event of a stream to dst.
func AppendEventID(dst []byte, streamID string, index int) []byte {
	dst = append(dst, streamID...)
	dst = append(dst, ' ')
	return strconv.AppendInt(dst, int64(index), 10)
}

// ResumeRequest is the body of a request for the rest of a stream.
type ResumeRequest struct {
	StreamID string
	After    int // index of the last token received; -1 for none
}

// CancelRequest is the body of a request to stop a stream.
type CancelRequest struct {
	StreamID string
}

// Codes of a Refusal.
const (
	CodeNotRun        = "NotRun"
	CodeBusy          = "Busy"
	CodeWrongVersion  = "WrongVersion"
	CodeUnknownStream = "UnknownStream"
	CodeStaleFencing  = "StaleFencing"
)

// Refusal is the body of an answer that states that the upstream did not run the
// request. An error status without it does not state whether the request ran.
type Refusal struct {
	Code    string
	Message string
}

// HeaderRefusal marks an answer whose body is a Refusal, so that the error body of a
// plain service is not mistaken for one.
const HeaderRefusal = "Dunlinmill-Refusal"

// BlockTokens is the number of tokens of a cache block.
const BlockTokens = 64

// BlockBytes is the number of bytes of prompt text that count as one cache block, at
// four bytes per token.
const BlockBytes = BlockTokens * 4

// PromptText returns the text of a generation in the form that an engine caches.
func PromptText(g upstream.Generation) []byte {
	var text []byte
	for _, p := range g.Prompt {
		text = append(text, p.Role...)
		text = append(text, 0)
		text = append(text, p.Content...)
		text = append(text, 0)
	}
	return append(text, g.Continue...)
}

// BlockHashes returns the hash of every complete cache block of a generation, in order.
// CacheEvent.Block contains these hashes. Each hash covers the salt, the model, the
// adapter and all text up to the end of the block.
func BlockHashes(g upstream.Generation) []uint64 {
	return hashBlocks(g, PromptText(g))
}

func hashBlocks(g upstream.Generation, text []byte) []uint64 {
	h := xxhash.Sum64String(g.Salt + "\x00" + g.Model + "\x00" + g.Adapter)
	blocks := make([]uint64, 0, len(text)/BlockBytes)
	var buf [8 + BlockBytes]byte
	for len(text) >= BlockBytes {
		binary.LittleEndian.PutUint64(buf[:8], h)
		copy(buf[8:], text[:BlockBytes])
		h = xxhash.Sum64(buf[:])
		blocks = append(blocks, h)
		text = text[BlockBytes:]
	}
	return blocks
}
