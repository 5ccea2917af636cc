package event

// Events of the process.
const (
	// ProcessStarting: the settings are read and checked.
	ProcessStarting Event = iota + 500
	// ListenerOpen: a listener accepts connections at the address given.
	ListenerOpen
	// ProcessReady: the node takes requests; Lacks names what it still has to do without.
	ProcessReady
	// ProcessLeaving: the node was told to stop; readiness has turned, requests in flight run to their end; Connections are open. New requests are served for Notice, requests are ended after Finish, connections are cut after Cut, all from here on.
	ProcessLeaving
	// ProcessStopped: the last request has ended and all listeners are closed, so long (Leaving) after the node was told to stop.
	ProcessStopped
	// GraceExceeded: requests were still in flight at the end of Shutdown.Grace and were cut: Unread ones, read ones without any answer (Unanswered), and ones in their answer (CutInAnswer). To do: raise Shutdown.Grace above the longest stream.
	GraceExceeded
	// ProcessFailed: a part of the process failed and the process stops. To do: read Error; the platform should start the process again.
	ProcessFailed
	// SecretReloaded: the fleet's secrets were replaced.
	SecretReloaded
	// SecretReloadFailed: a changed file of secrets could not be used; the former secrets stay. To do: mend the file, as nodes with other secrets will refuse this one.
	SecretReloadFailed
	// AcceptFailed: a connection could not be taken. To do: for "too many open files", look for callers that open connections without end.
	AcceptFailed
	// SettingsReloaded: the settings file was read again, after a signal or a change; what may change while the process runs is in force.
	SettingsReloaded
	// SettingsNotReloaded: a changed settings file could not be used; the former settings stay. To do: mend the file.
	SettingsNotReloaded
	// SettingsNeedRestart: the settings file names another node or other listeners, which a running process keeps. To do: restart the process.
	SettingsNeedRestart
)
