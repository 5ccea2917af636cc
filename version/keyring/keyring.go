// Package keyring looks up who a secret belongs to. A keyring is made from
// one accepted configuration and lives as long as that version.
package keyring

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Hash is the form in which the configuration keeps a secret. Secrets are
// long random values, so a plain hash can't be searched backwards; a look-up
// by hash also takes no time that depends on the secret's other bytes.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Keyring is the secrets of one configuration.
type Keyring struct {
	offset     platform.Offset
	workspaces map[string]string // by hash
	operators  map[string]string // by hash
}

// New makes the keyring of a configuration.
func New(cfg config.Config) *Keyring {
	k := &Keyring{
		offset:     cfg.Offset,
		workspaces: map[string]string{},
		operators:  map[string]string{},
	}
	for _, w := range cfg.Workspaces {
		add(k.workspaces, w.Name, w.Keys)
	}
	for _, o := range cfg.Operators {
		add(k.operators, o.Name, o.Tokens)
	}
	return k
}

func add(names map[string]string, name string, keys []config.Key) {
	for _, key := range keys {
		names[key.Hash] = name
	}
}

// Workspace gives the workspace that a key belongs to.
func (k *Keyring) Workspace(secret string) (string, bool) {
	return find(k.workspaces, secret)
}

// Operator gives the operator that a token belongs to.
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

// View gives the configuration in force.
type View interface {
	Config() config.Config
}

// Current is the keyring of the configuration in force, made anew when
// another one comes into force.
type Current struct {
	view View
	last atomic.Pointer[Keyring]
}

// NewCurrent follows view.
func NewCurrent(view View) *Current { return &Current{view: view} }

// Keyring gives the keyring in force. Two callers may make the same one at
// the same moment; either is right.
func (c *Current) Keyring() *Keyring {
	cfg := c.view.Config()
	if k := c.last.Load(); k != nil && k.offset == cfg.Offset {
		return k
	}
	k := New(cfg)
	c.last.Store(k)
	return k
}
