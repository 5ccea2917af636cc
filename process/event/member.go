package event

// Events of the connections between nodes, of membership and of certificates.
const (
	// PeerConnectionRefused: a connection to the peer listener was refused, for its secret, its protocol or the limit on connections.
	PeerConnectionRefused Event = iota + 200
	// MemberJoined: a node was seen for the first time.
	MemberJoined
	// MemberRestarted: a node came back as a new incarnation.
	MemberRestarted
	// MemberSuspected: a node did not answer, neither to this node nor through others.
	MemberSuspected
	// MemberDied: a suspected node did not refute in time.
	MemberDied
	// MemberRecovered: a suspected or dead node was heard again, in the same incarnation.
	MemberRecovered
	// MemberLeaving: a node announced that it leaves, or the VM list says so.
	MemberLeaving
	// MemberRefuted: other nodes suspected this one, and it told them that it lives.
	MemberRefuted
	// MemberNameTaken: another node uses this node's name, or this node's clock went back over a restart.
	MemberNameTaken
	// MemberPaused: this node itself stood still for longer than its heartbeat allows.
	MemberPaused
	// VMListUnavailable: the platform's VM list could not be read; membership goes on by evidence.
	VMListUnavailable
	// VMListAvailable: the platform's VM list can be read again.
	VMListAvailable
	// CertificateReloaded: a listener's certificate was replaced.
	CertificateReloaded
	// CertificateReloadFailed: a changed certificate could not be used; the former one stays.
	CertificateReloadFailed
)
