package weightstore

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
)

// Loads is an engine's account with a weight store while it loads.
type Loads struct {
	uri string
}

// NewLoads makes the account of an engine with the store at address; with no
// address, the engine loads alone.
func NewLoads(address, engine string) Loads {
	if address == "" {
		return Loads{}
	}
	return Loads{uri: "http://" + address + pathLoads + "?" + url.Values{"Engine": {engine}}.Encode()}
}

// Count says that the engine loads and gives how many engines do. A store
// that can't be reached counts as this engine alone.
func (l Loads) Count(timeout time.Duration) int {
	if l.uri == "" {
		return 1
	}
	return max(1, l.call(fasthttp.MethodPut, timeout))
}

// End says that the engine no longer loads.
func (l Loads) End() {
	if l.uri != "" {
		l.call(fasthttp.MethodDelete, time.Second)
	}
}

func (l Loads) call(method string, timeout time.Duration) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(l.uri)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return 0
	}
	var answer LoadsAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0
	}
	return answer.Loading
}
