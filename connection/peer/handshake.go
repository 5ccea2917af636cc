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

// The handshake, before the first call:
//
//	client: hello{identifiers of its secrets, nonce}
//	server: challenge{which of them both have, nonce, its proof}
//	client: proof
//
// A proof is the HMAC-SHA-256 of the role, both nonces and the TLS session
// under the shared secret. The role keeps one end's proof from being sent
// back to it as the other's; the session keeps a proof from being relayed
// out of another TLS connection. Each end offers all secrets that it holds,
// so that the fleet goes from one secret to the next in two passes, {old},
// {new, old}, {new}, while nodes of neighbouring passes still agree.

const (
	nonceBytes    = 32
	exporterLabel = "EXPORTER-dunlinmill-peer"
	serverRole    = "server"
	clientRole    = "client"
)

var helloMagic = [4]byte{'D', 'M', 'P', '1'}

type secretID [8]byte

type hello struct {
	Magic [4]byte
	Count uint8
	IDs   [MaxSecrets]secretID
	Nonce [nonceBytes]byte
}

type challenge struct {
	Accepted bool
	Index    uint8 // into hello.IDs
	Nonce    [nonceBytes]byte
	Proof    [sha256.Size]byte
}

func identify(secret []byte) secretID {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("identifier"))
	return secretID(m.Sum(nil)[:len(secretID{})])
}

func prove(secret []byte, role string, client, server [nonceBytes]byte, session []byte) [sha256.Size]byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(role))
	m.Write(client[:])
	m.Write(server[:])
	m.Write(session)
	return [sha256.Size]byte(m.Sum(nil))
}

// session gives what both ends of one TLS connection know and nobody else;
// nothing without TLS.
func session(conn net.Conn) ([]byte, error) {
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

// serverHandshake proves this end to the caller and has the caller prove
// itself, all within timeout, so that a caller that says nothing holds a
// connection no longer.
func serverHandshake(conn net.Conn, secrets [][]byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	s, err := session(conn)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	var h hello
	if err := binary.Read(conn, binary.BigEndian, &h); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	if h.Magic != helloMagic {
		return fmt.Errorf("hello: not this protocol: %w", ErrUnauthorized)
	}
	secret, index := common(h, secrets)
	if secret == nil {
		_ = binary.Write(conn, binary.BigEndian, challenge{})
		return fmt.Errorf("no secret in common: %w", ErrUnauthorized)
	}
	c := challenge{Accepted: true, Index: index}
	rand.Read(c.Nonce[:])
	c.Proof = prove(secret, serverRole, h.Nonce, c.Nonce, s)
	if err := binary.Write(conn, binary.BigEndian, c); err != nil {
		return fmt.Errorf("challenge: %w", err)
	}
	var proof [sha256.Size]byte
	if err := binary.Read(conn, binary.BigEndian, &proof); err != nil {
		return fmt.Errorf("proof: %w", err)
	}
	want := prove(secret, clientRole, h.Nonce, c.Nonce, s)
	if !hmac.Equal(proof[:], want[:]) {
		return fmt.Errorf("proof: %w", ErrUnauthorized)
	}
	return conn.SetDeadline(time.Time{})
}

func common(h hello, secrets [][]byte) ([]byte, uint8) {
	for i := range min(h.Count, MaxSecrets) {
		for _, s := range secrets {
			if identify(s) == h.IDs[i] {
				return s, i
			}
		}
	}
	return nil, 0
}

// clientHandshake is the calling end of serverHandshake.
func clientHandshake(conn net.Conn, secrets [][]byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	s, err := session(conn)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	h := hello{Magic: helloMagic, Count: uint8(len(secrets))}
	for i, secret := range secrets {
		h.IDs[i] = identify(secret)
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
	want := prove(secret, serverRole, h.Nonce, c.Nonce, s)
	if !hmac.Equal(c.Proof[:], want[:]) {
		return fmt.Errorf("challenge: %w", ErrUnauthorized)
	}
	proof := prove(secret, clientRole, h.Nonce, c.Nonce, s)
	if err := binary.Write(conn, binary.BigEndian, proof); err != nil {
		return fmt.Errorf("proof: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}
