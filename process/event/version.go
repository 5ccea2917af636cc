package event

// Events of the configuration, its plans and the planner.
const (
	// ConfigInForce: a newer configuration has been applied.
	ConfigInForce Event = iota + 300
	// ConfigFromSnapshot: a node caught up from a snapshot, as the log no longer holds the records.
	ConfigFromSnapshot
	// ConfigFromPeer: a peer supplied newer records while the log could not be reached.
	ConfigFromPeer
	// ConfigFromFile: the node serves with the settings' last-known file, which is not known to be current. To do: check the platform and the peers; the file may be older than the accepted configuration.
	ConfigFromFile
	// ConfigLogLost: the log cannot be reached, and the configuration is no longer known to be current. To do: check the platform; no change can be accepted meanwhile.
	ConfigLogLost
	// ConfigLogBack: the log can be read again.
	ConfigLogBack
	// ConfigGap: neither the log nor a snapshot nor a peer has the records that this node needs. To do: check the log and its snapshots; this node keeps the configuration that it has.
	ConfigGap
	// RecordSkipped: a record of an unknown type was kept and skipped. To do: upgrade this node to the version that wrote the record.
	RecordSkipped
	// SnapshotMade: a snapshot was appended.
	SnapshotMade
	// SnapshotFailed: a snapshot could not be appended; this is retried. To do: check the platform before the log trims the records that no snapshot covers.
	SnapshotFailed
	// LeaseTaken: this node executes plans from now on.
	LeaseTaken
	// LeaseLost: this node no longer executes plans. To do: nothing, another node takes over; if it happens often, look for pauses of the nodes.
	LeaseLost
	// StepBegun: a step of a plan begins.
	StepBegun
	// StepDone: a step of a plan was read back and is in effect.
	StepDone
	// StepFailed: an attempt at a step failed. To do: nothing, it is retried; read the plan if it continues.
	StepFailed
	// PlanPaused: a plan waits for an operator, for the given reason. To do: read the plan with its reason, then resume, abort or undo it.
	PlanPaused
	// OrderGiven: an upstream was ordered into a state.
	OrderGiven
	// OrderFailed: an order was not accepted; the upstream's state decides what follows. To do: nothing, the order is given again; check the upstream if it continues.
	OrderFailed
	// PlannerHeldUp: a record of the planner could not be written or was refused. To do: nothing for a single one; if it continues, check the platform.
	PlannerHeldUp
	// UpstreamRepaired: an engine lacks the weights in force and is loaded with them again. To do: the engine is being repaired; if it continues, find out why the engine lost its weights.
	UpstreamRepaired
	// PublicationUnreadable: a record that operators published cannot be read; what is in force stays. To do: upgrade this node to the version that the record needs, or publish it again.
	PublicationUnreadable
	// WeightsNamed: newer weights of a model were named; the engines are changed to them.
	WeightsNamed
	// LeaseNotGivenBack: this node left without giving back the duty to give orders; the duty expires by itself.
	LeaseNotGivenBack
	// LeaseLooked: this node has seen no sign of a holder of the duty to give orders and has asked the platform whether there is one.
	LeaseLooked
	// LeaseNotConfirmed: the platform did not answer in time when this node asked to get or keep the duty to give orders; without a later answer the duty expires. To do: nothing for a single one; if it continues, check this node's connection to the platform.
	LeaseNotConfirmed
	// LeaseGivenBack: this node has given back the duty to give orders, as it stops or has lost its path to the engines while other nodes reach them. To do: nothing.
	LeaseGivenBack
	// ReleaseOrdered: operators have ordered a service to be moved to a software version within Duration; Order is the offset of their record. Invalid says why the order can't be carried out, Withdrawn that it was removed.
	ReleaseOrdered
	// ReleaseStep: the roll-out of a software version goes on as Phase says; up to Share of the requests go to Upstreams of its upstreams (0: to all).
	ReleaseStep
	// ReleaseJudged: the answers of the two software versions of a service were compared; Test, Worse, Of, Expected and P are of the most significant comparison: Worse of the new version's answers, Of all, are failures or slow on Route (empty: on all), where a share of Expected is tolerated, and P is the probability of that if the version is as good as the other one.
	ReleaseJudged
	// ReleaseComplete: a service has been moved to the software version that was ordered, and its former upstreams may stop.
	ReleaseComplete
	// ReleaseRolledBack: a software version gets no more requests, for the given Reason. To do: if the version was worse, see its ReleaseJudged lines and what its upstreams logged; if its time was over, order it again with more time, or see why its upstreams did not come up.
	ReleaseRolledBack
	// ReleaseNotRecorded: the state of a roll-out could not be read from the platform or recorded there; this is retried. To do: if it continues, check the platform; the roll-out goes on all the same, but can't be completed.
	ReleaseNotRecorded
	// TopicRestarted: the platform does not have the records of a topic from Position on, which is its era and the offset, or has returned from an older copy; its newest records are read again.
	TopicRestarted
	// TopicRead: the newest record of each key of a topic was read, up to Position, from the platform or from a peer.
	TopicRead
	// TopicAnswerRefused: answers about a topic are refused, as they end before Position, up to which this node has read it; logged for the first one of several. To do: if it continues, compare the platform's records with what this node has in force; a restarted node reads them anew.
	TopicAnswerRefused
	// PlatformReturned: the platform has returned from an older copy, in the era Era; what it lost is written again, by this node too, and the configuration counts as the newest one only once the operators' part is. To do: check that the operators' newest records are there; ConfigMadeGood tells when the configuration is.
	PlatformReturned
	// ConfigMadeGood: the platform lists a configuration again that is as new as the one in force, After its return.
	ConfigMadeGood
	// TenureRead: this node holds the duty and has read who acted last; it may act after Wait, which is derived from Basis.
	TenureRead
	// TenureBegun: this node has recorded on the platform that it may act.
	TenureBegun
	// TenureEnded: this node has recorded on the platform that nobody has acted for Idle, so that its successor waits that much less.
	TenureEnded
	// TenureCallFailed: the record of who may act could not be read or written; this is retried. To do: if it continues, check the platform; upstreams get no orders meanwhile.
	TenureCallFailed
	// OwnRecordUnreadable: the value of Key in a topic that the nodes themselves write cannot be read; it counts as if it were not there, and what else the topic holds stays in use. Logged once for each value. To do: find out who else writes to the topic.
	OwnRecordUnreadable
)
