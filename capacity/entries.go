package capacity

// Names of the roles.
const (
	roleCaller     = "Caller side"
	rolePlacement  = "Placement and engine picture"
	roleLimits     = "Limits"
	roleConfig     = "Configuration"
	roleJournal    = "Journal"
	rolePlans      = "Plans and orders"
	roleMembership = "Membership and peer exchange"
	roleObserve    = "Metrics and logs"
)

// Roles are all roles in the order of the page.
var Roles = []string{roleCaller, rolePlacement, roleLimits, roleConfig, roleJournal, rolePlans, roleMembership, roleObserve}

// entries gives the lines of all roles.
func entries() []entry {
	var all []entry
	for _, part := range [][]entry{
		callerEntries(), placementEntries(), engineEntries(), eventEntries(), limitEntries(),
		configEntries(), journalEntries(), planEntries(), memberEntries(), observeEntries(),
	} {
		all = append(all, part...)
	}
	return all
}

func callerEntries() []entry {
	return []entry{
		{
			role: roleCaller, what: "requests and their tokens", kind: Serving,
			cost: func(s *source) Cost {
				return Cost{
					Memory:   float64(nodeInFlight) * s.per(streamHeap),
					Messages: NodeTokens,
					Core:     (NodeTokens*s.per(tokenMicros) + NodeRequests*s.per(answerMicros)) * micro,
				}
			},
			mechanism: "fiber and fasthttp; one goroutine and one upstream connection for each open stream",
		},
		{
			role: roleCaller, what: "hashing the prompts' levels and queueing", kind: Part,
			cost: func(s *source) Cost {
				return Cost{Core: NodeRequests * (s.at(chainProcessor, promptBytes) + s.at(queueMicros, Workspaces)) * micro}
			},
			mechanism: "prefix.FromMessages, limit.Queue",
		},
	}
}

func placementEntries() []entry {
	return []entry{
		{
			role: rolePlacement, what: "decisions among a model's runners", kind: Part,
			cost: func(s *source) Cost {
				return Cost{Core: NodeRequests * (s.at(placeProcessor, modelRunner) + s.at(excludedEjected, modelRunner)) * micro}
			},
			mechanism: "placement.Affinity and guard.Excluded, with a tenth of the engines ejected",
		},
		{
			role: rolePlacement, what: "policies, one for each model and provider", kind: Control,
			cost: func(s *source) Cost {
				return Cost{
					Memory: groupsOfEngines*s.at(policyTables, policyEntries) + pools*s.per(policyHeap)*Runners,
					Core:   groupsOfEngines * refreshPerGroup * s.at(usableMicros, modelRunner) * micro,
				}
			},
			mechanism: "bounded tables of beliefs and demands; which engines are up is looked at four times a second",
		},
		{
			role: rolePlacement, what: "the peers' traffic and news of cached levels", kind: Control,
			cost: func(s *source) Cost {
				values := localNodes / s.at(valueAge, Nodes)
				return Cost{Core: (s.at(mergeProcessor, localNodes) + values*newsLevels*groupsOfEngines*s.per(eventProcessor)) * micro}
			},
			mechanism: "values on the heartbeats, within a data centre; the bytes are the heartbeats'",
		},
	}
}

func engineEntries() []entry {
	return []entry{
		{
			role: rolePlacement, what: "asking the own engines for reports, once a second", kind: Control,
			cost: func(s *source) Cost {
				const own = float64(Runners) / Nodes
				return Cost{Messages: 2 * own, Bytes: own * s.per(reportTraffic), Core: own * s.per(reportMicros) * micro}
			},
			mechanism: "inventory; one node of the data centre asks each engine",
		},
		{
			role: rolePlacement, what: "finding which engines are the own ones", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Core: ownLooks * s.at(ownMicros, Runners) * micro}
			},
			mechanism: "rendezvous hashing of every engine over the data centre's nodes, twice a second",
		},
		{
			role: rolePlacement, what: "statuses of the data centre's engines", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Memory: s.at(statusHeap, RunnersPerDataCentre), Core: s.at(learnMicros, localNodes) * micro}
			},
			mechanism: "two statuses of a node's five in a value of 1,024 bytes, in rotation; the bytes are the heartbeats'",
		},
		{
			role: rolePlacement, what: "limits and health of the engines", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Memory: s.at(healthHeap, Runners), Core: placeLooks * s.at(capacityMicros, Runners) * micro}
			},
			mechanism: "guard; the places are added up once a second",
		},
		{
			role: rolePlacement, what: "statuses of all engines at every node, 5 s old at most", kind: NotDone,
			cost: func(s *source) Cost {
				const age = 5
				return Cost{Memory: s.at(statusHeap, Runners), Bytes: Runners * s.per(statusBytes) / age}
			},
			mechanism: "none: statuses stay in their data centre",
			change:    "a status in some 16 bytes in place of 254, or sums by pool and data centre",
		},
	}
}

func eventEntries() []entry {
	return []entry{
		{
			role: rolePlacement, what: "all cache events at every node", kind: NotDone,
			cost: func(s *source) Cost {
				return Cost{Messages: EventsPerSecond, Bytes: EventsPerSecond * s.per(eventBytes), Core: EventsPerSecond * s.per(eventProcessor) * micro}
			},
			mechanism: "none: nodes learn from answers",
			change:    "no node should read them all",
		},
		{
			role: rolePlacement, what: "cache events of the own engines alone", kind: NotDone,
			cost: func(s *source) Cost {
				const own = float64(EventsPerSecond) / Nodes
				return Cost{Messages: own, Bytes: own * s.per(eventBytes), Core: own * s.per(eventProcessor) * micro}
			},
			mechanism: "none: nodes learn from answers",
			change:    "events by level, not by block, in a binary form",
		},
		{
			role: rolePlacement, what: "a belief for each cached block", kind: NotDone,
			cost: func(s *source) Cost {
				return Cost{Memory: Blocks * s.per(policyTables)}
			},
			mechanism: "none: levels in bounded tables, the least recently used forgotten",
			change:    "not wanted; levels stand for blocks",
		},
	}
}

func limitEntries() []entry {
	return []entry{
		{
			role: roleLimits, what: "limits of all workspaces, a node in the mean", kind: Control,
			cost: func(s *source) Cost {
				calls := s.at(limitCalls, Nodes)
				return Cost{
					Memory:   s.at(limitHeap, Workspaces),
					Messages: 4 * calls,
					Bytes:    s.at(limitBytes, Nodes),
					Core:     (s.at(limitProcessor, Nodes) + calls*s.at(callMicros, limitMessage)) * micro,
				}
			},
			mechanism: "an owner for each workspace by rendezvous hashing; nodes fetch credits ahead, when short ten times a second",
			change:    "one asker for each data centre between its nodes and the owners, and fewer asks for stocks of two credits",
		},
		{
			role: roleLimits, what: "the owner of the largest workspace", kind: Busiest,
			cost: func(s *source) Cost {
				calls := s.at(ownerCalls, Nodes)
				return Cost{Messages: 2 * calls, Bytes: s.at(ownerBytes, Nodes), Core: calls * s.at(callMicros, limitMessage) / 2 * micro}
			},
			mechanism: "the same",
			change:    "the same: 7 askers in place of 360",
		},
	}
}
