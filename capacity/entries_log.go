package capacity

import "github.com/dunlinmill/dunlinmill/request/recent"

// configured is what comes with every record, whatever its kind: the parts
// that keep lists of the configuration take it anew.
func configured(s *source) float64 {
	return s.at(setLimitsMicros, Workspaces) + s.at(setHealthMicros, Runners) + s.at(metricsMicros, Workspaces)
}

func configEntries() []entry {
	return []entry{
		{
			role: roleConfig, what: "state, and the records kept for peers", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Memory: s.at(stateHeap, Workspaces) + Runners*s.per(stateHeapUp) + recentRecords*s.at(changeRecord, 1) +
					s.at(snapshotBytes, Workspaces) + Runners*s.per(snapshotBytesUp)}
			},
			mechanism: "version/fold; immutable, shared by all requests",
		},
		{
			role: roleConfig, what: "7,800 changes a day", kind: Control,
			cost: func(s *source) Cost {
				each := s.at(changeProcessor, Workspaces) + Runners*s.per(changeProcessorUp) + s.at(catalogueMicros, Runners) +
					s.at(readMicros, s.at(changeRecord, 1)) + configured(s)
				return Cost{
					Messages: 2 * ChangesPerSecond * appendsPerChange,
					Bytes:    ChangesPerSecond * appendsPerChange * s.at(readTraffic, s.at(changeRecord, 1)/appendsPerChange),
					Core:     ChangesPerSecond * each * micro,
					Appends:  ChangesPerSecond * appendsPerChange,
				}
			},
			mechanism: "each node reads the log by long polls; in force at once where the log is reached, over peers within 5.5 s by the settings where it isn't",
		},
		{
			role: roleConfig, what: "waiting for the log", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Messages: 2 / pollSeconds, Bytes: s.at(readTraffic, 0) / pollSeconds, Core: s.at(readMicros, 0) / pollSeconds * micro}
			},
			mechanism: "an empty answer every 2 s; 180 reads a second of all nodes at the log",
		},
		{
			role: roleConfig, what: "450 starts a day, 1.25 of each node", kind: Control,
			cost: func(s *source) Cost {
				packed := s.at(snapshotBytes, Workspaces) + Runners*s.per(snapshotBytesUp)
				tail := snapshotTail * s.at(changeRecord, 1)
				apply := snapshotTail * (s.at(changeProcessor, Workspaces) + Runners*s.per(changeProcessorUp))
				return Cost{
					Bytes: startsPerSecond * s.at(readTraffic, packed+tail),
					Core:  startsPerSecond * (apply + s.at(snapshotProcessor, Workspaces)) * micro,
				}
			},
			mechanism: "the newest snapshot and up to 512 records after it, as if all were changes",
		},
	}
}

func journalEntries() []entry {
	return []entry{
		{
			role: roleJournal, what: "not-repeatable calls, a node in the mean", kind: Control,
			cost: func(s *source) Cost {
				return Cost{
					Messages: 4 * s.at(journalCalls, Nodes) / Nodes,
					Bytes:    2 * s.at(journalBytes, Nodes) / Nodes,
					Core: (NotRepeatablePerSecond*s.per(claimProcessor) +
						s.at(journalCalls, Nodes)*s.at(callMicros, limitMessage)) / Nodes * micro,
					Appends: s.at(journalAppends, Nodes),
				}
			},
			mechanism: "claims through the data centre's reader of the key's partition, in batches within a shared budget of appends",
		},
		{
			role: roleJournal, what: "reading a partition, 56 of the nodes", kind: Busiest,
			cost: func(s *source) Cost {
				reads := s.at(journalReads, Nodes) / readersOfJournal
				read := s.at(journalRead, Nodes) / readersOfJournal
				appended := s.at(journalLogBytes, Nodes) / readersOfJournal
				appends := s.at(journalAppends, Nodes) / readersOfJournal
				calls := s.at(journalCalls, Nodes) / readersOfJournal
				return Cost{
					Memory:   2 * NotRepeatablePerSecond * horizonSeconds / partitions * s.per(keyHeap),
					Messages: 2 * (reads + appends + calls),
					Bytes: reads*s.at(readTraffic, 0) + read*s.per(readTraffic) + appends*s.at(appendTraffic, 0) +
						appended*s.per(appendTraffic) + s.at(journalBytes, Nodes)/readersOfJournal,
					Core: (NotRepeatablePerSecond/partitions*s.per(claimProcessor) + reads*s.at(readMicros, 0) +
						calls*s.at(callMicros, limitMessage)/2) * micro,
				}
			},
			mechanism: "one reader of each of 8 partitions in each data centre; twice the state while the horizon is read back",
			change:    "more partitions, so that each reader reads less of the same appends; not tried at this size",
		},
	}
}

func planEntries() []entry {
	return []entry{
		{
			role: rolePlans, what: "the lease's renewals", kind: Control,
			cost: func(s *source) Cost {
				record := s.at(renewalBytes, modelRunner)
				return Cost{
					Messages: 2 / renewalSeconds,
					Bytes:    s.at(readTraffic, record) / renewalSeconds,
					Core:     (s.at(renewalProcessor, Workspaces) + s.at(readMicros, record) + configured(s)) / renewalSeconds * micro,
					Appends:  1 / renewalSeconds,
				}
			},
			mechanism: "a record every 3.3 s, read by all nodes, which take the configuration anew for it",
			change:    "take the configuration anew only if it changed",
		},
		{
			role: rolePlans, what: "the lease holder's looks at every engine", kind: Busiest,
			cost: func(s *source) Cost {
				const looks = Runners / repairSeconds
				return Cost{Messages: 2 * looks, Bytes: looks * s.per(reportTraffic), Core: looks * s.per(reportMicros) * micro}
			},
			mechanism: "planner; each engine once in 2 minutes",
		},
		{
			role: rolePlans, what: "a roll-out to the 340 runners of a model, over a day", kind: Control,
			cost: func(s *source) Cost {
				steps := s.at(planAppends, modelRunner) / secondsPerDay
				each := s.at(stepMicros, modelRunner) + configured(s)
				return Cost{
					Messages: 2 * steps,
					Bytes:    steps*s.at(readTraffic, s.at(renewalBytes, modelRunner)) + s.at(planRecord, modelRunner)/secondsPerDay,
					Core:     steps * each * micro,
					Appends:  steps,
				}
			},
			mechanism: "records of begun and finished steps; at most two loads at a time",
		},
		{
			role: rolePlans, what: "openings of prompts, kept for the warming of a shift", kind: Control,
			cost: func(s *source) Cost {
				return Cost{Memory: s.at(recentHeap, recent.DefaultBytes)}
			},
			mechanism: "request/recent, at its bound of 32 MB of text",
		},
		{
			role: rolePlans, what: "making that plan, all within one second", kind: Once,
			cost: func(s *source) Cost {
				return Cost{Core: s.at(planMicros, modelRunner) * micro}
			},
			mechanism: "plan.Make, once for each intent",
			change:    "the effect on capacity is worked out anew for each step; work it out from one step to the next",
		},
	}
}
