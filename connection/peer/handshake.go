package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"time"
)

// The handshake takes place before the first call:
//
//	client: hello{identifiers of its secrets, nonce}
//	server: challenge{index of the common secret, nonce, its proof}
//	client: proof
//
// The magic of the hello states what the connection is for: calls, or a stream of bytes.
//
// A proof is the HMAC-SHA-256 of the role, both nonces and the TLS session under the
// common secret. The role prevents a proof from being reflected to its sender as the
// other end's proof. The session prevents a proof from being relayed from another TLS
// connection. Each end offers all secrets that it holds. The fleet can therefore rotate
// its secret in two passes, {old}, {new, old}, {new}, while nodes in neighbouring
// passes still have a secret in common.

const (
	nonceBytes    = 32
	exporterLabel = "EXPORTER-dunlinmill-peer"
	serverRole    = "server"
	clientRole    = "client"
)

var (
	helloMagic  = [4]byte{'D', 'M', 'P', '1'} // for calls
	streamMagic = [4]byte{'D', 'M', 'S', '1'}
)

type secretID [8]byte

type hello struct {
	Magic [4]byte
	Count uint8
	IDs   [MaxSecrets]secretID
	Nonce [nonceBytes]byte
}

type challenge struct {
	Accepted bool
	Index    uint8 // in hello.IDs
	Nonce    [nonceBytes]byte
	Proof    [sha256.Size]byte
}

func newSecretID(secret []byte) secretID {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("identifier"))
	return secretID(m.Sum(nil)[:len(secretID{})])
}

func computeProof(secret []byte, role string, client, server [nonceBytes]byte, session []byte) [sha256.Size]byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(role))
	m.Write(client[:])
	m.Write(server[:])
	m.Write(session)
	return [sha256.Size]byte(m.Sum(nil))
}

// exportSessionKey returns keying material that only the two ends of a TLS connection
// know. It returns nil for a connection without TLS.
func exportSessionKey(conn net.Conn) ([]byte, error) {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	if err := t.Handshake(); err != nil {
		return nil, err
	}
	state := t.ConnectionState()
	return state.ExportKeyingMaterial(exporterLabel, nil, sha256.Size)
}

// serverHandshake authenticates both ends to each other. The timeout covers the whole
// handshake, so that a client that sends nothing does not hold the connection longer.
// It reports whether the connection is for a stream.
func serverHandshake(conn net.Conn, secrets [][]byte, timeout time.Duration) (stream bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	s, err := exportSessionKey(conn)
	if err != nil {
		return false, fmt.Errorf("tls: %w", err)
	}
	var h hello
	if err := binary.Read(conn, binary.BigEndian, &h); err != nil {
		return false, fmt.Errorf("hello: %w", err)
	}
	stream = h.Magic == streamMagic
	if h.Magic != helloMagic && !stream {
		return false, fmt.Errorf("hello: not this protocol: %w", ErrUnauthorized)
	}
	secret, index := findCommonSecret(h, secrets)
	if secret == nil {
		_ = binary.Write(conn, binary.BigEndian, challenge{})
		return false, fmt.Errorf("no secret in common: %w", ErrUnauthorized)
	}
	c := challenge{Accepted: true, Index: index}
	rand.Read(c.Nonce[:])
	c.Proof = computeProof(secret, serverRole, h.Nonce, c.Nonce, s)
	if err := binary.Write(conn, binary.BigEndian, c); err != nil {
		return false, fmt.Errorf("challenge: %w", err)
	}
	var proof [sha256.Size]byte
	if err := binary.Read(conn, binary.BigEndian, &proof); err != nil {
		return false, fmt.Errorf("proof: %w", err)
	}
	want := computeProof(secret, clientRole, h.Nonce, c.Nonce, s)
	if !hmac.Equal(proof[:], want[:]) {
		return false, fmt.Errorf("proof: %w", ErrUnauthorized)
	}
	return stream, conn.SetDeadline(time.Time{})
}

func findCommonSecret(h hello, secrets [][]byte) ([]byte, uint8) {
	for i := range min(h.Count, MaxSecrets) {
		for _, s := range secrets {
			if newSecretID(s) == h.IDs[i] {
				return s, i
			}
		}
	}
	return nil, 0
}

// OpenStream authenticates a connection to a peer's address and opens it for a stream of
// bytes, which the peer's handler of streams serves. It clears the connection's deadline.
func OpenStream(conn net.Conn, secrets [][]byte, timeout time.Duration) error {
	return clientHandshake(conn, streamMagic, secrets, timeout)
}

// clientHandshake is the client's counterpart of serverHandshake.
func clientHandshake(conn net.Conn, magic [4]byte, secrets [][]byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	s, err := exportSessionKey(conn)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	h := hello{Magic: magic, Count: uint8(len(secrets))}
	for i, secret := range secrets {
		h.IDs[i] = newSecretID(secret)
	}
	rand.Read(h.Nonce[:])
	if err := binary.Write(conn, binary.BigEndian, h); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	var c challenge
	if err := binary.Read(conn, binary.BigEndian, &c); err != nil {
		return fmt.Errorf("challenge: %w", err)
	}
	if !c.Accepted || int(c.Index) >= len(secrets) {
		return fmt.Errorf("no secret in common: %w", ErrUnauthorized)
	}
	secret := secrets[c.Index]
	want := computeProof(secret, serverRole, h.Nonce, c.Nonce, s)
	if !hmac.Equal(c.Proof[:], want[:]) {
		return fmt.Errorf("challenge: %w", ErrUnauthorized)
	}
	proof := computeProof(secret, clientRole, h.Nonce, c.Nonce, s)
	if err := binary.Write(conn, binary.BigEndian, proof); err != nil {
		return fmt.Errorf("proof: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}
