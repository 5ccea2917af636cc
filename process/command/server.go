package command

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/operator"
)

// defaultCallTimeout exceeds the time that a node waits for the log, so that the
// node's own refusal arrives first.
const defaultCallTimeout = operator.DefaultCallTimeout + 5*time.Second

// serverFlags are the flags of commands that call a node.
type serverFlags struct {
	address   *string
	tokenFile *string
	caFile    *string
	timeout   *time.Duration
}

func newServerFlags(fs *flag.FlagSet) serverFlags {
	return serverFlags{
		address:   fs.String("server", "http://127.0.0.1:8081", "`URL` of a node's operator listener"),
		tokenFile: fs.String("token-file", "", "`file` that holds the operator's token"),
		caFile:    fs.String("ca-file", "", "`file` of CA certificates (PEM) to verify the node's certificate"),
		timeout:   fs.Duration("timeout", defaultCallTimeout, "how long to wait for a reply"),
	}
}

// newClient returns a client that the caller must close.
func (s serverFlags) newClient() (*operator.Client, error) {
	if *s.tokenFile == "" {
		return nil, usageError("--token-file is missing")
	}
	token, err := os.ReadFile(*s.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("token: %w", err)
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	c, err := operator.NewClient(*s.address, strings.TrimSpace(string(token)), *s.timeout, tlsConfig)
	if err != nil {
		return nil, usageError("--server: %v", err)
	}
	return c, nil
}

func (s serverFlags) tlsConfig() (*tls.Config, error) {
	if *s.caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(*s.caFile)
	if err != nil {
		return nil, fmt.Errorf("ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("ca-file: %s holds no certificate (PEM)", *s.caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
