package event

// Events of the register of upstreams.
const (
	// UpstreamEntered: an upstream has registered, or its entry has changed.
	UpstreamEntered Event = iota + 800
	// UpstreamLeft: an upstream's entry is missing; if the register was away, it stays in use until it has had time to come back.
	UpstreamLeft
	// EntryUnreadable: an entry of the register can't be read and was passed over. To do: bring this node to the version that the entry needs; the upstream gets no work from it.
	EntryUnreadable
	// RegisterLost: the register is not reached; the upstreams known stay in use. To do: see to the platform; upstreams that leave or come are not noticed meanwhile.
	RegisterLost
	// RegisterBack: the register is read again.
	RegisterBack
	// CachesListed: the engines were asked at this node's start what their caches hold; Engines have answered, Failed have not, one of them for the error given.
	CachesListed
)
