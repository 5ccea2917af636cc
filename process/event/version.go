package event

// Events of the configuration, its plans and the planner.
const (
	// ConfigInForce says that a newer configuration has been applied.
	ConfigInForce Event = iota + 300
	// ConfigFromSnapshot says that a node caught up by a snapshot, as the log no longer holds the records.
	ConfigFromSnapshot
	// ConfigFromPeer says that a peer gave newer records while the log wasn't reached.
	ConfigFromPeer
	// ConfigFromFile says that the node serves the settings' last-known file, not known to be current.
	ConfigFromFile
	// ConfigLogLost says that the log is not reached and the configuration isn't known to be current any more.
	ConfigLogLost
	// ConfigLogBack says that the log is read again.
	ConfigLogBack
	// ConfigGap says that neither the log nor a snapshot nor a peer has the records this node needs.
	ConfigGap
	// RecordSkipped says that a record of an unknown type was kept and skipped.
	RecordSkipped
	// SnapshotMade says that a snapshot was appended.
	SnapshotMade
	// SnapshotFailed says that a snapshot could not be appended; it is tried again.
	SnapshotFailed
	// LeaseTaken says that this node carries out plans from now on.
	LeaseTaken
	// LeaseLost says that this node carries out plans no longer.
	LeaseLost
	// StepBegun says that a step of a plan begins.
	StepBegun
	// StepDone says that a step of a plan was read back and holds.
	StepDone
	// StepFailed says that a try of a step failed.
	StepFailed
	// PlanPaused says that a plan waits for an operator, with the reason.
	PlanPaused
	// OrderGiven says that an upstream was ordered to a state.
	OrderGiven
	// OrderFailed says that an order wasn't taken; the upstream's state decides what follows.
	OrderFailed
	// PlannerHeldUp says that a record of the planner could not be written or was refused.
	PlannerHeldUp
)
