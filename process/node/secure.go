package node

import (
	"crypto/tls"
	"net"

	"github.com/dunlinmill/dunlinmill/process/settings"
)

// secure puts TLS before a listener whose settings name a certificate.
func (n *Node) secure(ln net.Listener, t settings.TLS) (net.Listener, error) {
	if !t.Enabled() {
		return ln, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}
