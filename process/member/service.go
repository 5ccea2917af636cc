package member

import (
	"context"
	"fmt"
	"time"
)

// Service is the receiver that peers call; net/rpc publishes its methods.
type Service struct {
	runner *Runner
}

// Service returns the receiver to register under ServiceName.
func (r *Runner) Service() *Service { return &Service{runner: r} }

// ProbeRequest asks a peer to probe a member.
type ProbeRequest struct {
	Address string
}

// PingRequest asks a node for its own record only.
type PingRequest struct{}

// Exchange merges a heartbeat and answers with one.
func (s *Service) Exchange(m Message, answer *Message) error {
	*answer = s.runner.Receive(time.Now(), m)
	return nil
}

// Sync exchanges whole tables.
func (s *Service) Sync(snapshot Snapshot, answer *Snapshot) error {
	*answer = s.runner.Snapshot(time.Now())
	s.runner.MergeSnapshot(time.Now(), snapshot)
	return nil
}

// Ping answers with this node's own record.
func (s *Service) Ping(_ PingRequest, answer *Record) error {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	*answer = s.runner.self
	return nil
}

// Probe pings a member for a peer that cannot reach it. It accepts only the
// addresses of members, so that a peer cannot make this node call arbitrary
// addresses.
func (s *Service) Probe(r ProbeRequest, answer *Record) error {
	if !s.runner.isMemberAddress(r.Address) {
		return fmt.Errorf("probe %s: %w", r.Address, ErrUnknownAddress)
	}
	network := rpcNetwork{caller: s.runner.caller, cfg: s.runner.cfg}
	return network.call(context.Background(), network.cfg.ProbeTimeout, r.Address, "Ping", PingRequest{}, answer)
}
