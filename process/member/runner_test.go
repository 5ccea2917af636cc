package member

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
)

var testSecrets = [][]byte{[]byte("a-secret-of-the-tests")}

// startRunner gives a running node over real connections.
func startRunner(t *testing.T, cfg Config) *Runner {
	t.Helper()
	server, err := peer.NewServer(peer.ServerConfig{Secrets: testSecrets})
	if err != nil {
		t.Fatal(err)
	}
	client, err := peer.NewClient(peer.ClientConfig{Secrets: testSecrets})
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Address, err = server.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	cfg.Incarnation = time.Now().UnixNano()
	cfg.Interval = 20 * time.Millisecond
	cfg.ProbeTimeout = 5 * time.Second
	r, err := NewRunner(cfg, client, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register(ServiceName, r.Service()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		server.Close()
		client.Close()
	})
	return r
}

// eventually waits for what must come; only a fault makes it run out.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

func TestRunnersMeetOverConnections(t *testing.T) {
	a := startRunner(t, Config{Name: "A", DataCentre: "one"})
	b := startRunner(t, Config{Name: "B", DataCentre: "one", Seeds: []string{a.Self().Address}})
	c := startRunner(t, Config{Name: "C", DataCentre: "two", Seeds: []string{b.Self().Address}})
	if err := c.Publish(time.Now(), "Load", []byte("17")); err != nil {
		t.Fatal(err)
	}
	c.SetOffset(9)
	eventually(t, "A, B and C see each other", func() bool {
		now := time.Now()
		return len(a.Live(now)) == 3 && len(b.Live(now)) == 3 && len(c.LiveIn(now, "one")) == 2
	})
	eventually(t, "A holds C's value", func() bool {
		v := a.Latest("Load")
		return len(v) == 1 && v[0].Node == "C" && string(v[0].Value) == "17"
	})
	eventually(t, "A asks C for the configuration", func() bool {
		m, ok := a.Ahead(time.Now())
		return ok && m.Name == "C"
	})
	b.Leave()
	eventually(t, "B gets no new work", func() bool { return len(a.Live(time.Now())) == 2 })
}
