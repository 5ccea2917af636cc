package overhttp

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Paths of an engine.
const (
	PathGenerate = "/generate" // POST upstream.Generation, answers a stream
	PathResume   = "/resume"   // POST ResumeRequest, answers a stream
	PathCancel   = "/cancel"   // POST CancelRequest
	PathReport   = "/report"   // GET upstream.Report
	PathEvents   = "/events"   // GET upstream.CacheEvents, with ?From=
	PathOrder    = "/order"    // POST upstream.Order
	PathExport   = "/export"   // POST upstream.Generation, answers opaque bytes
	PathImport   = "/import"   // POST opaque bytes
)

// HeaderKey carries the idempotency key of a call to a plain service.
const HeaderKey = "Idempotency-Key"

// Names of the server-sent events of a stream: one head, the tokens, one end.
// Each event has the fields id, event and data, in this order. The id is by
// AppendEventID; it names the stream, so that an event of another stream
// is noticed, and it stands outside the data, so that it can be compared
// without being decoded.
const (
	EventHead  = "Head"  // data: upstream.Head
	EventToken = "Token" // data: TokenEvent
	EventEnd   = "End"   // data: EndEvent
)

// TokenEvent is the data of one token.
type TokenEvent struct {
	Text   string
	Finish string `json:",omitempty"`
}

// EndEvent is the mark after the last token. Its id is one past the last.
type EndEvent struct {
	Tokens int // index of the last token, plus one
}

// AppendEventID appends the id of a stream's event to dst.
func AppendEventID(dst []byte, streamID string, index int) []byte {
	dst = append(dst, streamID...)
	dst = append(dst, ' ')
	return strconv.AppendInt(dst, int64(index), 10)
}

// ResumeRequest asks for the rest of a stream.
type ResumeRequest struct {
	StreamID string
	After    int // index of the last token received; -1: none
}

// CancelRequest stops a stream.
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

// Refusal is the body of an answer by which an upstream says that it did not
// run the request. An error status without it says nothing of the kind.
type Refusal struct {
	Code    string
	Message string
}

// HeaderRefusal marks an answer whose body is a Refusal, so that an error
// body of a plain service is not taken for one.
const HeaderRefusal = "Dunlinmill-Refusal"

// BlockTokens is the length of a cache block.
const BlockTokens = 64

// BlockBytes is the text that counts as one cache block, at four bytes a
// token.
const BlockBytes = BlockTokens * 4

// PromptText is the text of a generation as an engine caches it.
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

// Blocks gives the hash of every full cache block of a generation, the first
// block first: CacheEvent.Block holds these. Each hash covers the salt, the
// model, the adapter and all text up to the block's end.
func Blocks(g upstream.Generation) []uint64 {
	return blocksOf(g, PromptText(g))
}

func blocksOf(g upstream.Generation, text []byte) []uint64 {
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
