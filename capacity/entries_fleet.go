package capacity

func memberEntries() []entry {
	return []entry{
		{
			role: roleMembership, what: "heartbeats with the published values", kind: Control,
			cost: func(s *source) Cost {
				return Cost{
					Memory:   s.at(memberHeap, Nodes),
					Messages: s.at(memberMessages, Nodes),
					Bytes:    s.at(memberBytes, Nodes),
					Core:     (s.at(memberProcessor, Nodes) + s.at(callMicros, messageBytes)) * micro,
				}
			},
			mechanism: "one heartbeat a second to one peer, of 2 KB at most; what grows with the nodes is the values' age",
		},
		{
			role: roleMembership, what: "kept connections to peers", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Memory: s.at(connHeap, Nodes)}
			},
			mechanism: "connection/peer; one to and one from every node at most",
		},
		{
			role: roleMembership, what: "the VM list, every 5 s", kind: Control,
			cost: func(s *source) Cost {
				return Cost{
					Messages: 2 / vmListSeconds,
					Bytes:    s.at(vmTraffic, Nodes) / vmListSeconds,
					Core:     (s.at(vmMicros, Nodes) + s.at(vmTableMicros, Nodes)) / vmListSeconds * micro,
				}
			},
			mechanism: "the whole list as JSON, read by every node",
			change:    "read it every 60 s in calm, or by one node of each data centre; members are found by heartbeats anyway",
		},
		{
			role: roleMembership, what: "heartbeats after the loss of a data centre", kind: Busiest,
			cost: func(s *source) Cost {
				return Cost{Bytes: s.at(faultBytes, Nodes)}
			},
			mechanism: "news take up to half of each message, without values in this line",
		},
	}
}

func observeEntries() []entry {
	return []entry{
		{
			role: roleObserve, what: "a scrape every 15 s", kind: Control,
			cost: func(s *source) Cost {
				return Cost{
					Messages: 2 / scrapeSeconds,
					Bytes:    s.at(scrapeBytes, Workspaces) / scrapeSeconds,
					Core:     s.at(scrapeMicros, Workspaces) / scrapeSeconds * micro,
				}
			},
			mechanism: "client_golang; 24 workspaces have series of their own, the others share one",
			change:    "compressed answers, or a scrape a minute",
		},
		{
			role: roleObserve, what: "counting requests", kind: Part,
			cost: func(s *source) Cost {
				return Cost{Core: NodeRequests * s.at(countMicros, Workspaces) * micro}
			},
			mechanism: "client_golang",
		},
		{
			role: roleObserve, what: "a line for each decision and each answer", kind: Serving,
			cost: func(s *source) Cost {
				return Cost{Messages: NodeRequests * s.per(logLines), Bytes: NodeRequests * s.per(logBytes)}
			},
			mechanism: "zap, JSON to standard error; the processor time is in that of answers",
		},
	}
}
