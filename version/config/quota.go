package config

import (
	"errors"
	"fmt"
	"math"
)

//go:generate go tool stringer -type=Unit -output=quota_string.go

// Unit is what a quota counts.
type Unit uint8

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request by the tokens of its prompt and the most of its answer.
	Tokens
)

// Quota is what a workspace may use within a time, over all nodes together. The zero
// value is no quota.
type Quota struct {
	Unit      Unit
	PerSecond float64 // 0: no quota
	// Burst is what may be used at once, beside PerSecond.
	Burst float64
	// Plain is what a request counts that states no tokens; only if Unit is Tokens.
	Plain float64
}

// maxQuota bounds what a quota may state: sums of it over hours stay exact to one unit.
const maxQuota = 1e12

// ErrQuota means that a quota can't be kept to as it is stated.
var ErrQuota = errors.New("bad quota")

// Check says what is wrong with a quota.
func (q Quota) Check() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"rate", q.PerSecond}, {"burst", q.Burst}, {"tokens of a plain request", q.Plain}} {
		if math.IsNaN(f.value) || f.value < 0 || f.value > maxQuota {
			return fmt.Errorf("%w: %s of %v is not from 0 to %.0f", ErrQuota, f.name, f.value, maxQuota)
		}
	}
	return nil
}

// Limited says whether there is a quota at all.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost is what a request counts. Stated says that it states its tokens.
func (q Quota) Cost(stated bool, tokens float64) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !stated:
		return q.Plain
	}
	return tokens
}
