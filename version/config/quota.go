package config

import (
	"errors"
	"fmt"
	"math"
)

//go:generate go tool stringer -type=Unit -output=quota_string.go

// Unit is the unit in which a quota is counted.
type Unit uint8

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request by its prompt tokens plus the most tokens that its
	// answer may have.
	Tokens
)

// Quota bounds what a workspace may use over time, over all nodes together. The zero
// value is no quota.
type Quota struct {
	Unit      Unit
	PerSecond float64 // 0: no quota
	// Burst is how many units may be used at once in addition to PerSecond.
	Burst float64
	// Plain is the cost of a request that doesn't state its tokens. It applies only
	// if Unit is Tokens.
	Plain float64
}

// maxQuota bounds each value of a quota, so that sums over hours stay exact to one
// unit.
const maxQuota = 1e12

// ErrQuota means that a value of a quota is out of range.
var ErrQuota = errors.New("bad quota")

// Check returns an error if a value of the quota is out of range.
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

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request counts. stated reports whether the request states its
// tokens.
func (q Quota) Cost(stated bool, tokens float64) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !stated:
		return q.Plain
	}
	return tokens
}
