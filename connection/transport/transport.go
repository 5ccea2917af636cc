// Package transport holds the TLS material that the listeners and the peer
// client share. Certificates are replaced while connections run: those that
// are open go on, and those to come get the new one.
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
	// ErrSettings means that a Config can't be used.
	ErrSettings = errors.New("transport: bad settings")
	// ErrMaterial means that a file could not be read or does not hold what
	// it should.
	ErrMaterial = errors.New("transport: bad certificate, key or authorities")
)

// Config names the files of one listener or client, in PEM.
type Config struct {
	Certificate string // chain, the leaf first
	Key         string
	// Authorities signed the certificates that this end accepts. Empty: a
	// client takes the system's, a server asks for no certificate.
	Authorities string
	// RequireClient has a server demand a certificate signed by Authorities.
	RequireClient bool
}

func (c Config) check() error {
	if (c.Certificate == "") != (c.Key == "") {
		return fmt.Errorf("%w: certificate and key are needed together", ErrSettings)
	}
	if c.RequireClient && c.Authorities == "" {
		return fmt.Errorf("%w: authorities are needed to require clients' certificates", ErrSettings)
	}
	return nil
}

// Material is the certificate in force. Its methods may be called from many
// goroutines.
type Material struct {
	cfg     Config
	current atomic.Pointer[loaded]
	mu      sync.Mutex // one Reload at a time
}

// loaded is what was read at one time; it is never changed.
type loaded struct {
	digest      [sha256.Size]byte
	certificate *tls.Certificate // nil: a client without one
	authorities *x509.CertPool   // nil: the system's
	server      *tls.Config
}

// Load reads the files.
func Load(cfg Config) (*Material, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Material{cfg: cfg}
	if _, err := m.Reload(); err != nil {
		return nil, err
	}
	return m, nil
}

// Reload reads the files again and says whether they had changed. After an
// error the former material stays in force: a half-written file or a key that
// does not fit must not take a listener down.
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

// readFiles gives the files' contents, nil for those without a name.
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

func (m *Material) parse(files [][]byte) (*loaded, error) {
	l := &loaded{}
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

func (l *loaded) serverConfig(requireClient bool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, ClientCAs: l.authorities}
	if l.certificate != nil {
		c.Certificates = []tls.Certificate{*l.certificate}
	}
	if requireClient {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// Server gives the configuration of a listener; it always hands out the
// material in force. The next protocols are for ALPN.
func (m *Material) Server(nextProtocols ...string) (*tls.Config, error) {
	if m.cfg.Certificate == "" {
		return nil, fmt.Errorf("%w: a listener needs a certificate", ErrSettings)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: nextProtocols,
		// Some servers ask for it before they begin; GetConfigForClient comes first.
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

// Client gives the configuration for one connection to come, with the
// material in force now. The server's certificate must be for serverName;
// with an empty one, for any name, as long as an authority of the settings
// signed it: nodes call each other by addresses that no certificate names.
func (m *Material) Client(serverName string) *tls.Config {
	l := m.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: l.authorities}
	if l.certificate != nil {
		c.Certificates = []tls.Certificate{*l.certificate}
	}
	if serverName == "" && l.authorities != nil {
		// Turns off the check of the name alone: VerifyConnection does the rest.
		c.InsecureSkipVerify = true
		c.VerifyConnection = l.verifyChain
	}
	return c
}

func (l *loaded) verifyChain(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("%w: the server showed none", ErrMaterial)
	}
	o := x509.VerifyOptions{Roots: l.authorities, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// Watcher reloads material when its files change.
type Watcher struct {
	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// Watch looks at the files in each interval and reports each change that it
// took, with nil, and each failure, until closed.
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
	w.once.Do(func() { close(w.stop) })
	w.done.Wait()
	return nil
}
