// Package transport provides the TLS certificates and configurations of the listeners
// and the peer client, bounds the connections of listeners, and drains refused requests. Certificates can be replaced while
// connections are open: open connections keep the old certificate, and new ones get the
// new one.
package transport

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrInvalidConfig means that a Config is invalid.
	ErrInvalidConfig = errors.New("transport: invalid configuration")
	// ErrMaterial means that a file cannot be read or does not contain a valid
	// certificate, key or authority.
	ErrMaterial = errors.New("transport: bad certificate, key or authorities")
)

// Config holds the paths of the PEM files of one listener or client.
type Config struct {
	Certificate string // chain, the leaf first
	Key         string
	// Authorities contains the certificate authorities that this end trusts. If it is
	// empty, a client uses the system's authorities and a server does not request a
	// certificate.
	Authorities string
	// RequireClient makes a server require a client certificate signed by one of
	// Authorities.
	RequireClient bool
}

func (c Config) check() error {
	if (c.Certificate == "") != (c.Key == "") {
		return fmt.Errorf("%w: certificate and key are needed together", ErrInvalidConfig)
	}
	if c.RequireClient && c.Authorities == "" {
		return fmt.Errorf("%w: authorities are needed to require clients' certificates", ErrInvalidConfig)
	}
	return nil
}

// Material holds the certificate, key and authorities in force. Its methods are safe
// for concurrent use.
type Material struct {
	cfg     Config
	current atomic.Pointer[loadedMaterial]
	mu      sync.Mutex // serializes Reload
}

// loadedMaterial is the parsed content of the files at one time. It is immutable.
type loadedMaterial struct {
	digest      [sha256.Size]byte
	certificate *tls.Certificate // nil for a client without a certificate
	authorities *x509.CertPool   // nil means the system's
	server      *tls.Config
}

// LoadMaterial reads and parses the files of cfg.
func LoadMaterial(cfg Config) (*Material, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Material{cfg: cfg}
	if _, err := m.Reload(); err != nil {
		return nil, err
	}
	return m, nil
}

// Reload reads the files again and reports whether they have changed. After an error
// the previous material stays in force, so that a partly written file or a key that
// does not match the certificate does not stop a listener.
func (m *Material) Reload() (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	files, digest, err := readFiles(m.cfg.Certificate, m.cfg.Key, m.cfg.Authorities)
	if err != nil {
		return false, err
	}
	former := m.current.Load()
	if former != nil && former.digest == digest {
		return false, nil
	}
	l, err := m.parse(files)
	if err != nil {
		return false, err
	}
	l.digest = digest
	m.current.Store(l)
	return true, nil
}

// readFiles returns the contents of the files and their digest. The content for an
// empty name is nil.
func readFiles(names ...string) ([][]byte, [sha256.Size]byte, error) {
	var files [][]byte
	for _, name := range names {
		if name == "" {
			files = append(files, nil)
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, [sha256.Size]byte{}, fmt.Errorf("%w: %w", ErrMaterial, err)
		}
		files = append(files, b)
	}
	return files, sha256.Sum256(bytes.Join(files, []byte{0})), nil
}

func (m *Material) parse(files [][]byte) (*loadedMaterial, error) {
	l := &loadedMaterial{}
	if files[0] != nil {
		c, err := tls.X509KeyPair(files[0], files[1])
		if err != nil {
			return nil, fmt.Errorf("%w: %s with %s: %w", ErrMaterial, m.cfg.Certificate, m.cfg.Key, err)
		}
		l.certificate = &c
	}
	if files[2] != nil {
		l.authorities = x509.NewCertPool()
		if !l.authorities.AppendCertsFromPEM(files[2]) {
			return nil, fmt.Errorf("%w: %s holds no certificate", ErrMaterial, m.cfg.Authorities)
		}
	}
	l.server = l.serverConfig(m.cfg.RequireClient)
	return l, nil
}

func (l *loadedMaterial) serverConfig(requireClient bool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, ClientCAs: l.authorities}
	if l.certificate != nil {
		c.Certificates = []tls.Certificate{*l.certificate}
	}
	if requireClient {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// ServerConfig returns the configuration of a listener. It uses the material in force
// at the time of each connection. nextProtocols are the protocols for ALPN.
func (m *Material) ServerConfig(nextProtocols ...string) (*tls.Config, error) {
	if m.cfg.Certificate == "" {
		return nil, fmt.Errorf("%w: a listener needs a certificate", ErrInvalidConfig)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: nextProtocols,
		// Some servers require a certificate before they start. For connections
		// GetConfigForClient takes precedence.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return m.current.Load().certificate, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := m.current.Load().server
			if len(nextProtocols) > 0 {
				c = c.Clone()
				c.NextProtos = nextProtocols
			}
			return c, nil
		},
	}, nil
}

// ClientConfig returns the configuration for one new connection, using the material in
// force now. The server's certificate must be valid for serverName. If serverName is
// empty, a certificate for any name is accepted if one of the configured authorities
// signed it, because nodes call each other by addresses that no certificate contains.
func (m *Material) ClientConfig(serverName string) *tls.Config {
	l := m.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: l.authorities}
	if l.certificate != nil {
		c.Certificates = []tls.Certificate{*l.certificate}
	}
	if serverName == "" && l.authorities != nil {
		// This disables only the check of the name. VerifyConnection checks the chain.
		c.InsecureSkipVerify = true
		c.VerifyConnection = l.verifyChain
	}
	return c
}

func (l *loadedMaterial) verifyChain(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("%w: the server presented no certificate", ErrMaterial)
	}
	o := x509.VerifyOptions{Roots: l.authorities, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// Watcher reloads a Material when its files change.
type Watcher struct {
	stop      chan struct{}
	done      sync.WaitGroup
	closeOnce sync.Once
}

// Watch checks the files at each interval until the Watcher is closed. It calls report
// with nil after each change that it loaded, and with the error after each failure.
func Watch(m *Material, interval time.Duration, report func(error)) *Watcher {
	w := &Watcher{stop: make(chan struct{})}
	w.done.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-tick.C:
				if changed, err := m.Reload(); changed || err != nil {
					report(err)
				}
			}
		}
	})
	return w
}

// Close stops the watcher.
func (w *Watcher) Close() error {
	w.closeOnce.Do(func() { close(w.stop) })
	w.done.Wait()
	return nil
}
