package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a full table in which a connection that does more gives way before one that does less.
func TestTableReplacesLeastUsefulConnection(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	type conn struct {
		name  string
		stage Stage
		since int // seconds after the start
	}
	cases := []struct {
		name  string
		conns []conn
		want  string // closed for the new one; empty: the new one is refused
	}{
		{"the longest idle", []conn{{"a", Idle, 3}, {"b", Idle, 1}, {"c", Idle, 2}}, "b"},
		{"idle before receiving", []conn{{"a", Receiving, 1}, {"b", Idle, 9}}, "b"},
		{"the longest receiving", []conn{{"a", Serving, 0}, {"b", Receiving, 5}, {"c", Receiving, 4}}, "c"},
		{"none that serves", []conn{{"a", Serving, 0}, {"b", Serving, 1}}, ""},
	}
	for _, tt := range cases {
		table, closed := NewTable(len(tt.conns)), ""
		tracked := map[string]*Tracked{}
		for _, c := range tt.conns {
			k, ok := table.Add(at(0), func() { closed += c.name })
			if !ok || !k.SetStage(at(c.since), c.stage) {
				t.Fatalf("%s: %s has no place", tt.name, c.name)
			}
			tracked[c.name] = k
		}
		_, ok := table.Add(at(10), func() {})
		if closed != tt.want || ok != (tt.want != "") {
			t.Errorf("%s: closed %q, want %q; added: %v", tt.name, closed, tt.want, ok)
		}
		if tt.want != "" && tracked[tt.want].SetStage(at(11), Serving) {
			t.Errorf("%s: a closed connection goes on to be served", tt.name)
		}
		if n := table.Stats().Open; n != len(tt.conns) {
			t.Errorf("%s: %d connections are open, %d are allowed", tt.name, n, len(tt.conns))
		}
	}
}

// failingListener fails to accept some times before it is closed.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return nil, net.ErrClosed
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// countedEvents counts the failures to accept.
type countedEvents struct{ notAccepted int }

func (e *countedEvents) NotAccepted(error) { e.notAccepted++ }
func (*countedEvents) Replaced(net.Addr)   {}
func (e *countedEvents) Refused(net.Addr)  {}

// Guards against a server that ends because a connection can't be accepted for the moment.
func TestListenerOutlastsFailuresToAccept(t *testing.T) {
	e := &countedEvents{}
	failures := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED}
	l := NewListener(&failingListener{failures: failures}, NewTable(1), e)
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
	if e.notAccepted != len(failures) {
		t.Errorf("told of %d failures of %d", e.notAccepted, len(failures))
	}
}

// Guards against a place in the table that is lost, or freed twice, when its connection closes.
func TestListenerFreesPlaces(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(2)
	l := NewListener(ln, table, &countedEvents{})
	defer func() { _ = l.Close() }()
	for range 10 {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = server.Close()
		_ = server.Close()
		_ = client.Close()
		if n := table.Stats().Open; n != 0 {
			t.Fatalf("%d connections are open", n)
		}
	}
}
