package event

// Events of the journal for requests that are not repeatable.
const (
	// JournalLogFailed: a read or an append of the journal failed; claims are refused until the log is back. To do: check the platform; requests that are not repeatable are refused meanwhile.
	JournalLogFailed Event = iota + 400
	// JournalLogBack: the journal can read the log again.
	JournalLogBack
	// JournalClaimAbandoned: a claim was not read back from the log in time; this node will not send the request, and records that in the log once it can.
	JournalClaimAbandoned
	// JournalRecordUnread: a record of the journal could not be decoded and was skipped. To do: upgrade this node to the version that wrote the record.
	JournalRecordUnread
	// JournalOutcomeDropped: too many outcomes waited to be written to the log, and the oldest was dropped; its key counts as unknown from now on. To do: check the platform; callers that ask for such a key get Unknown.
	JournalOutcomeDropped
	// JournalRetentionShort: the log trims records that a starting node needs in order to know the keys within the horizon; the requests with these keys could run again there. To do: raise the log's retention or lower the horizon.
	JournalRetentionShort
	// JournalClocksDiffer: a record has a time further in the future than clocks may differ. The clock of the named node is fast, or this node's is slow. To do: correct the clock of the VM that is wrong.
	JournalClocksDiffer
)
