// Package config holds the accepted configuration: an immutable value that is the
// same on every node that has applied the log up to the same offset. It lives until
// the next accepted record replaces it.
package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Kind,State -output=config_string.go

// Kind is what an upstream is.
type Kind uint8

const (
	// Engine is a model engine.
	Engine Kind = iota
	// Service is an instance of a plain service.
	Service
	// CacheStore is a store of the KV caches that engines computed for prompts. It
	// serves no request.
	CacheStore
)

// State is an upstream's state, which decides what work it may get.
type State uint8

const (
	// Active upstreams get new work.
	Active State = iota
	// Draining upstreams get no new work; requests that run there may finish.
	Draining
	// Retired upstreams have left for good.
	Retired
)

// Config is one accepted configuration. Its maps are never changed once it has been
// returned; the With methods copy.
type Config struct {
	Offset     platform.Offset // offset of the record that made it; 0: none yet
	Models     map[string]Model
	Upstreams  map[string]Upstream
	Workspaces map[string]Workspace
	Operators  map[string]Operator
	Weighing   Weighing
}

// Model is a model that callers may name, with its accepted weights versions.
type Model struct {
	Name string
	// Version is the weights version in force.
	Version string
	// Target is the version being rolled out; empty when there is none. While it is
	// set, an upstream serves either of the two versions.
	Target string
	// Any means that an engine serves whatever version it holds. It is set where
	// weights are named and rolled out elsewhere; an engine with a version older than
	// Version has not been updated yet.
	Any bool `json:",omitempty"`
}

// Accepts reports whether an answer computed with this weights version may be passed
// on.
func (m Model) Accepts(version string) bool {
	return version != "" && (m.Any || version == m.Version || version == m.Target)
}

// Upstream is a back end: a model engine, an instance of a plain service, or a cache
// store.
type Upstream struct {
	Name       string
	Kind       Kind
	Address    string // IP:port
	DataCentre string
	// Pool is the provider's group of upstreams; workspaces are shifted between
	// pools.
	Pool string
	// Models are the models that an engine may serve.
	Models []string
	// Service is the name under which callers reach a plain service.
	Service string
	// Software is the version of the upstream's program; empty if it is not known. Versions
	// are compared only, as they have no order.
	Software string `json:",omitempty"`
	// HealthPath is where a plain service's upstream tells whether it is healthy, if that is known.
	HealthPath string `json:",omitempty"`
	// Slots is how many requests run at once in an engine's batch.
	Slots int
	// PrefillRate is how many prompt tokens a second the engine computes.
	PrefillRate float64
	// ChecksFencing means that the engine refuses orders with an outdated fencing
	// number.
	ChecksFencing bool
	// DeduplicatesKeys means that the upstream itself runs calls with the same
	// idempotency key only once.
	DeduplicatesKeys bool
	State            State
}

// Share is the percentage of a workspace's requests that goes to one pool.
type Share struct {
	Pool    string
	Percent int
}

// Limit bounds a workspace's requests over all nodes together. Zero means no bound.
type Limit struct {
	RequestsPerSecond float64
	InFlight          int
}

// Key is a workspace key or an operator token, of which only the hash is stored.
type Key struct {
	ID   string // by which operators refer to it
	Hash string // hex SHA-256 of the secret
}

// Workspace is one tenant with its keys, shares and limit.
type Workspace struct {
	Name   string
	Keys   []Key
	Shares []Share
	// Weight is the workspace's part of the capacity under contention, relative to
	// the other workspaces.
	Weight float64
	Limit  Limit
}

// Operator is a person or program that may state intents.
type Operator struct {
	Name   string
	Tokens []Key
}

// Weighing holds the costs by which placement chooses between waiting and
// recomputing.
type Weighing struct {
	// Wait is the cost of a second of waiting for the first token.
	Wait float64
	// Recompute is the cost of a second of recomputing a missed prefix.
	Recompute float64
}

// DefaultWeighing gives both costs the same weight.
var DefaultWeighing = Weighing{Wait: 1, Recompute: 1}

// Change is one absolute change of the configuration. Exactly one field is set.
type Change struct {
	SetModel         *Model          `json:",omitempty"`
	SetUpstream      *Upstream       `json:",omitempty"`
	SetUpstreamState *UpstreamState  `json:",omitempty"`
	SetWorkspace     *Workspace      `json:",omitempty"`
	SetShares        *Shares         `json:",omitempty"`
	SetLimit         *WorkspaceLimit `json:",omitempty"`
	SetOperator      *Operator       `json:",omitempty"`
	SetWeighing      *Weighing       `json:",omitempty"`
	RemoveUpstream   string          `json:",omitempty"`
	RemoveWorkspace  string          `json:",omitempty"`
	RemoveOperator   string          `json:",omitempty"`
	RemoveModel      string          `json:",omitempty"`
}

// UpstreamState sets only an upstream's state.
type UpstreamState struct {
	Upstream string
	State    State
}

// Shares sets only a workspace's shares.
type Shares struct {
	Workspace string
	Shares    []Share
}

// WorkspaceLimit sets only a workspace's limit.
type WorkspaceLimit struct {
	Workspace string
	Limit     Limit
}

// New returns the empty configuration.
func New() Config {
	return Config{
		Models:     map[string]Model{},
		Upstreams:  map[string]Upstream{},
		Workspaces: map[string]Workspace{},
		Operators:  map[string]Operator{},
		Weighing:   DefaultWeighing,
	}
}

// WithOffset returns a copy with the offset of the record that made it.
func (c Config) WithOffset(o platform.Offset) Config {
	c.Offset = o
	return c
}

// WithModel returns a copy with m set.
func (c Config) WithModel(m Model) Config {
	c.Models = with(c.Models, m.Name, m)
	return c
}

// WithUpstream returns a copy with u set.
func (c Config) WithUpstream(u Upstream) Config {
	c.Upstreams = with(c.Upstreams, u.Name, u)
	return c
}

// WithWorkspace returns a copy with w set.
func (c Config) WithWorkspace(w Workspace) Config {
	c.Workspaces = with(c.Workspaces, w.Name, w)
	return c
}

// WithOperator returns a copy with o set.
func (c Config) WithOperator(o Operator) Config {
	c.Operators = with(c.Operators, o.Name, o)
	return c
}

// WithWeighing returns a copy with w set.
func (c Config) WithWeighing(w Weighing) Config {
	c.Weighing = w
	return c
}

// Engines returns the engines that serve a model and may get new work, sorted by
// name.
func (c Config) Engines(model string) []Upstream {
	return c.active(func(u Upstream) bool {
		return u.Kind == Engine && slices.Contains(u.Models, model)
	})
}

// Services returns the instances of a plain service that may get new work, sorted by
// name.
func (c Config) Services(name string) []Upstream {
	return c.active(func(u Upstream) bool {
		return u.Kind == Service && u.Service == name
	})
}

func (c Config) active(match func(Upstream) bool) []Upstream {
	var found []Upstream
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if u.State == Active && match(u) {
			found = append(found, u)
		}
	}
	return found
}

func with[V any](m map[string]V, key string, value V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = value
	return c
}

func without[V any](m map[string]V, key string) map[string]V {
	c := maps.Clone(m)
	delete(c, key)
	return c
}

// Horizon is how long the journal remembers an idempotency key and its outcome.
const Horizon = 15 * time.Minute

// MarshalText returns the kind's name, so that records and files don't depend on the
// order of the constants.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	return unmarshalName(k, text, Engine, Service)
}

// MarshalText returns the state's name, so that records and files don't depend on the
// order of the constants.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error {
	return unmarshalName(s, text, Active, Draining, Retired)
}

// ErrUnknownName means that a text is not the name of any value of the enum.
var ErrUnknownName = errors.New("config: unknown name")

func unmarshalName[E fmt.Stringer](into *E, text []byte, known ...E) error {
	for _, e := range known {
		if e.String() == string(text) {
			*into = e
			return nil
		}
	}
	return fmt.Errorf("%q is none of %v: %w", text, known, ErrUnknownName)
}
