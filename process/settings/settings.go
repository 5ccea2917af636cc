// Package settings reads and checks the settings that a process gets at its start:
// its name, its addresses, the addresses of the platform, and its limits. The
// settings are decoded and checked once and are read-only afterwards. Everything
// that operators change while the system runs is configuration, which comes from the
// platform's log.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/process/document"
)

// Settings holds what one node reads at startup.
type Settings struct {
	Node       string // unique among all nodes
	DataCentre string
	Listen     Listen
	Platform   Platform
	Peers      Peers
	Operators  Operators
	Limits     Limits
	Queue      Queue
	Placement  Placement
	Journal    Journal
	Plans      Plans
	Shutdown   Shutdown
	Log        Log
	// LastKnown is an optional configuration file. A node falls back to it if it
	// reaches neither the log nor a peer when it starts.
	LastKnown string
}

// Listen holds one listener for each kind of client.
type Listen struct {
	Callers   Listener
	Operators Listener
	Peers     Listener
}

// Listener is one listening socket. Without TLS it serves plain text.
type Listener struct {
	Address string // IP:port; port 0 takes any free port
	TLS     TLS
}

// TLS names the certificate files of a listener. They are read again after they have
// changed.
type TLS struct {
	CertFile string
	KeyFile  string
	// AuthorityFile holds the certificate authorities that sign the certificates of
	// the other side. Listen.Peers needs it, as both ends of a connection between
	// peers present a certificate.
	AuthorityFile string
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Platform holds the addresses of the platform's services, each as IP:port.
type Platform struct {
	Log         string
	VMList      string
	WeightStore string
	Timeout     time.Duration // of one call
}

// Peers holds what the nodes need to reach each other.
type Peers struct {
	// Seeds are addresses of peer listeners that are tried before the VM list is
	// known.
	Seeds []string
	// Secret is shared by all nodes of a fleet. SecretFile names a file that holds
	// it instead, which is read again when it changes. There may be several secrets,
	// one a line: a node presents the first one to its peers and accepts all of
	// them.
	Secret      string
	SecretFile  string
	CallTimeout time.Duration
}

// Operators authorises the first intents, before the configuration has an operator.
type Operators struct {
	// BootstrapToken is accepted only as long as the configuration has no operator.
	// BootstrapTokenFile names a file that holds it instead.
	BootstrapToken     string
	BootstrapTokenFile string
}

// Limits bounds the resources that one client may use.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	MemoryBytes    int           // of the process; 0: GOMEMLIMIT, or else the VM's
	HeaderTimeout  time.Duration // to read a whole request
	IdleTimeout    time.Duration // of a keep-alive connection
	WriteTimeout   time.Duration // without progress in writing to the client
}

// Queue bounds the requests that wait for an upstream.
type Queue struct {
	Length  int
	MaxWait time.Duration
}

// Placement configures the choice of an engine.
type Placement struct {
	// ImportRate is how many tokens a second one engine imports from another's
	// cache; 0 means no imports.
	ImportRate float64
}

// Journal configures the record of requests that must not be repeated.
type Journal struct {
	Horizon time.Duration // how long a key that was used is remembered
	// AppendsPerSecond is the part of the log's capacity that all nodes together may
	// use for the journal.
	AppendsPerSecond float64
}

// Plans configures how confirmed plans are carried out.
type Plans struct {
	// Settle is how long a change may take to be in force on all nodes. The next
	// step of a plan waits that long.
	Settle time.Duration
}

// Shutdown configures how a node stops.
type Shutdown struct {
	// Notice is how long the readiness check reports that the node is leaving before
	// the listener closes.
	Notice time.Duration
	// Grace is how long requests in flight may take after Notice. Requests that
	// still run 3 s before its end (a fifth of a grace under 15 s) are ended with a
	// failure.
	Grace time.Duration
}

// Log configures the node's own log lines.
type Log struct {
	Level string
}

// Load reads, decodes and checks a settings file. Overrides take precedence over the
// file. The error joins one document.Fault for each problem.
func Load(path string, overrides ...Override) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data, overrides...)
}

// Parse is Load for a file that has been read already. Faults name it file.
func Parse(file string, data []byte, overrides ...Override) (Settings, error) {
	s := Default()
	d := document.Decode(file, data, &s)
	s.override(d, overrides)
	s.readSecrets(d)
	s.check(d)
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Secrets returns the fleet's secrets, beginning with the one that this node
// presents.
func (p Peers) Secrets() [][]byte { return ParseSecrets(p.Secret) }

// ParseSecrets returns the secrets of a text with one secret a line. It skips empty
// lines.
func ParseSecrets(text string) [][]byte {
	var secrets [][]byte
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" {
			secrets = append(secrets, []byte(line))
		}
	}
	return secrets
}

func (s *Settings) readSecrets(d *document.Result) {
	readSecret(d, "Peers.Secret", &s.Peers.Secret, s.Peers.SecretFile)
	readSecret(d, "Operators.BootstrapToken", &s.Operators.BootstrapToken, s.Operators.BootstrapTokenFile)
}

func readSecret(d *document.Result, path string, dst *string, file string) {
	if file == "" {
		return
	}
	if *dst != "" {
		d.AddFault(path+"File", "set together with "+path, "only one of the two")
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		d.AddFault(path+"File", err.Error(), "a file that this process can read")
		return
	}
	*dst = strings.TrimSpace(string(data))
}
