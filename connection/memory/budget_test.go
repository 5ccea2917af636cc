package memory

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"time"
)

const kib = 1 << 10

var start = time.Unix(1000, 0)

// Guards against a claim that gives way though another owner holds more, or though another of its owner is older.
func TestOldestClaimOfLargestOwnerGivesWay(t *testing.T) {
	type claim struct {
		name, owner string
		kib         int64
		since       int // seconds
	}
	cases := []struct {
		name   string
		claims []claim
		want   string // gives way to a claim of 300 KiB
	}{
		{"the oldest", []claim{{"a", "x", 300, 2}, {"b", "x", 300, 1}, {"c", "x", 300, 3}}, "b"},
		{"of the owner that holds most", []claim{{"a", "x", 300, 1}, {"b", "y", 300, 2}, {"c", "y", 300, 3}}, "b"},
		{"none that holds nothing", []claim{{"a", "x", 0, 1}, {"b", "x", 500, 2}, {"c", "y", 400, 1}}, "b"},
	}
	for _, tt := range cases {
		b, got := NewBudget(1000*kib, 0), ""
		for _, c := range tt.claims {
			var k *Claim
			k = b.NewClaim(func() {
				got += c.name
				k.Release()
			})
			k.SetOwner(c.owner)
			k.AllowRevoke(start.Add(time.Duration(c.since) * time.Second))
			if err := k.Resize(c.kib * kib); err != nil {
				t.Fatalf("%s: %v", tt.name, err)
			}
		}
		if err := b.NewClaim(nil).Resize(300 * kib); err != nil || got != tt.want {
			t.Errorf("%s: %q gave way, want %q: %v", tt.name, got, tt.want, err)
		}
	}
}

// Guards against an ordinary request that is refused because large ones hold all memory.
func TestSmallClaimsHaveReserve(t *testing.T) {
	b := NewBudget(1000*kib, 250*kib)
	large := b.NewClaim(nil)
	if err := large.Resize(751 * kib); !errors.Is(err, ErrExhausted) {
		t.Errorf("a large claim takes the reserve: %v", err)
	}
	if err := large.Resize(750 * kib); err != nil {
		t.Error(err)
	}
	for range 3 {
		if err := b.NewClaim(nil).Resize(SmallBytes); err != nil {
			t.Errorf("a small claim: %v", err)
		}
	}
	if s := b.Stats(); s.Held != 750*kib+3*SmallBytes || s.Refused != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards against a whole request, or one that was told to give way, that loses its memory or keeps it.
func TestKeptClaimDoesNotGiveWay(t *testing.T) {
	b := NewBudget(100*kib, 0)
	kept := b.NewClaim(func() { t.Error("a kept claim is interrupted") })
	kept.AllowRevoke(start)
	if err := errors.Join(kept.Resize(100*kib), kept.Keep()); err != nil {
		t.Fatal(err)
	}
	if err := b.NewClaim(nil).Resize(kib); !errors.Is(err, ErrExhausted) {
		t.Errorf("%v", err)
	}
	kept.Release()
	revoked := b.NewClaim(func() {})
	revoked.AllowRevoke(start)
	if err := revoked.Resize(100 * kib); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- b.NewClaim(nil).Resize(100 * kib) }()
	for revoked.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := errors.Join(revoked.Keep(), revoked.Resize(kib)); !errors.Is(err, ErrRevoked) {
		t.Errorf("%v", err)
	}
	revoked.Release()
	if err := <-done; err != nil {
		t.Errorf("the memory of the revoked claim isn't given: %v", err)
	}
}

// Guards against bytes that are never given back, and against a sum above the limit, for any order of requests that
// grow, end, and give way.
func TestBudgetIsBalanced(t *testing.T) {
	const limit, workers, rounds = 1000 * kib, 16, 300
	for seed := uint64(1); seed <= 5; seed++ {
		b := NewBudget(limit, 100*kib)
		var work sync.WaitGroup
		for w := range workers {
			work.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(w)))
				for i := range rounds {
					playClaim(b, r, start.Add(time.Duration(i)*time.Second))
					if held := b.Stats().Held; held > limit {
						t.Errorf("seed %d: %d bytes are held", seed, held)
					}
				}
			})
		}
		work.Wait()
		b.mu.Lock()
		if b.held != 0 || b.revoking != 0 || len(b.revocable) != 0 || len(b.byOwner) != 0 {
			t.Errorf("seed %d: after all have ended: %d held, %d revoking, %d revocable, owners %v", seed, b.held, b.revoking, len(b.revocable), b.byOwner)
		}
		b.mu.Unlock()
	}
}

// playClaim plays one request, which may end at any point.
func playClaim(b *Budget, r *rand.Rand, now time.Time) {
	c := b.NewClaim(func() {})
	defer c.Release()
	if r.IntN(2) == 0 {
		c.SetOwner([]string{"a", "b", "c"}[r.IntN(3)])
	}
	c.AllowRevoke(now)
	for size := int64(kib); size < 400*kib; size *= 2 {
		if c.Resize(size) != nil || r.IntN(10) == 0 {
			return
		}
	}
	if c.Keep() == nil && r.IntN(2) == 0 {
		time.Sleep(time.Duration(r.IntN(200)) * time.Microsecond)
	}
}

// Guards against a body that is held as its client announces it, or read past its limit.
func TestReadAllGrowsWithWhatIsReceived(t *testing.T) {
	const limit = 1000 * kib
	cases := []struct {
		name           string
		sent, declared int
		err            error
		maxHeld        int64
	}{
		{"nothing sent of a long body", 0, limit, io.ErrUnexpectedEOF, maxFirstBufferBytes},
		{"cut off", 100 * kib, limit, io.ErrUnexpectedEOF, 200 * kib},
		{"whole", limit, limit, nil, limit},
		{"short", 5, 5, nil, 5 + minBufferBytes},
		{"of unknown length", 100 * kib, 0, nil, 200 * kib},
		{"as long as allowed, of unknown length", limit, 0, nil, limit + 1},
		{"too long, of unknown length", limit + 1, 0, ErrTooLarge, limit + 1},
	}
	for _, tt := range cases {
		var held int64
		body := Body{Declared: tt.declared, Limit: limit, Hold: func(n int64) error {
			held = max(held, n)
			return nil
		}}
		for _, r := range []io.Reader{bytes.NewReader(make([]byte, tt.sent)), iotest.OneByteReader(bytes.NewReader(make([]byte, tt.sent)))} {
			got, err := ReadAll(r, body)
			if !errors.Is(err, tt.err) || err == nil && len(got) != tt.sent || held > tt.maxHeld {
				t.Errorf("%s: %d bytes, %d held, %v", tt.name, len(got), held, err)
			}
		}
	}
}
