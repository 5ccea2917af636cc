package node

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/settings"
)

// secretPollInterval is the time between two checks of the secrets file for changes.
const secretPollInterval = 5 * time.Second

// secretWatcher applies changes of the file with the fleet's secrets, so that the
// secret can be rotated without a restart: the new secret is first added after the
// old one on all nodes, then moved before it, and then the old one is removed. At
// each moment any two nodes share a secret.
type secretWatcher struct {
	file    string
	applied []byte
	apply   func(secrets [][]byte) error
	logger  *zap.Logger
}

func (n *Node) newSecretWatcher(i do.Injector) (*secretWatcher, error) {
	client, server := do.MustInvoke[*peer.Client](i), do.MustInvoke[peerServer](i)
	w := &secretWatcher{
		file:    n.settings.Peers.SecretFile,
		applied: []byte(n.settings.Peers.Secret),
		logger:  n.log,
		apply: func(secrets [][]byte) error {
			// The server accepts the secrets before the client presents one of them
			// to peers.
			if err := server.SetSecrets(secrets); err != nil {
				return err
			}
			return client.SetSecrets(secrets)
		},
	}
	if w.file == "" {
		return w, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { runEvery(ctx, secretPollInterval, func(time.Time) { w.reload() }) })
	n.closers.Add("secret watcher", func() error {
		cancel()
		done.Wait()
		return nil
	})
	return w, nil
}

// reload applies a changed file. If the file can't be read or used, the former
// secrets stay in force: a half-written file must not cut the node off from its
// peers.
func (w *secretWatcher) reload() {
	data, err := os.ReadFile(w.file)
	if err == nil {
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, w.applied) {
			return
		}
		err = w.apply(settings.ParseSecrets(string(data)))
	}
	if err != nil {
		event.Error(w.logger, event.SecretReloadFailed, zap.String("File", w.file), zap.Error(err))
		return
	}
	w.applied = data
	event.Info(w.logger, event.SecretReloaded, zap.String("File", w.file))
}
