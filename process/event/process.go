package event

// Events of the process.
const (
	// ProcessStarting: the settings were read and checked.
	ProcessStarting Event = iota + 500
	// ListenerOpen: a listener accepts connections at the given address.
	ListenerOpen
	// ProcessReady: the node takes requests; Lacks names what it is still missing.
	ProcessReady
	// ProcessLeaving: the node was told to stop; it no longer reports itself ready, and requests in flight run to their end; Connections are open. New requests are served for Notice, requests are ended after Finish, and connections are cut after Cut, all measured from this event.
	ProcessLeaving
	// ProcessStopped: the last request has ended and all listeners are closed; Leaving is the time since the node was told to stop.
	ProcessStopped
	// GraceExceeded: requests were still in flight at the end of Shutdown.Grace and were cut: Unread ones, read ones without any answer (Unanswered), and ones in their answer (CutInAnswer). To do: raise Shutdown.Grace above the duration of the longest stream.
	GraceExceeded
	// ProcessFailed: a component of the process failed and the process stops. To do: read Error; the platform should restart the process.
	ProcessFailed
	// SecretReloaded: the fleet's secrets were replaced.
	SecretReloaded
	// SecretReloadFailed: a changed file of secrets could not be used; the previous secrets stay in use. To do: correct the file, since nodes with other secrets will refuse this one.
	SecretReloadFailed
	// AcceptFailed: a connection could not be accepted; one line a second at most. To do: for "too many open files", look for callers that keep opening connections.
	AcceptFailed
	// SettingsReloaded: the settings file was read again, after a signal or a change; the settings that may change while the process runs are in force.
	SettingsReloaded
	// SettingsNotReloaded: a changed settings file could not be used; the previous settings stay in force. To do: correct the file.
	SettingsNotReloaded
	// SettingsNeedRestart: the settings file names another node or other listeners, which a running process does not change. To do: restart the process.
	SettingsNeedRestart
	// IntakeRefused: a request or connection was refused before the request was received whole, to bound what clients take of the process; one line a second at most. Reason is MemoryExhausted, GaveWay, ConnectionReplaced or ConnectionRefused; Address is the client's. Held of Limit bytes are taken, most of them (TopHeld) by TopWorkspace (empty: by callers that have shown no key yet), and Connections of MaxConnections. To do: look for clients that keep requests unfinished; intake_refusals_total has the counts.
	IntakeRefused
	// DescriptorsUnknown: the system doesn't say how many descriptors this process may open; clients get a share of the Assumed ones. To do: check that Assumed is what the VM allows.
	DescriptorsUnknown
	// MachineUnknown: the system doesn't say what this process may use; clients are not bounded by it. To do: set Limits.MemoryBytes, and look at Error.
	MachineUnknown
)
