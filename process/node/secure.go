package node

import (
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/settings"
)

// certificateInterval is the time between two looks at the certificate files.
const certificateInterval = 10 * time.Second

// secure puts TLS before a listener whose settings name a certificate.
func (n *Node) secure(ln net.Listener, t settings.TLS) (net.Listener, error) {
	if !t.Enabled() {
		return ln, nil
	}
	m, err := n.material(t)
	if err != nil {
		return nil, err
	}
	cfg, err := m.Server("http/1.1")
	if err != nil {
		return nil, err
	}
	return tls.NewListener(ln, cfg), nil
}

// material loads a certificate and keeps it up to date with its files.
func (n *Node) material(t settings.TLS) (*transport.Material, error) {
	m, err := transport.Load(transport.Config{
		Certificate:   t.CertFile,
		Key:           t.KeyFile,
		Authorities:   t.AuthorityFile,
		RequireClient: t.AuthorityFile != "",
	})
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	w := transport.Watch(m, certificateInterval, func(err error) {
		if err != nil {
			event.Warn(n.log, event.CertificateReloadFailed, zap.String("File", t.CertFile), zap.Error(err))
			return
		}
		event.Info(n.log, event.CertificateReloaded, zap.String("File", t.CertFile))
	})
	n.closers.Add("certificate watcher", w.Close)
	return m, nil
}

// peerMaterial is the certificate of the calls between nodes; without one
// they go over plain TCP.
type peerMaterial struct {
	*transport.Material
}

func (n *Node) newPeerMaterial(do.Injector) (peerMaterial, error) {
	if !n.settings.Listen.Peers.TLS.Enabled() {
		return peerMaterial{}, nil
	}
	m, err := n.material(n.settings.Listen.Peers.TLS)
	return peerMaterial{Material: m}, err
}

func (m peerMaterial) server() (*tls.Config, error) {
	if m.Material == nil {
		return nil, nil // plain TCP has no configuration
	}
	return m.Server()
}

// client gives the configuration of each connection to come. Nodes call each
// other by addresses that no certificate names, so the authority decides.
func (m peerMaterial) client() func() *tls.Config {
	if m.Material == nil {
		return nil
	}
	return func() *tls.Config { return m.Client("") }
}
