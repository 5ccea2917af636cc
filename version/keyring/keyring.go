// Package keyring finds the workspace or operator that a secret belongs to. A keyring
// is built from one accepted configuration and lives as long as that version.
package keyring

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Hash returns the form in which the configuration stores a secret. Secrets are long
// random values, so that a plain hash can't be inverted by search. A lookup by hash
// also takes no time that depends on how much of a guessed secret is correct.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Keyring holds the hashed secrets of one configuration.
type Keyring struct {
	offset     platform.Offset
	workspaces map[string]string // name by hash
	operators  map[string]string // name by hash
}

// New builds the keyring of a configuration.
func New(cfg config.Config) *Keyring {
	k := &Keyring{
		offset:     cfg.Offset,
		workspaces: map[string]string{},
		operators:  map[string]string{},
	}
	for _, w := range cfg.Workspaces {
		addHashes(k.workspaces, w.Name, w.Keys)
	}
	for _, o := range cfg.Operators {
		addHashes(k.operators, o.Name, o.Tokens)
	}
	return k
}

func addHashes(names map[string]string, name string, keys []config.Key) {
	for _, key := range keys {
		names[key.Hash] = name
	}
}

// Workspace returns the workspace that a key belongs to.
func (k *Keyring) Workspace(secret string) (string, bool) {
	return find(k.workspaces, secret)
}

// Operator returns the operator that a token belongs to.
func (k *Keyring) Operator(secret string) (string, bool) {
	return find(k.operators, secret)
}

func find(names map[string]string, secret string) (string, bool) {
	if secret == "" {
		return "", false
	}
	name, ok := names[Hash(secret)]
	return name, ok
}

// View provides the configuration in force.
type View interface {
	Config() config.Config
}

// Current caches the keyring of the configuration in force and rebuilds it when
// another one comes into force.
type Current struct {
	view View
	last atomic.Pointer[Keyring]
}

// NewCurrent returns a Current that follows view.
func NewCurrent(view View) *Current { return &Current{view: view} }

// Keyring returns the keyring of the configuration in force. Two callers may build
// the same one at the same moment; either is correct.
func (c *Current) Keyring() *Keyring {
	cfg := c.view.Config()
	if k := c.last.Load(); k != nil && k.offset == cfg.Offset {
		return k
	}
	k := New(cfg)
	c.last.Store(k)
	return k
}
