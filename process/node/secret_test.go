package node

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap"
)

// The fleet's secret is changed while nodes run. A file that is being written,
// or that was emptied by mistake, must leave the former secrets in force: a
// node without any would refuse its peers and be refused by them.
func TestSecretsAreChangedWithoutRestart(t *testing.T) {
	errNone := errors.New("no secret")
	file := filepath.Join(t.TempDir(), "secrets")
	var inForce []string
	w := &secretWatcher{file: file, last: []byte("old"), logger: zap.NewNop(), set: func(secrets [][]byte) error {
		if len(secrets) == 0 {
			return errNone
		}
		inForce = nil
		for _, s := range secrets {
			inForce = append(inForce, string(s))
		}
		return nil
	}}
	steps := []struct {
		name string
		text string
		want []string
	}{
		{"unchanged", "old\n", nil},
		{"new one added", "old\nnew\n", []string{"old", "new"}},
		{"emptied", "", []string{"old", "new"}},
		{"new one first", "new\nold", []string{"new", "old"}},
		{"old one out", "new\n", []string{"new"}},
	}
	for _, s := range steps {
		if err := os.WriteFile(file, []byte(s.text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.look()
		if len(inForce) != len(s.want) {
			t.Errorf("%s: %q in force, want %q", s.name, inForce, s.want)
			continue
		}
		for i := range s.want {
			if inForce[i] != s.want[i] {
				t.Errorf("%s: %q in force, want %q", s.name, inForce, s.want)
			}
		}
	}
}
