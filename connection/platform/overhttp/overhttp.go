// Package overhttp implements the interfaces of package platform over HTTP/1.1 with
// JSON: the log service, the VM list and the weight store. Each method sends exactly
// one request.
package overhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp/exchange"
)

// Config configures the calls to one service of the platform. Zero fields take the
// defaults.
type Config = exchange.Config

// Paths of the platform's services.
const (
	PathAppend   = "/append"   // POST the record's body, with ?Stream=; answers AppendAnswer
	PathRead     = "/read"     // GET ReadAnswer, with ?Stream=&From=&Limit=&WaitMillis=
	PathVMs      = "/vms"      // GET []platform.VM
	PathVersions = "/versions" // GET VersionsAnswer, with ?Model=
)

// AppendAnswer holds the offset of an appended record.
type AppendAnswer struct {
	Offset platform.Offset
}

// ReadAnswer holds a page. If the requested offset was trimmed, the page has no records
// and First is the oldest offset that is kept.
type ReadAnswer struct {
	Page    platform.Page
	Trimmed bool // the requested offset is no longer kept
}

// VersionsAnswer holds the weights versions of a model.
type VersionsAnswer struct {
	Versions []string
}

// HeaderNoEffect marks an error answer to a call that had no effect. An error status
// without this field does not state whether the call had an effect.
const HeaderNoEffect = "Dunlinmill-No-Effect"

// Log is an HTTP client of the log service.
type Log struct{ client *exchange.Client }

// VMList is an HTTP client of the VM list.
type VMList struct{ client *exchange.Client }

// WeightStore is an HTTP client of the weight store.
type WeightStore struct{ client *exchange.Client }

var (
	_ platform.Log         = (*Log)(nil)
	_ platform.VMList      = (*VMList)(nil)
	_ platform.WeightStore = (*WeightStore)(nil)
)

// NewLog returns a client of the log service at address, an IP:port.
func NewLog(address string, cfg Config) *Log { return &Log{exchange.New(address, cfg)} }

// NewVMList returns a client of the VM list at address, an IP:port.
func NewVMList(address string, cfg Config) *VMList { return &VMList{exchange.New(address, cfg)} }

// NewWeightStore returns a client of the weight store at address, an IP:port.
func NewWeightStore(address string, cfg Config) *WeightStore {
	return &WeightStore{exchange.New(address, cfg)}
}

// Close closes the idle connections.
func (l *Log) Close() { l.client.Close() }

// Close closes the idle connections.
func (v *VMList) Close() { v.client.Close() }

// Close closes the idle connections.
func (w *WeightStore) Close() { w.client.Close() }

// Append adds a record to a stream. An error is ErrOutcomeUnknown unless no byte was
// sent or the service answered that the call had no effect.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	var answer AppendAnswer
	path := PathAppend + "?" + url.Values{"Stream": {stream}}.Encode()
	if err := call(ctx, l.client, fasthttp.MethodPost, path, body, &answer); err != nil {
		return 0, fmt.Errorf("append to %q: %w", stream, err)
	}
	return answer.Offset, nil
}

// Read returns a page of a stream. A read has no effect, so that every failure except
// ErrTrimmed is ErrUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	var answer ReadAnswer
	query := url.Values{
		"Stream":     {stream},
		"From":       {fmt.Sprint(uint64(from))},
		"Limit":      {fmt.Sprint(limit)},
		"WaitMillis": {fmt.Sprint(wait.Milliseconds())},
	}
	if err := get(ctx, l.client, PathRead+"?"+query.Encode(), &answer); err != nil {
		return platform.Page{}, fmt.Errorf("read %q from %d: %w", stream, from, err)
	}
	if answer.Trimmed {
		return answer.Page, fmt.Errorf("read %q from %d: %w", stream, from, platform.ErrTrimmed)
	}
	return answer.Page, nil
}

// VMs returns the VM list.
func (v *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	if err := get(ctx, v.client, PathVMs, &vms); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return vms, nil
}

// Versions returns the weights versions of a model.
func (w *WeightStore) Versions(ctx context.Context, model string) ([]string, error) {
	var answer VersionsAnswer
	if err := get(ctx, w.client, PathVersions+"?"+url.Values{"Model": {model}}.Encode(), &answer); err != nil {
		return nil, fmt.Errorf("versions of %q: %w", model, err)
	}
	return answer.Versions, nil
}

// get makes a call that has no effect on the service. It therefore returns
// ErrUnavailable instead of ErrOutcomeUnknown.
func get(ctx context.Context, c *exchange.Client, path string, out any) error {
	err := call(ctx, c, fasthttp.MethodGet, path, nil, out)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	return err
}

func call(ctx context.Context, c *exchange.Client, method, path string, body []byte, out any) error {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Address() + path)
	if body != nil {
		req.SetBodyRaw(body)
	}
	err := c.Do(ctx, &req, &resp)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	case resp.StatusCode() != fasthttp.StatusOK && len(resp.Header.Peek(HeaderNoEffect)) > 0:
		return fmt.Errorf("%w: status %d: %s", platform.ErrUnavailable, resp.StatusCode(), resp.Body())
	case resp.StatusCode() != fasthttp.StatusOK:
		return fmt.Errorf("%w: status %d", platform.ErrOutcomeUnknown, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w: answer: %w", platform.ErrOutcomeUnknown, err)
	}
	return nil
}
