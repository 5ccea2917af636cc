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

// secretInterval is the time between two looks at the file of secrets.
const secretInterval = 5 * time.Second

// secretWatcher takes a changed file of the fleet's secrets into use, so that
// the secret is changed without a restart: first the new one is added behind
// the old one on every node, then put before it, then the old one is taken
// out. At each moment any two nodes share one.
type secretWatcher struct {
	file   string
	last   []byte
	set    func(secrets [][]byte) error
	logger *zap.Logger
}

func (n *Node) newSecretWatcher(i do.Injector) (*secretWatcher, error) {
	client, server := do.MustInvoke[*peer.Client](i), do.MustInvoke[peerServer](i)
	w := &secretWatcher{
		file:   n.settings.Peers.SecretFile,
		last:   []byte(n.settings.Peers.Secret),
		logger: n.log,
		set: func(secrets [][]byte) error {
			// The server first: what this node shows to others, it accepts.
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
	done.Go(func() { every(ctx, secretInterval, func(time.Time) { w.look() }) })
	n.closers.Add("secret watcher", func() error {
		cancel()
		done.Wait()
		return nil
	})
	return w, nil
}

// look takes a changed file into use. A file that can't be read or used leaves
// the former secrets in force: a half-written one must not cut the node off.
func (w *secretWatcher) look() {
	data, err := os.ReadFile(w.file)
	if err == nil {
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, w.last) {
			return
		}
		err = w.set(settings.SecretLines(string(data)))
	}
	if err != nil {
		event.Error(w.logger, event.SecretReloadFailed, zap.String("File", w.file), zap.Error(err))
		return
	}
	w.last = data
	event.Info(w.logger, event.SecretReloaded, zap.String("File", w.file))
}
