package capacity

import (
	"context"

	"github.com/dunlinmill/dunlinmill/connection/peer"
)

// Names of the slopes of the calls between nodes.
const (
	callMicros  = "peers, processor time of a call, both ends"
	callTraffic = "peers, bytes of a call on the socket"
	connHeap    = "peers, bytes of kept connections, both ends"
)

// Echo answers calls with what they bring.
type Echo struct{}

// Answer implements a method of net/rpc.
func (Echo) Answer(in []byte, out *[]byte) error {
	*out = in
	return nil
}

var peerSecrets = [][]byte{[]byte("capacity-secret-of-32-bytes-0000")}

func peerSlopes(cfg Config) ([]Slope, error) {
	server, err := peer.NewServer(peer.ServerConfig{Secrets: peerSecrets})
	if err != nil {
		return nil, err
	}
	defer func() { _ = server.Close() }()
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if err := server.Register("Echo", Echo{}); err != nil {
		return nil, err
	}
	client, err := peer.NewClient(peer.ClientConfig{Secrets: peerSecrets})
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	call := func(n int) func() {
		in := make([]byte, n)
		return func() {
			var out []byte
			if e := client.Call(context.Background(), address, "Echo.Answer", in, &out); e != nil {
				err = e
			}
		}
	}
	call(1)()
	sizes := []int{64, 512, 2048, 8192}
	const code = "connection/peer Client, Server"
	return []Slope{
		measured(callMicros, code, "µs", PerByte, sizes, func(n int) float64 { return processorMicros(cfg, call(n)) }),
		measured(callTraffic, code, "bytes", PerByte, sizes, func(n int) float64 {
			before := client.Stats()
			call(n)()
			after := client.Stats()
			return float64(after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut)
		}),
		measured(connHeap, code, "bytes", PerNode, []int{8, 32, 128, 360}, func(n int) float64 {
			return heldConnections(address, n)
		}),
	}, err
}

// heldConnections is what n clients take that each keep a connection.
func heldConnections(address string, n int) float64 {
	before := heapAndStacks()
	clients := make([]*peer.Client, 0, n)
	for range n {
		c, err := peer.NewClient(peer.ClientConfig{Secrets: peerSecrets})
		if err != nil {
			continue
		}
		clients = append(clients, c)
		var out []byte
		_ = c.Call(context.Background(), address, "Echo.Answer", make([]byte, 1000), &out)
	}
	bytes := heapAndStacks() - before
	for _, c := range clients {
		_ = c.Close()
	}
	return bytes
}
