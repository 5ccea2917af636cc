package completion

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Why a prefix is not carried from one engine to another.
var (
	errSourceLeft   = errors.New("the source serves this group no longer")
	errOtherWeights = errors.New("the two engines are not known to hold the same accepted weights")
	errManyImports  = errors.New("too many imports under way")
	errResting      = errors.New("an import failed there lately")
	errOversized    = errors.New("oversized export")
	errNotHeld      = errors.New("the source holds nothing of the prefix")
)

const (
	// importsPerEngine bounds the imports of this node that one engine takes
	// part in, at either end. More would only wait for each other.
	importsPerEngine = 2
	// importsPerNode bounds them over all engines: each holds its bytes.
	importsPerNode = 8
	// importRest is how long an engine is left out after a failed import, or
	// each request to a broken one would wait for another timeout.
	importRest = 5 * time.Second
)

// importPrefix has the decided engine import what the decision expects it to.
// Whatever goes wrong, the engine computes the prefix as ever and the caller
// sees no error; that is safe as an import changes nothing but a cache.
func (s *start) importPrefix(ctx context.Context, d placement.Decision, u config.Upstream) {
	began := time.Now()
	size, err := s.carry(ctx, began, d, u)
	s.rt.Observer.Imported(s.r, err)
	fields := []zap.Field{zap.String("Request", s.r.ID), zap.String("Upstream", u.Name),
		zap.String("Source", d.Source), zap.Duration("Took", time.Since(began))}
	if err != nil {
		event.Info(s.rt.Log, event.PrefixNotImported, append(fields, zap.Error(err))...)
		return
	}
	event.Info(s.rt.Log, event.PrefixImported, append(fields, zap.Int("Bytes", size))...)
}

// carry exports from the source and imports into u, and gives the bytes.
func (s *start) carry(ctx context.Context, now time.Time, d placement.Decision, u config.Upstream) (int, error) {
	from, ok := s.rt.View.Catalogue().Config().Upstreams[d.Source]
	if !ok || !lo.Contains(s.target.list.Names, d.Source) {
		return 0, errSourceLeft
	}
	version, err := s.sharedVersion(from, u)
	if err != nil {
		return 0, err
	}
	t := &s.rt.transfers
	if err := t.begin(now, from.Name, u.Name); err != nil {
		return 0, err
	}
	defer t.end(from.Name, u.Name)
	limited, cancel := context.WithTimeout(ctx, min(s.rt.Config.ImportTimeout, s.patience(now)))
	defer cancel()
	kv, err := s.rt.Upstreams.Engine(from).Export(limited, s.generation(version))
	if err == nil && len(kv) > s.rt.Config.MaxImportBytes {
		err = fmt.Errorf("%w: %d bytes", errOversized, len(kv))
	}
	if err != nil {
		t.failed(ctx, now, from.Name)
		return 0, fmt.Errorf("export: %w", err)
	}
	if len(kv) == 0 {
		return 0, errNotHeld
	}
	if err := s.rt.Upstreams.Engine(u).Import(limited, kv); err != nil {
		t.failed(ctx, now, u.Name)
		return 0, fmt.Errorf("import: %w", err)
	}
	return len(kv), nil
}

// sourceAddress is where the decided engine fetches the prefix from by itself;
// empty if the source has left. The engine looks under the salt of the
// request, which is made of the weights version, so that blocks of other
// weights are not found there.
func (s *start) sourceAddress(source string, u config.Upstream) string {
	from, ok := s.rt.View.Catalogue().Config().Upstreams[source]
	if !ok || from.Name == u.Name || from.Kind != config.CacheStore && !lo.Contains(s.target.list.Names, source) {
		return ""
	}
	return from.Address
}

// sharedVersion is the accepted weights version that both engines have told
// that they hold. Blocks of other weights would make the answer wrong without
// anyone seeing it. If one of the two changes its weights in between, the
// export is refused, as it names the version, or the blocks lie under a salt
// that no request with the new weights bears: the salt is made of the
// workspace and the version, and is the same for the export as for the send.
func (s *start) sharedVersion(from, to config.Upstream) (string, error) {
	version := s.rt.Upstreams.Version(to.Name, s.r.Model)
	if version == "" || !s.model().Accepts(version) || s.rt.Upstreams.Version(from.Name, s.r.Model) != version {
		return "", errOtherWeights
	}
	return version, nil
}

// transfers bounds the imports under way. The zero value is ready.
type transfers struct {
	mu      sync.Mutex
	total   int
	running map[string]int       // by engine
	resting map[string]time.Time // until when, by engine
}

func (t *transfers) begin(now time.Time, names ...string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.resting, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, name := range names {
		if _, ok := t.resting[name]; ok {
			return fmt.Errorf("%s: %w", name, errResting)
		}
		if t.running[name] >= importsPerEngine || t.total >= importsPerNode {
			return fmt.Errorf("%s: %w", name, errManyImports)
		}
	}
	if t.running == nil {
		t.running = map[string]int{}
	}
	t.total++
	for _, name := range names {
		t.running[name]++
	}
	return nil
}

func (t *transfers) end(names ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	for _, name := range names {
		if t.running[name]--; t.running[name] == 0 {
			delete(t.running, name)
		}
	}
}

// failed leaves an engine out for a while, unless it was the caller that went
// away.
func (t *transfers) failed(ctx context.Context, now time.Time, name string) {
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resting == nil {
		t.resting = map[string]time.Time{}
	}
	t.resting[name] = now.Add(importRest)
}
