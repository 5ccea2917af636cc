package event

// Events of single requests.
const (
	// RequestPlaced: an upstream was chosen for a request, for the given reason; Content is the same for all tries of the same request, whatever their ids, Parts are the parts of its prompt that other requests may have too; CachedTokens is what the upstream's cache is expected to hold, Idle is the time that an engine without other work would take, Floored means that the request is sent although its wait exceeds the allowed one, because too few requests of its length were sent.
	RequestPlaced Event = iota + 100
	// RequestAnswered: the first token has arrived; CachedTokens is what the engine reports it had cached, Software its software version, EndsWithConnection that the answer has neither a length nor chunks, Relayed that it comes through another node.
	RequestAnswered
	// RequestRefused: the caller got a typed error before any answer; if the node had been told to stop, Leaving is the time from then to the refusal, and BegunAfterLeaving the time from then to the request's arrival.
	RequestRefused
	// RequestRetried: a send failed; Action is what is done about it. To do: if it continues for one upstream, check that upstream.
	RequestRetried
	// RequestFailed: an answer ended before its end mark, and the caller was told so or had disconnected; Code ShuttingDown: the node stopped. Leaving and BegunAfterLeaving are as for RequestRefused.
	RequestFailed
	// StreamResumed: the same engine continued a stream after its connection broke.
	StreamResumed
	// StreamContinued: another engine continues after the text that was passed on; Software is its software version, FormerSoftware that of the engine before.
	StreamContinued
	// StreamCancelled: the engine was told to stop a stream that nobody reads.
	StreamCancelled
	// PrefixImported: the chosen engine imported a stored prefix from another engine's cache before the request was sent.
	PrefixImported
	// PrefixNotImported: an import failed or was not started, for the given cause; the engine computes the prefix. To do: if it continues for one upstream, check that upstream, or set Placement.ImportRate to 0.
	PrefixNotImported
	// RequestServed: a request that was passed through got its whole answer; Status is the upstream's.
	RequestServed
	// RequestShed: the best upstream would have given the first token too late, so the request was refused; Excluded upstreams were not to be used; Allowed is the longest wait with which the request would have been sent, given Overload and its workspace's Share. LateByOthers: the floor of its length did not apply, as other work alone makes it late; otherwise LengthShare of the LengthCount recent requests of its length were sent, and ClassShare of all those compared with it. To do: if it continues, check whether engines are changing weights, ejected or gone; otherwise add engines.
	RequestShed
	// UpstreamPassedOver: an engine was chosen whose weights are being replaced, and a request might not begin there within BeginWithin, the time that is left for the old weights; another engine is chosen. To do: if it continues, find out why the roll-out makes no progress.
	UpstreamPassedOver
	// RequestSuspected: an upstream's process ended while it had a request of this Content, or one whose prompt has this Part, as Grain says; Ends counts such ends, Nodes saw them, Age is the time since the first. Most did not cause the end and are cleared.
	RequestSuspected
	// RequestHeld: several upstreams have ended, one after the other, while they had requests of this Content, or with this Part in their prompts, and none has survived one; such requests are refused for Hold. To do: look at what the request asks, by its RequestPlaced lines, and at what the upstreams logged as they ended; inform its caller.
	RequestHeld
	// RequestTried: the time for which requests of this Content or with this Part are held is over, and one is sent to see whether upstreams survive it now.
	RequestTried
	// RequestCleared: an upstream has survived a request of this Content or with this Part, or its Ends are accounted for by another one that is held; it is no longer held.
	RequestCleared
	// QuarantineRead: the held requests were read from the platform's records; Error names those that could not be read.
	QuarantineRead
	// QuarantineMissed: the records of the held requests could not be read or written; this is retried. To do: if it continues, check the platform; held requests that are not recorded are accepted again if all nodes are lost at once.
	QuarantineMissed
	// QuotaExceeded: a request exceeds its workspace's quota and was refused without running; Cost is what it counts against the quota, ComeBack the time until it would be within the quota, after those refused before it. To do: see in the QuotaUsed lines of the workspace who uses the quota.
	QuotaExceeded
	// QuotaUsed: a workspace's quota was too small for its requests since the last such line of this node; ByNode is what each node admitted. It is logged by the node that the others ask, see QuotaAllocator.
	QuotaUsed
	// QuotaAllocator: a different node than before is asked for what workspaces may use.
	QuotaAllocator
	// QuotaMissed: the node that was asked for what workspaces may use did not answer; another one is asked, and finally this one, which has only its own part of the quotas. To do: if it continues, check that node and the network path to it.
	QuotaMissed
	// StreamResumeResolved: a caller asked for the rest of a stream of which it has the events up to LastEvent, and which its attempt FirstAttempt began. Outcome says how Pool and Software were found where the stream began: OriginOwn, this node knew it; OriginTold, one of the nodes Asked did, of which Answered have replied by then; OriginOnlyVersion, all streams of the Route that can still be resumed have begun there, by the ledger as it was read for this request and by what this node has seen; OriginUnknown, it was not found and the request is refused, as there are several Origins, or as the ledger could not be read or lists none for the Route (LedgerRead is false). To do: if OriginUnknown continues, see whether callers name the first attempt, whether the nodes that know were lost, and whether the ledger is written (LedgerMissed).
	StreamResumeResolved
	// SoftwareNotConfirmed: an engine that keeps its name over restarts gave the first event of a stream, and could not be shown to be the start that registered, as it did not answer; if the stream breaks, it can't go on, and the ledger lists an unknown origin for its route. To do: if it continues for one upstream, check why it does not answer.
	SoftwareNotConfirmed
	// OriginsNotTold: none of the Peers could be told where Streams of this node began; if this node is lost, their callers can't resume them while several software versions serve. To do: if it continues, check these nodes and the network path to them.
	OriginsNotTold
	// LedgerRead: the ledger of where streams may have begun was read for the first time, or for the first time since the platform returned from an older copy. If it is not Written or not Current, it may lack what served before, and resumed streams go on only where nodes know where they began.
	LedgerRead
	// LedgerWritten: the ledger was written, as streams of a route begin at an origin that it did not list, or have not for long.
	LedgerWritten
	// LedgerMissed: the ledger could not be read or written; this is retried, and logged again after a success. To do: if it continues, check the platform; meanwhile resumed streams go on only where nodes know where they began.
	LedgerMissed
	// OriginNotListed: a stream began at an origin that the ledger does not list, as it could not be written in time; other nodes were told. To do: as for LedgerMissed.
	OriginNotListed
)
