package placement

//go:generate go tool stringer -type=Reason -output=reason_string.go

const (
	// Chosen is for policies that give no reason of their own.
	Chosen Reason = iota
	// WarmReplica is a member of the prefix's replica set that is expected
	// to have most of the prompt cached.
	WarmReplica
	// ColdReplica is a member of the replica set that has yet to compute it.
	ColdReplica
	// Spread is an upstream outside the replica set, as all members would
	// have taken longer.
	Spread
	// Import is an upstream that gets the prefix from another's cache first.
	Import
	// Fallback is the only upstream left.
	Fallback
)
