package event

// Events of the register of upstreams.
const (
	// UpstreamEntered: an upstream has registered, or its entry has changed.
	UpstreamEntered Event = iota + 800
	// UpstreamLeft: an upstream's entry is missing; if the register was away, it stays in use until it has had time to come back.
	UpstreamLeft
	// EntryUnreadable: what the register has under a key is no entry of an upstream, or lacks the time of start that its upstream told before; the key names nobody until a proper entry stands there. Logged once for each change. To do: look who else writes to the register; else bring this node to the version that the entry needs.
	EntryUnreadable
	// RegisterLost: the register is not reached; the upstreams known stay in use. To do: see to the platform; upstreams that leave or come are not noticed meanwhile.
	RegisterLost
	// RegisterBack: the register is read again.
	RegisterBack
	_ // 805 was of a version that asked the engines at its start alone
	// CacheListed: an engine has told all that its cache holds; this node follows its changes from there.
	CacheListed
	// CacheFollowed: an engine has stopped to tell what changes in its cache, for the error given, or tells it again. Meanwhile this node goes by what answers and peers say of it. To do: when it goes on, look at that upstream.
	CacheFollowed
	// RateLearnt: by the answers of this node and its peers, engines of a group read so many prompt tokens a second; logged when it has changed by a quarter. To do: when it falls and stays low, look whether the engines share their accelerators.
	RateLearnt
	// UpstreamLeaving: an answer of the upstream says that it leaves, or a peer that got one does; this node sends it nothing any more, whatever its entry says.
	UpstreamLeaving
)
