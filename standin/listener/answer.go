package listener

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// JSON answers with v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(Marshal(v))
}

// Marshal encodes one of the stand-ins' own types, which can always be
// encoded.
func Marshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}

// Decode reads the request's body into v, and answers 400 if it can't.
func Decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("malformed body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// DecodeKnown is Decode for what steers a stand-in: a name that v doesn't
// have is an error too, since a misspelt fault would leave the stand-in sound
// and its test green.
func DecodeKnown(ctx *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		ctx.Error("malformed body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Hang closes the connection without an answer, after the request was read.
func Hang(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

// Truncate answers with the first part of body under a length of all of it,
// and closes the connection.
func Truncate(ctx *fasthttp.RequestCtx, body []byte) {
	var resp fasthttp.Response
	resp.SetBody(body)
	whole := resp.String()
	part := whole[:len(whole)-(len(body)+1)/2]
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		c.Write([]byte(part)) //nolint:errcheck // the caller sees a cut answer either way
		c.Close()
	})
}

// Counter counts by key, for a bounded number of keys: beyond the bound,
// new keys are counted together under Others.
type Counter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Others is the key for what is beyond the bound.
const Others = "(others)"

// maxKeys bounds the keys of a Counter.
const maxKeys = 1 << 20

// Add counts one for key and gives its new count.
func (c *Counter) Add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	if _, ok := c.counts[key]; !ok && len(c.counts) >= maxKeys {
		key = Others
	}
	c.counts[key]++
	return c.counts[key]
}

// All gives a copy of the counts.
func (c *Counter) All() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		all[k] = n
	}
	return all
}

// Paths by which a test steers a stand-in.
const (
	PathFault    = "/fault"    // POST the package's Fault
	PathCounters = "/counters" // GET the package's Counters
)
