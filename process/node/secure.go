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

// certificatePollInterval is the time between two checks of the certificate files
// for changes.
const certificatePollInterval = 10 * time.Second

// withTLS wraps a listener in TLS if its settings name a certificate.
func (n *Node) withTLS(ln net.Listener, t settings.TLS) (net.Listener, error) {
	if !t.Enabled() {
		return ln, nil
	}
	m, err := n.loadCertificate(t)
	if err != nil {
		return nil, err
	}
	cfg, err := m.ServerConfig("http/1.1")
	if err != nil {
		return nil, err
	}
	return tls.NewListener(ln, cfg), nil
}

// loadCertificate loads a certificate and reloads it when its files change.
func (n *Node) loadCertificate(t settings.TLS) (*transport.Material, error) {
	m, err := transport.LoadMaterial(transport.Config{
		Certificate:   t.CertFile,
		Key:           t.KeyFile,
		Authorities:   t.AuthorityFile,
		RequireClient: t.AuthorityFile != "",
	})
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	w := transport.Watch(m, certificatePollInterval, func(err error) {
		if err != nil {
			event.Warn(n.log, event.CertificateReloadFailed, zap.String("File", t.CertFile), zap.Error(err))
			return
		}
		event.Info(n.log, event.CertificateReloaded, zap.String("File", t.CertFile))
	})
	n.closers.Add("certificate watcher", w.Close)
	return m, nil
}

// peerTLS is the certificate for the calls between nodes. Without one they use plain
// TCP.
type peerTLS struct {
	*transport.Material
}

func (n *Node) newPeerTLS(do.Injector) (peerTLS, error) {
	if !n.settings.Listen.Peers.TLS.Enabled() {
		return peerTLS{}, nil
	}
	m, err := n.loadCertificate(n.settings.Listen.Peers.TLS)
	return peerTLS{Material: m}, err
}

func (m peerTLS) serverConfig() (*tls.Config, error) {
	if m.Material == nil {
		return nil, nil // plain TCP
	}
	return m.ServerConfig()
}

// clientConfig returns a function that returns the configuration of a new
// connection, or nil for plain TCP. Nodes call each other by addresses that no
// certificate names, so the certificate authority alone decides.
func (m peerTLS) clientConfig() func() *tls.Config {
	if m.Material == nil {
		return nil
	}
	return func() *tls.Config { return m.ClientConfig("") }
}
