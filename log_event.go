package gooseberrymast

// LogEvent identifies what a log line reports. docs/LOGS.md documents every
// event, and no other event is logged.
type LogEvent string

// The events of a process's life cycle, its store, peers and documents.
const (
	EventStarted            LogEvent = "started"
	EventStopping           LogEvent = "stopping"
	EventStopped            LogEvent = "stopped"
	EventSettingsReloaded   LogEvent = "settings-reloaded"
	EventSettingsInvalid    LogEvent = "settings-invalid"
	EventStoreLost          LogEvent = "store-lost"
	EventStoreRegained      LogEvent = "store-regained"
	EventStoreRestored      LogEvent = "store-restored"
	EventStoreUnreadable    LogEvent = "store-entry-unreadable"
	EventRegistered         LogEvent = "registered"
	EventRegisterFailed     LogEvent = "register-failed"
	EventEntryNotUpdated    LogEvent = "entry-not-updated"
	EventEntryNotRemoved    LogEvent = "entry-not-removed"
	EventEntryRemoved       LogEvent = "entry-removed"
	EventEntryLost          LogEvent = "entry-lost"
	EventPeersLoaded        LogEvent = "peers-loaded"
	EventPeersNotLoaded     LogEvent = "peers-not-loaded"
	EventEntriesRead        LogEvent = "entries-read"
	EventPeerChanged        LogEvent = "peer-changed"
	EventPeerForgotten      LogEvent = "peer-forgotten"
	EventIncarnationRaised  LogEvent = "incarnation-raised"
	EventZoneIsolated       LogEvent = "zone-isolated"
	EventZoneUnheard        LogEvent = "zone-unheard"
	EventRelayChanged       LogEvent = "relay-changed"
	EventListeningResumed   LogEvent = "listening-resumed"
	EventStateChanged       LogEvent = "state-changed"
	EventReadinessChanged   LogEvent = "readiness-changed"
	EventDocumentInForce    LogEvent = "document-in-force"
	EventDocumentAbsent     LogEvent = "document-absent"
	EventDocumentOlder      LogEvent = "document-older"
	EventDocumentConflict   LogEvent = "document-conflict"
	EventDocumentUnreadable LogEvent = "document-unreadable"

	EventEvacuationInForce    LogEvent = "evacuation-in-force"
	EventEvacuationEnded      LogEvent = "evacuation-ended"
	EventEvacuationUnreadable LogEvent = "evacuation-unreadable"
)

// The events of a backend server, as its agent sees it.
const (
	EventServerChanged       LogEvent = "server-changed"
	EventServerRestarted     LogEvent = "server-restarted"
	EventServerDeparted      LogEvent = "server-departed"
	EventServerProbed        LogEvent = "server-probed"
	EventServerDead          LogEvent = "server-dead"
	EventAnnouncementIgnored LogEvent = "announcement-ignored"
	EventPlacementChanged    LogEvent = "placement-changed"
)

// The events of flows and requests.
const (
	EventFlowPlaced            LogEvent = "flow-placed"
	EventFlowLookedUp          LogEvent = "flow-looked-up"
	EventFlowWalked            LogEvent = "flow-walked"
	EventFlowReset             LogEvent = "flow-reset"
	EventFlowRecordsActive     LogEvent = "flow-records-active"
	EventFlowRecordsWritten    LogEvent = "flow-records-written"
	EventFlowRecordsNotWritten LogEvent = "flow-records-not-written"
	EventFlowRecordsRead       LogEvent = "flow-records-read"
	EventFlowRecordsNotRead    LogEvent = "flow-records-not-read"
	EventPacketDropped         LogEvent = "packet-dropped"
	EventFlowTaken             LogEvent = "flow-taken"
	EventFlowPassedOn          LogEvent = "flow-passed-on"
	EventFlowRefused           LogEvent = "flow-refused"
	EventFlowTried             LogEvent = "flow-tried"
	EventFlowNotHeld           LogEvent = "flow-not-held"
	EventFlowLearned           LogEvent = "flow-learned"
	EventRequestSlow           LogEvent = "request-slow"
	EventRequestCut            LogEvent = "request-cut"
	EventRequestAbandoned      LogEvent = "request-abandoned"
	EventServerFailing         LogEvent = "server-failing"
	EventPacketMalformed       LogEvent = "packet-malformed"
	EventMessageMalformed      LogEvent = "message-malformed"
	EventReceiveFailed         LogEvent = "receive-failed"
	EventSendFailed            LogEvent = "send-failed"
	EventServeFailed           LogEvent = "serve-failed"
	EventEncodeFailed          LogEvent = "encode-failed"
	EventLinesDropped          LogEvent = "log-lines-dropped"
	EventMetricsNotServed      LogEvent = "metrics-not-served"
)

// LogEvents lists every event.
var LogEvents = []LogEvent{
	EventStarted, EventStopping, EventStopped, EventSettingsReloaded, EventSettingsInvalid, EventStoreLost,
	EventStoreRegained, EventStoreRestored, EventStoreUnreadable, EventRegistered, EventRegisterFailed, EventEntryNotUpdated,
	EventEntryNotRemoved, EventEntryRemoved, EventEntryLost, EventPeersLoaded, EventPeersNotLoaded, EventEntriesRead, EventPeerChanged, EventPeerForgotten,
	EventIncarnationRaised, EventZoneIsolated, EventZoneUnheard, EventRelayChanged, EventListeningResumed, EventStateChanged, EventReadinessChanged, EventDocumentInForce, EventDocumentAbsent,
	EventDocumentOlder, EventDocumentConflict, EventDocumentUnreadable, EventEvacuationInForce, EventEvacuationEnded, EventEvacuationUnreadable,
	EventServerChanged, EventServerRestarted, EventServerDeparted,
	EventServerProbed, EventServerDead, EventAnnouncementIgnored, EventPlacementChanged, EventFlowPlaced, EventFlowLookedUp,
	EventFlowWalked, EventFlowReset, EventFlowRecordsActive, EventFlowRecordsWritten, EventFlowRecordsNotWritten,
	EventFlowRecordsRead, EventFlowRecordsNotRead, EventPacketDropped, EventFlowTaken, EventFlowPassedOn, EventFlowRefused, EventFlowTried,
	EventFlowNotHeld, EventFlowLearned, EventRequestSlow, EventRequestCut, EventRequestAbandoned,
	EventServerFailing, EventPacketMalformed, EventMessageMalformed,
	EventReceiveFailed, EventSendFailed, EventServeFailed, EventEncodeFailed, EventLinesDropped, EventMetricsNotServed,
}
