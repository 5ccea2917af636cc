package event

// Events of the configuration, its plans and the planner.
const (
	// ConfigInForce says that a newer configuration has been applied.
	ConfigInForce Event = iota + 300
	// ConfigFromSnapshot says that a node caught up by a snapshot, as the log no longer holds the records.
	ConfigFromSnapshot
	// ConfigFromPeer says that a peer gave newer records while the log wasn't reached.
	ConfigFromPeer
	// ConfigFromFile says that the node serves the settings' last-known file, not known to be current. To do: see to the platform and the peers; the file may be older than the accepted configuration.
	ConfigFromFile
	// ConfigLogLost says that the log is not reached and the configuration isn't known to be current any more. To do: see to the platform; no change can be accepted meanwhile.
	ConfigLogLost
	// ConfigLogBack says that the log is read again.
	ConfigLogBack
	// ConfigGap says that neither the log nor a snapshot nor a peer has the records this node needs. To do: see to the log and its snapshots; this node keeps what it has.
	ConfigGap
	// RecordSkipped says that a record of an unknown type was kept and skipped. To do: bring this node to the version that wrote the record.
	RecordSkipped
	// SnapshotMade says that a snapshot was appended.
	SnapshotMade
	// SnapshotFailed says that a snapshot could not be appended; it is tried again. To do: see to the platform before the log trims the records not covered.
	SnapshotFailed
	// LeaseTaken says that this node carries out plans from now on.
	LeaseTaken
	// LeaseLost says that this node carries out plans no longer. To do: nothing, another node takes over; often repeated, look for pauses of the nodes.
	LeaseLost
	// StepBegun says that a step of a plan begins.
	StepBegun
	// StepDone says that a step of a plan was read back and holds.
	StepDone
	// StepFailed says that a try of a step failed. To do: nothing, it is tried again; read the plan when it goes on.
	StepFailed
	// PlanPaused says that a plan waits for an operator, with the reason. To do: read the plan with its reason, then resume, abort or undo it.
	PlanPaused
	// OrderGiven says that an upstream was ordered to a state.
	OrderGiven
	// OrderFailed says that an order wasn't taken; the upstream's state decides what follows. To do: nothing, the order is given again; see to the upstream when it goes on.
	OrderFailed
	// PlannerHeldUp says that a record of the planner could not be written or was refused. To do: nothing for a single one; when it goes on, see to the platform.
	PlannerHeldUp
	// UpstreamRepaired says that an engine lacks the weights in force and is loaded with them again. To do: find out why the engine lost its weights when it goes on; it is being put right.
	UpstreamRepaired
	// PublicationUnreadable says that a record that operators published can't be read; what is in force stays. To do: bring this node to the version that the record needs, or publish it anew.
	PublicationUnreadable
	// WeightsNamed says that newer weights of a model were named; the engines are brought to them.
	WeightsNamed
	// LeaseNotGivenBack says that this node left without giving the duty back; it runs out by itself.
	LeaseNotGivenBack
	// LeaseLooked says that this node has heard no sign of a holder of the duty and has asked the platform whether there is one.
	LeaseLooked
	// LeaseNotConfirmed says that the platform did not answer in time as this node asked for the duty, or to keep it; without a later answer it runs out. To do: nothing for a single one; when it goes on, see to this node's way to the platform.
	LeaseNotConfirmed
)
