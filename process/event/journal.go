package event

// Events of the journal for requests that are not repeatable.
const (
	// JournalLogFailed: a read or an append of the journal failed; claims are
	// refused until the log is back. To do: see to the platform; not-repeatable requests are refused meanwhile.
	JournalLogFailed Event = iota + 400
	// JournalLogBack: the journal reads the log again.
	JournalLogBack
	// JournalClaimAbandoned: a claim was not read back in time; this node
	// will not send the request, and says so in the log once it can.
	JournalClaimAbandoned
	// JournalRecordUnread: a record of the journal could not be decoded and
	// was skipped. To do: bring this node to the version that wrote the record.
	JournalRecordUnread
	// JournalOutcomeDropped: too many outcomes waited for the log, and the
	// oldest was dropped; its key counts as unknown from now on. To do: see to the platform; callers that ask for such a key are told Unknown.
	JournalOutcomeDropped
	// JournalRetentionShort: the log trims records that a node which starts
	// would need to know keys within the horizon. They could run again there. To do:
	// raise the log's retention or lower the horizon.
	JournalRetentionShort
	// JournalClocksDiffer: a record was stamped further in the future than
	// clocks may differ. The named node's clock is ahead, or this one's behind. To do: set the clock of the VM named right.
	JournalClocksDiffer
)
