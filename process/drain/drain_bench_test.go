package drain

import (
	"context"
	"testing"
)

// BenchmarkBound measures what the bound by the stop costs one request.
func BenchmarkBound(b *testing.B) {
	s := New()
	defer s.Close()
	for b.Loop() {
		_, release := s.Bound(context.Background())
		release()
	}
}
