package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// benchRegister returns a node that has read a register with a number of upstreams, and the records
// of a read that brings a heartbeat of each.
func benchRegister(b *testing.B, upstreams int) (*registerHandler, []keyed.Record) {
	b.Helper()
	l := newLearner()
	guards, err := guard.NewPair(func(*guard.Config) {})
	if err != nil {
		b.Fatal(err)
	}
	l.guards, l.metrics, l.log = guards, metric.New(), zap.NewNop()
	l.book.Accept(accepted.Configuration{Version: 1, Services: map[string]accepted.Service{"": {Name: ""}}})
	t := &registerHandler{learner: l, tellPeers: func(RegisterRead) {}}
	records := make([]keyed.Record, upstreams)
	for i := range records {
		records[i] = keyed.Record{Key: fmt.Sprintf("i-%d", i), Value: []byte("x"), Position: keyed.Position(i)}
	}
	t.Consume(time.Unix(1000, 0), keyed.Update{Records: records, Complete: true, Next: keyed.Position(upstreams)})
	return t, records
}

// BenchmarkRegister measures what a read of the register takes a node: the first one, one with
// heartbeats, and an empty one.
func BenchmarkRegister(b *testing.B) {
	for _, n := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(n, "/First"), func(b *testing.B) {
			for b.Loop() {
				benchRegister(b, n)
			}
		})
		b.Run(fmt.Sprint(n, "/Heartbeats"), func(b *testing.B) {
			t, records := benchRegister(b, n)
			for b.Loop() {
				t.Consume(time.Unix(1001, 0), keyed.Update{Records: records, From: keyed.Position(n), Next: keyed.Position(2 * n)})
			}
		})
		b.Run(fmt.Sprint(n, "/Nothing"), func(b *testing.B) {
			t, _ := benchRegister(b, n)
			for b.Loop() {
				t.Consume(time.Unix(1001, 0), keyed.Update{From: keyed.Position(n), Next: keyed.Position(n)})
			}
		})
	}
}
