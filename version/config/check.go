package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
)

// ErrInvalid means that a configuration holds an impossible value.
var ErrInvalid = errors.New("config: invalid")

var hexSHA256 = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check returns all faults of a configuration joined into one error, each with the
// path of the value; nil if there are none.
func (c Config) Check() error { return errors.Join(c.Faults()...) }

// Faults returns the faults that Check reports, one by one.
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
		checkKeyHashes("Operators."+name+".Tokens", c.Operators[name].Tokens, fault)
	}
	return faults
}

type faultFunc func(format string, args ...any)

func (c Config) checkUpstream(u Upstream, fault faultFunc) {
	path := "Upstreams." + u.Name
	if u.Name == "" {
		fault("Upstreams: one without a Name")
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		fault("%s.Address: %q; an IP number and port", path, u.Address)
	}
	if u.Pool == "" && u.Kind == Engine {
		fault("%s.Pool: empty; the pool that workspaces' shares name", path)
	}
	if u.Kind == Service && u.Service == "" {
		fault("%s.Service: empty; the name under which callers reach it", path)
	}
	if u.Kind == Engine && len(u.Models) == 0 {
		fault("%s.Models: empty; the models it serves", path)
	}
	for _, m := range u.Models {
		if _, ok := c.Models[m]; !ok {
			fault("%s.Models: %q is not in Models", path, m)
		}
	}
	if u.Slots < 0 || u.PrefillRate < 0 {
		fault("%s: Slots %d and PrefillRate %g; 0 or more", path, u.Slots, u.PrefillRate)
	}
}

func (c Config) checkWorkspace(w Workspace, fault faultFunc) {
	path := "Workspaces." + w.Name
	if w.Name == "" {
		fault("Workspaces: one without a Name")
	}
	sum := 0
	for _, s := range w.Shares {
		if s.Percent < 0 || !c.hasPool(s.Pool) {
			fault("%s.Shares: %d%% to %q; 0 to 100 to a pool that has upstreams", path, s.Percent, s.Pool)
		}
		sum += s.Percent
	}
	if len(w.Shares) > 0 && sum != 100 {
		fault("%s.Shares: %d%% together; 100", path, sum)
	}
	if w.Weight < 0 || w.Limit.RequestsPerSecond < 0 || w.Limit.InFlight < 0 {
		fault("%s: Weight and Limit; 0 or more", path)
	}
	checkKeyHashes(path+".Keys", w.Keys, fault)
}

func (c Config) hasPool(pool string) bool {
	for _, u := range c.Upstreams {
		if u.Pool == pool {
			return true
		}
	}
	return false
}

func checkKeyHashes(path string, keys []Key, fault faultFunc) {
	for _, k := range keys {
		if k.ID == "" || !hexSHA256.MatchString(k.Hash) {
			fault("%s: ID %q, Hash %q; a name and a SHA-256 in 64 lower-case hex digits", path, k.ID, k.Hash)
		}
	}
}
