package listener

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// JSON answers with status and v encoded as JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(Marshal(v))
}

// Marshal encodes a stand-in's own type as JSON. It panics if v can't be encoded,
// which doesn't happen for these types.
func Marshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}

// Decode decodes the JSON body of the request into v. If that fails, it answers
// with status 400 and reports false.
func Decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("malformed body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// DecodeStrict is Decode for requests that control a stand-in. It also rejects
// fields that v doesn't have: with a misspelt fault, the stand-in would work
// without the fault and the test would pass.
func DecodeStrict(ctx *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		ctx.Error("malformed body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// CloseWithoutAnswer closes the connection without an answer, after the request was
// read.
func CloseWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

// Truncate answers with the first half of body, but with the length of the whole
// body in the header, and closes the connection.
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

// Counter counts by key, for at most maxKeys keys. Further keys are counted
// together under OtherKeys.
type Counter struct {
	mu     sync.Mutex
	counts map[string]int
}

// OtherKeys is the key of all keys beyond the bound.
const OtherKeys = "(others)"

// maxKeys bounds the keys of a Counter, without OtherKeys.
const maxKeys = 1 << 20

// Add increments the count of key and returns the new count.
func (c *Counter) Add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	if _, ok := c.counts[key]; !ok && len(c.counts) >= maxKeys {
		key = OtherKeys
	}
	c.counts[key]++
	return c.counts[key]
}

// Counts returns a copy of the counts by key.
func (c *Counter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		all[k] = n
	}
	return all
}

// Paths for a test to control a stand-in.
const (
	PathFault    = "/fault"    // POST the Fault of the stand-in's package
	PathCounters = "/counters" // GET the Counters of the stand-in's package
)
