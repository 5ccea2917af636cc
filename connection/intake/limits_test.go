package intake

import "testing"

// Guards against limits that leave a process nothing beside its clients, or that a single request of full size exceeds.
func TestLimitsLeaveRoom(t *testing.T) {
	const mib = 1 << 20
	cases := []struct {
		name string
		m    Machine
	}{
		{"smallest VM", Machine{Memory: 134 * mib, Descriptors: 3075, Files: 200}},
		{"usual VM", Machine{Memory: 284 * mib, Descriptors: 4100, Files: 200}},
		{"few descriptors", Machine{Memory: 134 * mib, Descriptors: 300, Files: 200}},
		{"many descriptors", Machine{Memory: 1024 * mib, Descriptors: 1 << 20}},
	}
	for _, tt := range cases {
		l := tt.m.Limits()
		sockets := tt.m.Descriptors - tt.m.Files
		if taken := l.Callers + l.Probes + l.Operators + l.Handshakes; taken > sockets*9/10 {
			t.Errorf("%s: clients may take %d of %d sockets", tt.name, taken, sockets)
		}
		if held := l.Budget + int64(l.Callers)*connectionBytes; held > tt.m.Memory*6/10 {
			t.Errorf("%s: clients may take %d of %d bytes", tt.name, held, tt.m.Memory)
		}
		if body := l.Budget - l.Reserve; body < 8*mib {
			t.Errorf("%s: %d bytes for large bodies", tt.name, body)
		}
		if l.Callers < 1 || l.Probes < 1 || l.Operators < 1 || l.Handshakes < 1 {
			t.Errorf("%s: %+v", tt.name, l)
		}
	}
}
