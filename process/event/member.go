package event

// Events of the connections between nodes, of membership and of certificates.
const (
	// PeerConnectionRefused: a connection to the peer listener was refused because of its secret, its protocol or a limit on connections; one line a second at most, Refused counts all. To do: if it continues, compare Peers.Secret and the program versions of the two nodes.
	PeerConnectionRefused Event = iota + 200
	// MemberJoined: a node was seen for the first time. To do: nothing.
	MemberJoined
	// MemberRestarted: a node returned as a new incarnation. To do: nothing.
	MemberRestarted
	// MemberSuspected: a node answered neither this node nor the nodes that probed it for this one. To do: nothing for a single one; many at once mean a partitioned network, see docs/OPERATING.md.
	MemberSuspected
	// MemberDied: a suspected node did not refute the suspicion in time. To do: nothing if the VM was replaced; otherwise find out why the VM is gone.
	MemberDied
	// MemberRecovered: a suspected or dead node was heard from again, in the same incarnation. To do: nothing.
	MemberRecovered
	// MemberLeaving: a node announced that it is leaving, or the VM list says so. To do: nothing.
	MemberLeaving
	// MemberRefuted: other nodes suspected this node, and it answered that it is alive. To do: nothing.
	MemberRefuted
	// MemberNameTaken: another node uses this node's name, or this node's clock went back across a restart. To do: give each node a name of its own.
	MemberNameTaken
	// MemberPaused: this node itself was paused for longer than its heartbeats allow. To do: find out what paused the VM; it may be short of processor time.
	MemberPaused
	// VMListUnavailable: the platform's VM list could not be read; membership continues with the evidence that the nodes have. To do: check the platform; nothing is lost meanwhile.
	VMListUnavailable
	// VMListAvailable: the platform's VM list can be read again.
	VMListAvailable
	// CertificateReloaded: a listener's certificate was replaced.
	CertificateReloaded
	// CertificateReloadFailed: a changed certificate could not be used; the previous one stays in use. To do: correct the named files before the previous certificate expires.
	CertificateReloadFailed
	// PeersNotJoined: the directory of nodes could not be reached, or the connections to other nodes could not be started; this node retries, and serves alone meanwhile.
	PeersNotJoined
	// NewsNotHeard: a peer did not learn in time from this node that an engine changes its weights; it learns it from the register or from the engine.
	NewsNotHeard
	// CaughtUp: a peer told this node, which has just started, since when newer weights have been named.
	CaughtUp
	// AggregatorChosen: a different node than before now answers this node's questions about the engines' caches and the other nodes' load. To do: nothing for a single one; many mean that a node is short of processor time.
	AggregatorChosen
	// AggregatorMissed: the node asked about the engines' caches and the other nodes' load did not answer; this node asks the next one, and earlier answers expire meanwhile. To do: if it continues, check the node that did not answer.
	AggregatorMissed
)
