package event

// Events of the register of upstreams.
const (
	// UpstreamEntered: an upstream has registered, or its entry has changed; Software is the version of its program.
	UpstreamEntered Event = iota + 800
	// UpstreamLeft: an upstream's entry is missing; if the register was unreachable, the upstream stays in use until it has had time to register again.
	UpstreamLeft
	// EntryUnreadable: the register's value under a key is not an upstream entry, or lacks the start time that its upstream reported before; the key stands for no upstream until it has a valid entry. Logged once per change. To do: find out who else writes to the register; otherwise upgrade this node to the version that the entry needs.
	EntryUnreadable
	// RegisterLost: the register cannot be reached; the known upstreams stay in use. To do: check the platform; upstreams that leave or join are not noticed meanwhile.
	RegisterLost
	// RegisterBack: the register can be read again.
	RegisterBack
	_ // 805 belonged to a version that asked the engines only at its start
	// CacheListed: an engine has listed everything that its cache holds; this node follows its changes from there.
	CacheListed
	// CacheFollowed: an engine has stopped reporting changes of its cache, for the given error, or reports them again. Meanwhile this node relies on what answers and peers report about it. To do: if it continues, check that upstream.
	CacheFollowed
	// RateLearnt: by the answers to this node and its peers, engines of a group process so many prompt tokens per second; logged when the rate has changed by a quarter. To do: if it falls and stays low, check whether the engines share their accelerators.
	RateLearnt
	// UpstreamLeaving: an answer of the upstream says that it is leaving, or a peer that got such an answer says so; this node sends it nothing more, whatever its entry says.
	UpstreamLeaving
	// UpstreamLimited: an answer of the upstream, or a peer that got such an answer, states how many requests a second it takes from all nodes together, or that it takes any number again (Limited false). Logged when it begins, ends or has changed by a quarter. Few nodes send it requests meanwhile. To do: find out why the upstream is short of capacity.
	UpstreamLimited
	// UpstreamLimitUnreadable: an answer of the upstream states a rate that is no decimal number; what it stated before stays in force. To do: check the upstream's version.
	UpstreamLimitUnreadable
	// EngineRatesLearnt: by the answers to all nodes, an engine of a group computes Rate prompt tokens a second in the median, and a first token takes Latency beside that; the fast engines are Spread times as fast as the slow ones. Requests are admitted by forecasts from them. Logged when Rate or Latency has changed by a quarter. To do: if Spread is large and unexpected, compare the slow engines' machines with the others.
	EngineRatesLearnt
	// PathLost: this node can't connect to the upstreams of Service: of the Tried ones, Reached were reached. Other nodes may still reach them. To do: check the network between this VM and the upstreams; the metric path_lost shows which nodes are affected.
	PathLost
	// PathRestored: this node can connect to the upstreams of Service again, after LostFor. To do: nothing.
	PathRestored
	// UpstreamSilent: the upstream at Address neither answers this node's requests nor accepts a connection, while this node reaches others of Service; or it accepts connections again (Silent false). It gets no further requests meanwhile, and those in progress go on. To do: if it continues, check that upstream.
	UpstreamSilent
	// UpstreamRejectsLimited: an answer of the upstream, or a peer that got such an answer, states that the upstream crashes if it rejects more than PerSecond requests in a second, or that this is over (Limited false). All nodes together use no more than its slots meanwhile. To do: find out why the upstream is short of capacity.
	UpstreamRejectsLimited
	// ConnectionRelayed: this node has lost its path to the upstream at Address and asked other nodes for a connection: Asked of them, and Peer opened it; without Peer none did, for the given Error. To do: see PathLost.
	ConnectionRelayed
	// WeightsAsked: an engine refused Request, as it does not hold the weights Believed; it was asked and has reported Held. To do: if it continues for one upstream, see whether its entry in the register is written.
	WeightsAsked
	// UpstreamRefused: an answer of the upstream at Address broke off, and it refuses connections since. Ended says whether that counts as the end of its process, which RequestSuspected lines follow; Lost says that this node has lost its path to Service, OthersReached that it reached other upstreams of Service, and Peers what other nodes found, if they were asked: Accepted means that only the connection or this node's path was lost. The same is logged once a second at the most. To do: if processes have ended that do not count, see PathLost.
	UpstreamRefused
)
