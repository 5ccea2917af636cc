// Package config holds the accepted configuration: an immutable value that
// is the same on every node that has applied the log up to the same offset.
// It lives until the next accepted record replaces it.
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

// Kind says what an upstream is.
type Kind uint8

const (
	// Engine is a model engine.
	Engine Kind = iota
	// Service is a plain service.
	Service
	// CacheStore keeps what engines have computed of prompts, and serves no request.
	CacheStore
)

// State says what an upstream may be given.
type State uint8

const (
	// Active upstreams get work.
	Active State = iota
	// Draining upstreams get no new work; what runs there runs to its end.
	Draining
	// Retired upstreams are gone for good.
	Retired
)

// Config is one accepted configuration. Its maps are never changed once it
// has been given out; the With methods copy.
type Config struct {
	Offset     platform.Offset // of the record that made it; 0: none yet
	Models     map[string]Model
	Upstreams  map[string]Upstream
	Workspaces map[string]Workspace
	Operators  map[string]Operator
	Weighing   Weighing
}

// Model is a model that callers may name.
type Model struct {
	Name string
	// Version is the weights version in force.
	Version string
	// Target is the version being rolled out; empty when none is. While it
	// is set, an upstream serves either of the two.
	Target string
	// Any says that an engine serves whatever version it holds: its weights are
	// named and rolled out elsewhere, and an older version than Version is one
	// that has not been reached yet.
	Any bool `json:",omitempty"`
}

// Accepts says whether an answer by this weights version may be passed on.
func (m Model) Accepts(version string) bool {
	return version != "" && (m.Any || version == m.Version || version == m.Target)
}

// Upstream is a back end: one model engine or one plain service instance.
type Upstream struct {
	Name       string
	Kind       Kind
	Address    string // IP:port
	DataCentre string
	// Pool is the provider's group of upstreams that workspaces are shifted between.
	Pool string
	// Models are the models that an engine may serve.
	Models []string
	// Service is the name under which callers reach a plain service.
	Service string
	// Slots is how many requests run at once in an engine's batch.
	Slots int
	// PrefillRate is how many prompt tokens a second it computes.
	PrefillRate float64
	// ChecksFencing says that it refuses orders with an old fencing number.
	ChecksFencing bool
	// DeduplicatesKeys says that it runs a call with the same idempotency
	// key once, by itself.
	DeduplicatesKeys bool
	State            State
}

// Share is the part of a workspace's requests that goes to one pool.
type Share struct {
	Pool    string
	Percent int
}

// Limit bounds a workspace over all nodes together. Zero means no bound.
type Limit struct {
	RequestsPerSecond float64
	InFlight          int
}

// Key is a workspace key or operator token, kept only as a hash.
type Key struct {
	ID   string // for operators to name it by
	Hash string // hex SHA-256 of the secret
}

// Workspace is one tenant of the callers.
type Workspace struct {
	Name   string
	Keys   []Key
	Shares []Share
	// Weight is its part of the capacity under contention, beside the others.
	Weight float64
	Limit  Limit
}

// Operator is somebody who may state intents.
type Operator struct {
	Name   string
	Tokens []Key
}

// Weighing is what a deployment's users care about when placement has to
// choose between waiting and recomputing.
type Weighing struct {
	// Wait is the cost of a second of waiting for the first token.
	Wait float64
	// Recompute is the cost of a second of recomputing a missed prefix.
	Recompute float64
}

// DefaultWeighing treats both alike.
var DefaultWeighing = Weighing{Wait: 1, Recompute: 1}

// Change is one absolute change of the configuration. Exactly one field is
// set.
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

// UpstreamState sets an upstream's state alone.
type UpstreamState struct {
	Upstream string
	State    State
}

// Shares sets a workspace's shares alone.
type Shares struct {
	Workspace string
	Shares    []Share
}

// WorkspaceLimit sets a workspace's limit alone.
type WorkspaceLimit struct {
	Workspace string
	Limit     Limit
}

// New gives the empty configuration.
func New() Config {
	return Config{
		Models:     map[string]Model{},
		Upstreams:  map[string]Upstream{},
		Workspaces: map[string]Workspace{},
		Operators:  map[string]Operator{},
		Weighing:   DefaultWeighing,
	}
}

// WithOffset gives a copy that says which record made it.
func (c Config) WithOffset(o platform.Offset) Config {
	c.Offset = o
	return c
}

// WithModel gives a copy with m set.
func (c Config) WithModel(m Model) Config {
	c.Models = with(c.Models, m.Name, m)
	return c
}

// WithUpstream gives a copy with u set.
func (c Config) WithUpstream(u Upstream) Config {
	c.Upstreams = with(c.Upstreams, u.Name, u)
	return c
}

// WithWorkspace gives a copy with w set.
func (c Config) WithWorkspace(w Workspace) Config {
	c.Workspaces = with(c.Workspaces, w.Name, w)
	return c
}

// WithOperator gives a copy with o set.
func (c Config) WithOperator(o Operator) Config {
	c.Operators = with(c.Operators, o.Name, o)
	return c
}

// WithWeighing gives a copy with w set.
func (c Config) WithWeighing(w Weighing) Config {
	c.Weighing = w
	return c
}

// Engines gives the engines that serve a model and may get new work, sorted
// by name.
func (c Config) Engines(model string) []Upstream {
	return c.active(func(u Upstream) bool {
		return u.Kind == Engine && slices.Contains(u.Models, model)
	})
}

// Services gives the instances of a plain service that may get new work,
// sorted by name.
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

// Horizon is how long the journal answers for an idempotency key.
const Horizon = 15 * time.Minute

// MarshalText gives the kind's name, so that records and files don't depend
// on the order of the constants.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	return unmarshalName(k, text, Engine, Service)
}

// MarshalText gives the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	return unmarshalName(s, text, Active, Draining, Retired)
}

// ErrUnknownName means that a text is none of an enum's names.
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
