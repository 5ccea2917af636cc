package weightstore

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
)

// LoadSession reports a load of weights by one engine to a weight store.
type LoadSession struct {
	uri string
}

// NewLoadSession returns a session for an engine with the store at address. With an
// empty address, no other engine is counted.
func NewLoadSession(address, engine string) LoadSession {
	if address == "" {
		return LoadSession{}
	}
	return LoadSession{uri: "http://" + address + pathLoads + "?" + url.Values{"Engine": {engine}}.Encode()}
}

// Heartbeat reports that the engine is loading and returns how many engines are. If
// the store can't be reached, it returns 1, for this engine.
func (l LoadSession) Heartbeat(timeout time.Duration) int {
	if l.uri == "" {
		return 1
	}
	return max(1, l.call(fasthttp.MethodPut, timeout))
}

// End reports that the engine is no longer loading.
func (l LoadSession) End() {
	if l.uri != "" {
		l.call(fasthttp.MethodDelete, time.Second)
	}
}

func (l LoadSession) call(method string, timeout time.Duration) int {
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
