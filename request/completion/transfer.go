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

// Reasons for not importing a prefix.
var (
	errSourceGone      = errors.New("the source engine no longer serves this pool and model")
	errOtherWeights    = errors.New("source and target are not known to hold the same accepted weights version")
	errOtherSoftware   = errors.New("source and target have other software versions")
	errTooManyImports  = errors.New("too many concurrent imports")
	errCoolingDown     = errors.New("left out after a recent failed import")
	errExportTooLarge  = errors.New("export exceeds the size limit")
	errPrefixNotCached = errors.New("the source has nothing of the prefix cached")
)

const (
	// importsPerEngine bounds this node's concurrent imports that one engine takes
	// part in as source or target. Further imports would only wait for each other.
	importsPerEngine = 2
	// importsPerNode bounds the imports over all engines: each holds its bytes in
	// memory.
	importsPerNode = 8
	// importCooldown is how long an engine is left out after a failed import.
	// Otherwise each request to a broken engine would wait for another timeout.
	importCooldown = 5 * time.Second
)

// importPrefix makes the chosen engine import the prefix that the placement decision
// expects. If the import fails, the engine computes the prefix and the caller sees no
// error. This is safe because an import changes nothing but a cache.
func (s *requestState) importPrefix(ctx context.Context, d placement.Decision, u config.Upstream) {
	startedAt := time.Now()
	size, err := s.transferPrefix(ctx, startedAt, d, u)
	s.rt.Observer.Imported(s.r, err)
	fields := []zap.Field{zap.String("Request", s.r.ID), zap.String("Upstream", u.Name),
		zap.String("Source", d.Source), zap.Duration("Took", time.Since(startedAt))}
	if err != nil {
		event.Info(s.rt.Log, event.PrefixNotImported, append(fields, zap.Error(err))...)
		return
	}
	event.Info(s.rt.Log, event.PrefixImported, append(fields, zap.Int("Bytes", size))...)
}

// transferPrefix exports from the source, imports into u, and returns the size in bytes.
func (s *requestState) transferPrefix(ctx context.Context, now time.Time, d placement.Decision, u config.Upstream) (int, error) {
	source, ok := s.rt.View.Catalogue().Config().Upstreams[d.Source]
	if !ok || !lo.Contains(s.target.list.Names, d.Source) {
		return 0, errSourceGone
	}
	version, err := s.commonVersion(source, u)
	if err != nil {
		return 0, err
	}
	t := &s.rt.transfers
	if err := t.begin(now, source.Name, u.Name); err != nil {
		return 0, err
	}
	defer t.end(source.Name, u.Name)
	importCtx, cancel := context.WithTimeout(ctx, min(s.rt.Config.ImportTimeout, s.firstTokenTimeout(now)))
	defer cancel()
	kv, err := s.rt.Upstreams.Engine(source).Export(importCtx, s.generation(u, version))
	if err == nil && len(kv) > s.rt.Config.MaxImportBytes {
		err = fmt.Errorf("%w: %d bytes", errExportTooLarge, len(kv))
	}
	if err != nil {
		t.recordFailure(ctx, now, source.Name)
		return 0, fmt.Errorf("export: %w", err)
	}
	if len(kv) == 0 {
		return 0, errPrefixNotCached
	}
	if err := s.rt.Upstreams.Engine(u).Import(importCtx, kv); err != nil {
		t.recordFailure(ctx, now, u.Name)
		return 0, fmt.Errorf("import: %w", err)
	}
	return len(kv), nil
}

// sourceAddress returns the address that the chosen engine itself fetches the prefix
// from; empty if the source is gone. The engine looks up the salt of the request,
// which depends on the versions of weights and software, so that it does not find blocks
// of others.
func (s *requestState) sourceAddress(source string, u config.Upstream) string {
	sourceUpstream, ok := s.rt.View.Catalogue().Config().Upstreams[source]
	if !ok || sourceUpstream.Name == u.Name || sourceUpstream.Kind != config.CacheStore && !lo.Contains(s.target.list.Names, source) {
		return ""
	}
	return sourceUpstream.Address
}

// commonVersion returns the accepted weights version that both engines report to hold,
// if they have the same software.
// Blocks of other weights would make the answer wrong without anyone noticing. If
// one engine changes its weights in between, either the export is refused, as it
// names the version, or the blocks are stored under a salt that no request for the
// new weights has. The salt depends on the workspace and the version, and is the same
// for the export and the send.
func (s *requestState) commonVersion(source, target config.Upstream) (string, error) {
	version := s.rt.Upstreams.Version(target.Name, s.r.Model)
	if source.Software != target.Software {
		return "", errOtherSoftware
	}
	if version == "" || !s.model().Accepts(version) || s.rt.Upstreams.Version(source.Name, s.r.Model) != version {
		return "", errOtherWeights
	}
	return version, nil
}

// transfers bounds the concurrent imports. The zero value is ready to use.
type transfers struct {
	mu            sync.Mutex
	total         int
	running       map[string]int       // by engine
	cooldownUntil map[string]time.Time // end of the cooldown, by engine
}

func (t *transfers) begin(now time.Time, names ...string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.cooldownUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, name := range names {
		if _, ok := t.cooldownUntil[name]; ok {
			return fmt.Errorf("%s: %w", name, errCoolingDown)
		}
		if t.running[name] >= importsPerEngine || t.total >= importsPerNode {
			return fmt.Errorf("%s: %w", name, errTooManyImports)
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

// recordFailure leaves an engine out for importCooldown, unless the caller went away.
func (t *transfers) recordFailure(ctx context.Context, now time.Time, name string) {
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cooldownUntil == nil {
		t.cooldownUntil = map[string]time.Time{}
	}
	t.cooldownUntil[name] = now.Add(importCooldown)
}
