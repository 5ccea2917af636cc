package completion

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// cacheSource is what has to be the same for two engines to use each other's caches.
type cacheSource struct {
	version  string // of the weights
	software string // version
}

// cacheSourceOf returns what the named engine is known to have.
func (s *requestState) cacheSourceOf(name string) cacheSource {
	return cacheSource{
		version:  s.rt.Upstreams.Version(name, s.r.Model),
		software: s.rt.View.Catalogue().Config().Upstreams[name].Software,
	}
}

// applyCacheReports passes to the policy what the engines report about the
// cached parts of the prompt. It returns the salts under which the engines
// look the prompt up.
func (s *requestState) applyCacheReports(now time.Time, p placement.Policy) map[cacheSource]string {
	if s.rt.CacheContents == nil || len(s.r.DeclaredParts) == 0 {
		return nil
	}
	salts := map[cacheSource]string{} // small: engines hold few versions
	saltFor := func(upstream string) string {
		c := s.cacheSourceOf(upstream)
		if _, ok := salts[c]; !ok {
			salts[c] = prefix.Salt(s.r.identity(), c.version, c.software)
		}
		return salts[c]
	}
	for _, h := range s.rt.CacheContents.LevelStates(now, saltFor, s.r.DeclaredParts, s.chain) {
		p.RecordCacheEvent(now, h.Upstream, h.Event)
	}
	return salts
}

// storedPrefixes returns what the cache stores report to hold of the prompt.
func (s *requestState) storedPrefixes(now time.Time, salts map[cacheSource]string) []placement.StoredPrefix {
	var all []placement.StoredPrefix
	for _, store := range s.stores() {
		for c, salt := range salts {
			if tokens := s.rt.CacheContents.HeldTokens(now, store.Name, salt, s.r.DeclaredParts, s.chain); tokens > 0 {
				all = append(all, placement.StoredPrefix{Store: store.Name, DataCentre: store.DataCentre, Version: c.version, Software: c.software, Tokens: tokens})
			}
		}
	}
	return all
}

func (s *requestState) stores() []config.Upstream {
	if s.rt.CacheStores == nil {
		return nil
	}
	return s.rt.CacheStores.Stores()
}

// minSharedFraction is the smallest part of a prompt that must be shared with
// other requests and computed here for the first time before the prompt is saved
// to a cache store. The rest of the prompt is saved too: token for token it takes
// as much space and bandwidth, and it is never requested again.
const minSharedFraction = 0.15

// storeAddress returns the address of the cache store that the engine saves the
// prompt's cache to, preferably in the engine's data centre; empty if the cache is
// not to be saved. What some engine already holds can be fetched from that engine.
// What no engine holds is requested again soon, when the engine that computes it
// may have evicted it, crashed or loaded new weights.
func (s *requestState) storeAddress(d placement.Decision, u config.Upstream) string {
	if float64(d.UncachedSharedTokens) < minSharedFraction*float64(s.chain.Tokens()) {
		return ""
	}
	address := ""
	for _, store := range s.stores() {
		if address == "" || store.DataCentre == u.DataCentre {
			address = store.Address
		}
	}
	return address
}
