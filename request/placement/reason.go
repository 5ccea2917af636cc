package placement

//go:generate go tool stringer -type=Reason -output=reason_string.go

const (
	// Chosen is the reason of policies that do not distinguish reasons.
	Chosen Reason = iota
	// WarmReplica is a member of the prefix's replica set that is expected to have a
	// large part of the prompt cached.
	WarmReplica
	// ColdReplica is a member of the replica set that still has to compute the prompt.
	ColdReplica
	// Spread is an upstream outside the replica set, chosen because every member would
	// cost more.
	Spread
	// Import is an upstream that first imports the prefix from another cache.
	Import
	// Fallback is the only upstream left.
	Fallback
)
