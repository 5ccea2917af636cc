package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
)

// ErrInvalid means that a configuration says something impossible.
var ErrInvalid = errors.New("config: invalid")

var hexSHA256 = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check gives all faults of a configuration at once, each with its place; nil
// if there are none.
func (c Config) Check() error { return errors.Join(c.Faults()...) }

// Faults gives the same one by one.
func (c Config) Faults() []error {
	var faults []error
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Errorf(format+": %w", append(args, ErrInvalid)...))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		if c.Models[name].Version == "" {
			fault("Models.%s.Version: empty; the weights version in force", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		c.checkUpstream(c.Upstreams[name], fault)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		c.checkWorkspace(c.Workspaces[name], fault)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		checkKeys("Operators."+name+".Tokens", c.Operators[name].Tokens, fault)
	}
	return faults
}

type faulter func(format string, args ...any)

func (c Config) checkUpstream(u Upstream, fault faulter) {
	at := "Upstreams." + u.Name
	if u.Name == "" {
		fault("Upstreams: one without a Name")
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		fault("%s.Address: %q; an IP number and port", at, u.Address)
	}
	if u.Pool == "" && u.Kind == Engine {
		fault("%s.Pool: empty; the pool that workspaces' shares name", at)
	}
	if u.Kind == Service && u.Service == "" {
		fault("%s.Service: empty; the name under which callers reach it", at)
	}
	if u.Kind == Engine && len(u.Models) == 0 {
		fault("%s.Models: empty; the models it serves", at)
	}
	for _, m := range u.Models {
		if _, ok := c.Models[m]; !ok {
			fault("%s.Models: %q is not in Models", at, m)
		}
	}
	if u.Slots < 0 || u.PrefillRate < 0 {
		fault("%s: Slots %d and PrefillRate %g; 0 or more", at, u.Slots, u.PrefillRate)
	}
}

func (c Config) checkWorkspace(w Workspace, fault faulter) {
	at := "Workspaces." + w.Name
	if w.Name == "" {
		fault("Workspaces: one without a Name")
	}
	sum := 0
	for _, s := range w.Shares {
		if s.Percent < 0 || !c.hasPool(s.Pool) {
			fault("%s.Shares: %d%% to %q; 0 to 100 to a pool that has upstreams", at, s.Percent, s.Pool)
		}
		sum += s.Percent
	}
	if len(w.Shares) > 0 && sum != 100 {
		fault("%s.Shares: %d%% together; 100", at, sum)
	}
	if w.Weight < 0 || w.Limit.RequestsPerSecond < 0 || w.Limit.InFlight < 0 {
		fault("%s: Weight and Limit; 0 or more", at)
	}
	checkKeys(at+".Keys", w.Keys, fault)
}

func (c Config) hasPool(pool string) bool {
	for _, u := range c.Upstreams {
		if u.Pool == pool {
			return true
		}
	}
	return false
}

func checkKeys(at string, keys []Key, fault faulter) {
	for _, k := range keys {
		if k.ID == "" || !hexSHA256.MatchString(k.Hash) {
			fault("%s: ID %q, Hash %q; a name and a SHA-256 in 64 lower-case hex digits", at, k.ID, k.Hash)
		}
	}
}
