package event

// Events of single requests.
const (
	// RequestPlaced: an upstream was chosen for a request, for the reason given; Content is the same for tries of the same request, under whatever id; CachedTokens is what its cache is expected to hold, Idle what an engine without other work would take, Floored that it is sent beyond the wait allowed as too few of its length were.
	RequestPlaced Event = iota + 100
	// RequestAnswered: the first token has come; CachedTokens is what the engine says it had cached.
	RequestAnswered
	// RequestRefused: the caller got a typed error before any answer; Leaving is for how long the node had been told to stop by then, BegunAfterLeaving how long after that the request came.
	RequestRefused
	// RequestRetried: a send failed, and Action says what is done about it. To do: when it goes on for one upstream, look at that upstream.
	RequestRetried
	// RequestFailed: an answer ended before its end mark, and the caller was told so, or had gone; Code ShuttingDown: the node stopped. Leaving and BegunAfterLeaving are as for RequestRefused.
	RequestFailed
	// StreamResumed: the same engine went on with a stream after its connection broke.
	StreamResumed
	// StreamContinued: another engine goes on after the text that was passed on.
	StreamContinued
	// StreamCancelled: the engine was told to stop a stream that nobody reads.
	StreamCancelled
	// PrefixImported: the chosen engine got a kept prefix from another engine's cache before the request was sent.
	PrefixImported
	// PrefixNotImported: an import failed or was not begun, for the cause given; the engine computes the prefix. To do: when it goes on for one upstream, look at that upstream, or set Placement.ImportRate to 0.
	PrefixNotImported
	// RequestServed: a request that was passed through has got its whole answer; Status is the upstream's.
	RequestServed
	// RequestShed: the best upstream would have given the first token too late for the request, which was refused; Excluded upstreams were not to be used; Allowed is the longest wait with which it would have been sent, by Overload and its workspace's Share. To do: when it goes on, look whether engines are changing weights, ejected or gone; else add engines.
	RequestShed
	// UpstreamPassedOver: an engine was chosen whose weights were replaced, and a request might not begin there in the time BeginWithin that is left for them; another one is chosen. To do: when it goes on, look why the roll-out does not get on.
	UpstreamPassedOver
	// RequestSuspected: an upstream's process ended while it had a request of this Content; Ends counts such ends, Nodes saw them, Age is that of the first. Most are on the spot by chance, and cleared.
	RequestSuspected
	// RequestHeld: upstreams have ended one after the other under requests of this Content, and none has lived through one; they are refused for Hold. To do: look what the request asks, by its RequestPlaced lines, and what the upstreams logged as they ended; tell its caller.
	RequestHeld
	// RequestTried: the time for which requests of this Content are held is over, and one is sent to see whether upstreams live through it now.
	RequestTried
	// RequestCleared: an upstream has lived through a request of this Content; it is held no more.
	RequestCleared
	// QuarantineRead: the requests that are held were read from the platform's records; those that could not be read are in the error.
	QuarantineRead
	// QuarantineMissed: the records of the requests that are held could not be read or written; it is tried again. To do: when it goes on, see to the platform; held requests that are not recorded come back if all nodes are lost at once.
	QuarantineMissed
	// QuotaExceeded: a request is beyond its workspace's quota and was refused as not run; Cost is what it counts, ComeBack when it would be within the quota, behind those refused before it. To do: look at the QuotaUsed lines of the workspace for who uses the quota.
	QuotaExceeded
	// QuotaUsed: a workspace's quota was not enough for its requests since the last such line of this node; ByNode is what each node let in. It comes from the node that the others ask, see QuotaAllocator.
	QuotaUsed
	// QuotaAllocator: another node than before is asked for what workspaces may use.
	QuotaAllocator
	// QuotaMissed: the node that was asked for what workspaces may use did not answer; another one is asked, in the end this one, which has its own part of the quotas alone. To do: when it goes on, look at that node and the way to it.
	QuotaMissed
)
