// Package settings holds what one process is told at its start: its name,
// its addresses, where the platform is, and its bounds. The settings are
// decoded once, checked, and read-only after; everything that operators
// change while the system runs is configuration, which comes from the
// platform's log.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/process/document"
)

// Settings are the settings of one node.
type Settings struct {
	Node       string // name of this node, unique among all nodes
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
	// LastKnown is an optional configuration file that a node falls back to
	// when it starts and reaches neither the log nor a peer.
	LastKnown string
}

// Listen has one listener for each kind of client.
type Listen struct {
	Callers   Listener
	Operators Listener
	Peers     Listener
}

// Listener is one listening socket. Without TLS it speaks plain text.
type Listener struct {
	Address string // IP:port; port 0 takes a free one
	TLS     TLS
}

// TLS names the certificate of a listener. The files are read again after
// they have changed.
type TLS struct {
	CertFile string
	KeyFile  string
	// AuthorityFile holds the authorities that sign the certificates of the
	// other side; needed for Listen.Peers, whose both ends show one.
	AuthorityFile string
}

// Enabled says whether a certificate is set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Platform says where the platform's services listen, each as IP:port.
type Platform struct {
	Log         string
	VMList      string
	WeightStore string
	Timeout     time.Duration // for one call
}

// Peers says how the nodes reach each other.
type Peers struct {
	// Seeds are peer listeners that are tried before the VM list is known.
	Seeds []string
	// Secret is shared by all nodes of a fleet; SecretFile is read instead,
	// and again when it changes. It holds one secret a line: the first is
	// used towards peers, all are accepted of them.
	Secret      string
	SecretFile  string
	CallTimeout time.Duration
}

// Operators settles who may state the first intents.
type Operators struct {
	// BootstrapToken is accepted only as long as the configuration has no
	// operator; BootstrapTokenFile is read instead.
	BootstrapToken     string
	BootstrapTokenFile string
}

// Limits bounds what one client may take up.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	HeaderTimeout  time.Duration // to read a request whole
	IdleTimeout    time.Duration // of a kept-alive connection
	WriteTimeout   time.Duration // without progress towards the client
}

// Queue bounds the requests that wait for an upstream.
type Queue struct {
	Length  int
	MaxWait time.Duration
}

// Placement settles the choice of an engine.
type Placement struct {
	// ImportRate is how many tokens a second one engine imports from
	// another's cache; 0: no imports.
	ImportRate float64
}

// Journal settles the record of not-repeatable requests.
type Journal struct {
	Horizon time.Duration // how long a key is answered for
	// AppendsPerSecond is the part of the log's capacity that all nodes
	// together may use for the journal.
	AppendsPerSecond float64
}

// Plans settles how confirmed plans are carried out.
type Plans struct {
	// Settle is how long a change may take to be in force everywhere; the
	// next step of a plan waits for it.
	Settle time.Duration
}

// Shutdown settles how a node leaves.
type Shutdown struct {
	// Notice is how long readiness says "leaving" before the listener closes.
	Notice time.Duration
	// Grace is how long requests in flight may take after that. Those that are left 3 s
	// before its end (a fifth of a grace under 15 s) are ended with a failure.
	Grace time.Duration
}

// Log settles what is written to the log.
type Log struct {
	Level string
}

// Load reads, decodes and checks a settings file. Overrides go before the
// file. The error joins one document.Fault for each thing wrong.
func Load(path string, overrides ...Override) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data, overrides...)
}

// Parse is Load for a file that has been read already; file is the name that
// faults bear.
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

// Secrets are the fleet's secrets, the one to use first.
func (p Peers) Secrets() [][]byte { return SecretLines(p.Secret) }

// SecretLines gives the secrets of a text that holds one a line.
func SecretLines(text string) [][]byte {
	var secrets [][]byte
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" {
			secrets = append(secrets, []byte(line))
		}
	}
	return secrets
}

func (s *Settings) readSecrets(d *document.Decoded) {
	readSecret(d, "Peers.Secret", &s.Peers.Secret, s.Peers.SecretFile)
	readSecret(d, "Operators.BootstrapToken", &s.Operators.BootstrapToken, s.Operators.BootstrapTokenFile)
}

func readSecret(d *document.Decoded, path string, into *string, file string) {
	if file == "" {
		return
	}
	if *into != "" {
		d.Fault(path+"File", "set beside "+path, "one of the two")
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		d.Fault(path+"File", err.Error(), "a file that this process can read")
		return
	}
	*into = strings.TrimSpace(string(data))
}
