package caller

import (
	"net"
	"testing"
)

// A caller goes away while its request waits: nothing is written to it that
// would fail, and its place is held for nobody.
func TestWatcherNoticesThatACallerIsGone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var w watcher
	for range 2 { // the second time after the table was empty
		stays, server := connect(t, ln)
		leaves, served := connect(t, ln)
		ctx, stop := w.watch(server)
		lost, stopLost := w.watch(served)
		if _, err := stays.Write([]byte("more")); err != nil {
			t.Fatal(err)
		}
		if err := leaves.Close(); err != nil {
			t.Fatal(err)
		}
		<-lost.Done()
		if ctx.Err() != nil || gone(server) {
			t.Error("a caller that sent more counts as gone")
		}
		stop()
		stopLost()
		if len(w.conns) > 0 {
			t.Errorf("%d connections are kept", len(w.conns))
		}
	}
}

func connect(t *testing.T, ln net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}
