package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/assessor"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/predictor"
	"gooseberrymast/coordination/resetter"
	"gooseberrymast/coordination/throttler"
	"gooseberrymast/coordination/tracker"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

const (
	// agentReportInterval is the time between two reports of an agent: a few
	// service times, so that placement uses the current load.
	agentReportInterval = 200 * time.Millisecond
	// ownersInterval is the time between two messages to the lookup balancers
	// about the flows that the agent owns.
	ownersInterval = 100 * time.Millisecond
	// entryCheckInterval is the time between two checks whether the agent's
	// entry is out of date.
	entryCheckInterval = 50 * time.Millisecond
	// entryWriteInterval is the minimum time between two writes of an agent's
	// entry, so that a document with many new routes causes few writes.
	entryWriteInterval = 250 * time.Millisecond
	// maxOwnersPerDatagram is the number of flows in one datagram, 22 bytes each.
	maxOwnersPerDatagram = 50
	// healthProbeTimeout bounds the health check at the agent's start.
	healthProbeTimeout = 500 * time.Millisecond
	// serverCheckInterval is the minimum time between two checks whether the
	// server has failed.
	serverCheckInterval = 500 * time.Millisecond
	// serverCheckTimeout bounds one such check, which stays on the instance.
	serverCheckTimeout = 300 * time.Millisecond
	// finalReports is the number of reports that a stopping agent sends. There
	// are several because no later report makes up for a lost datagram.
	finalReports = 3
	// stopPollInterval is the time between two checks whether the work in
	// progress has ended.
	stopPollInterval = 50 * time.Millisecond
)

// HealthCheck queries a backend server.
type HealthCheck func(ctx context.Context, server gooseberrymast.Endpoint, path string) (gooseberrymast.HealthReport, error)

// AnnouncementHandlerFunc returns the HTTP handler that receives a server's
// announcements and passes them to the given functions.
type AnnouncementHandlerFunc func(announce func(gooseberrymast.Announcement) error, depart func(id string, startUnixMs int64) error,
	malformed func(id string, err error)) http.Handler

// Agent delivers packets to the backend server of its instance.
type Agent struct {
	member
	// Health checks the server when the agent starts, and when an announcement names
	// another server than the one that is known; nil skips the check.
	Health HealthCheck
	// AnnouncementHandler creates the handler of the server's announcements.
	AnnouncementHandler AnnouncementHandlerFunc

	deliverer deliverer.Deliverer
	predictor predictor.Predictor
	// throttler is a gate of the deliverer if Settings.Places is active.
	throttler throttler.Throttler
	outbound  *net.UDPConn
	stopping  atomic.Bool
	// kept holds a value after a packet was kept that the server may return.
	kept chan struct{}

	trackerMu sync.Mutex
	tracker   tracker.Tracker
	// servedProven is set once it is sure that the deliverer knows all addresses that
	// earlier agents have served. It is guarded by trackerMu.
	servedProven bool

	// reportsWork is set while the agent reports the expected work of its server.
	reportsWork atomic.Bool

	assessorMu sync.Mutex
	assessor   assessor.Assessor
	// failing is set while the server's share of failed requests is so high that
	// balancers leave the server out.
	failing bool

	// storedState is the state written to the store last, and nextEntryWrite is
	// the earliest time of the next write.
	storedState    entryState
	nextEntryWrite time.Time
	// documentWriteAt is when the entry is to be written for a document that allows new
	// addresses, in Unix nanoseconds; zero if it isn't.
	documentWriteAt atomic.Int64

	// serverKnown is closed once the server has announced itself or passed the health
	// check at the agent's start.
	serverKnown     chan struct{}
	serverKnownOnce sync.Once

	// admission is the last result of the rule for admission; trackerMu guards it.
	admission admissionRule

	// suspectEnded is set by a departure that may have been late, until the server
	// announces itself.
	suspectEnded atomic.Bool
	// lastProbe is when the server's health was last checked; it is guarded by trackerMu.
	lastProbe time.Time

	// lastCheck is when the server was last checked for failure.
	lastCheck time.Time

	records flowRecords

	incarnationsMu sync.Mutex
	// incarnations is the last known incarnation of each balancer; a
	// restarted balancer needs all flow owners again.
	incarnations map[gooseberrymast.Endpoint]uint64
}

// NewAgent returns an agent; Run starts it.
func NewAgent(environment Environment) *Agent {
	return &Agent{member: member{Environment: environment}}
}

// Run delivers packets until the context ends, and then until the server has
// answered its open requests.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.start(a.Timer.Now()); err != nil {
		return err
	}
	a.prepare()
	a.setUpFlowRecords()
	a.startAdmission()
	healthPaths := make(chan string, 1)
	a.onRoutes = func(routes *gooseberrymast.Routes) {
		if a.deliverer.HandleDocument(a.ownPeer().Service, routes) {
			// The service's other agents write theirs, too.
			a.documentWriteAt.Store(a.Timer.Now().Add(time.Duration(a.verifier.Offset * float64(entryWriteInterval))).UnixNano())
		}
		a.setWarmUp(routes, a.ownPeer().Service)
		select {
		case healthPaths <- routes.HealthPaths[a.Settings.Service]:
		default:
		}
	}
	var err error
	if a.outbound, err = listenUDP(a.Settings.Outbound); err != nil {
		return err
	}
	stopAnnouncements, err := serveHTTP(a.Settings.Announcements, a.AnnouncementHandler(a.handleAnnouncement, a.handleDeparture, a.handleMalformed), a.Log)
	if err != nil {
		return err
	}
	defer stopAnnouncements()
	stopReadiness, err := serveHTTP(a.Settings.Readiness, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), a.Log)
	if err != nil {
		return err
	}
	defer stopReadiness()
	defer a.serveMetrics()()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go a.receiveFromPeers(a.handlePeerPacket)
	go a.receiveFromServer()
	go tickWhileKept(workCtx, a.Timer, a.kept, a.passOnUnanswered)
	go a.register(workCtx)
	go a.probeServer(workCtx, healthPaths)
	go a.reportPeriodically(workCtx, agentReportInterval)
	stops := []func(){
		a.startFlowRecords(workCtx),
		a.Timer.Every(documentPollInterval, func(time.Time) { a.confirmDocument(workCtx) }),
		a.Timer.Every(documentPollInterval, func(time.Time) { a.pollEvacuations(workCtx) }),
		a.Timer.Every(ownersInterval, a.announceOwners),
		a.Timer.Every(ownersInterval, a.checkServer),
		a.Timer.Every(verifyInterval, func(time.Time) { _ = a.verifyEntry(workCtx) }),
		a.Timer.Every(eraCheckInterval, func(time.Time) { a.verifyAfterRestore(workCtx) }),
		a.Timer.Every(entryCheckInterval, func(now time.Time) { a.recordServed(workCtx, now) }),
		a.Timer.Every(expireInterval, func(now time.Time) {
			a.deliverer.Expire(now)
			a.roster.Expire(now)
		}),
	}
	a.Log.Info(gooseberrymast.EventStarted).Str("role", "agent").Str("zone", a.Settings.Zone).Str("build", buildName()).
		Str("service", a.Settings.Service).Msg("")
	<-ctx.Done()
	a.drain()
	for _, stop := range stops {
		stop()
	}
	a.Log.Info(gooseberrymast.EventStopped).Msg("")
	return errors.Join(a.outbound.Close(), a.conn.Close())
}

// prepare sets what the agent's decisions depend on.
func (a *Agent) prepare() {
	a.tracker = tracker.Tracker{Address: a.Settings.Server, Service: a.Settings.Service, Interval: a.Settings.AnnounceInterval}
	a.deliverer.MaxFlowAge = a.Settings.MaxFlowAge
	a.deliverer.Work = &a.predictor
	a.limitWarmUp()
	a.incarnations = map[gooseberrymast.Endpoint]uint64{}
	a.load = a.flowLoad
	a.served, a.restore, a.onEntry = a.currentServed, a.restoreServed, a.handleEntry
	a.awaitServer, a.onReveal = a.awaitKnownServer, a.beginIntroduction
	a.serverKnown, a.kept = make(chan struct{}), make(chan struct{}, 1)
}

// drain refuses new flows and waits for the end of work in progress. If the server
// has ended, it removes the agent's entry from the store.
func (a *Agent) drain() {
	began := a.Timer.Now()
	a.stopping.Store(true)
	a.deliverer.Leave()
	status := a.serverState(began).Status
	if status == tracker.Unknown || status == tracker.Silent || a.suspectEnded.Load() {
		// Peers wait for the return of an agent that leaves, unless its server is gone.
		a.connectToServer(began, status)
		status = a.serverState(began).Status
	}
	serverGone := status == tracker.Gone
	state := gooseberrymast.StateLeaving
	if serverGone {
		state = gooseberrymast.StateGone
	}
	a.setState(state, a.ownPeer().Service)
	a.Log.Info(gooseberrymast.EventStopping).Bool("server-ended", serverGone).Msg("")
	a.relayerMu.Lock()
	a.relayer.Leave()
	a.relayerMu.Unlock()
	for range finalReports {
		a.triggerReport()
		sleep(context.Background(), a.Timer, stopPollInterval)
	}
	if serverGone && !a.hidden.Load() {
		// The platform stops the instance once its server has ended.
		a.resetLost("server-ended", a.deliverer.DropFlows())
		ctx, cancel := context.WithTimeout(context.Background(), a.Settings.StopWithin-stopReserve)
		defer cancel()
		if err := a.callStore(ctx, "remove the entry", a.removeEntry); err != nil {
			a.Log.Warn(gooseberrymast.EventEntryNotRemoved).Err(err).Msg("")
		}
		return
	}
	for a.Timer.Now().Sub(began) < a.Settings.StopWithin-stopReserve {
		if _, busy := a.deliverer.Load(); busy == 0 {
			return
		}
		sleep(context.Background(), a.Timer, stopPollInterval)
	}
}

// announceOwners sends each lookup balancer the flows that this agent owns.
func (a *Agent) announceOwners(now time.Time) {
	a.refreshState(now)
	var balancers []gooseberrymast.Endpoint
	restarted := map[gooseberrymast.Endpoint]bool{}
	a.incarnationsMu.Lock()
	a.roster.Each(func(entry roster.Entry) {
		if entry.Role != gooseberrymast.RoleBalancer || !entry.Reporting(now) || entry.State != gooseberrymast.StateReady {
			return
		}
		balancers = append(balancers, entry.Endpoint)
		if a.incarnations[entry.Endpoint] != entry.Incarnation {
			a.incarnations[entry.Endpoint] = entry.Incarnation
			restarted[entry.Endpoint] = true
		}
	})
	a.incarnationsMu.Unlock()
	for lookupBalancer, keys := range a.deliverer.Announce(balancers, restarted, now) {
		for len(keys) > 0 {
			batch := keys[:min(maxOwnersPerDatagram, len(keys))]
			keys = keys[len(batch):]
			a.send(interpreter.Owners(a.Settings.Peers, batch), lookupBalancer)
		}
	}
}

// entryState identifies what an agent's entry says about its server.
type entryState struct {
	// servedChanges counts the changes of the served addresses.
	servedChanges int
	incarnation   string
}

func (a *Agent) serverIncarnation() string {
	a.trackerMu.Lock()
	defer a.trackerMu.Unlock()
	return a.tracker.Incarnation()
}

// currentServed returns what the agent's entry in the store should say.
func (a *Agent) currentServed() interpreter.Served {
	incarnation := a.serverIncarnation()
	var routes *gooseberrymast.Routes
	// While the server is unknown, the entry names only what it has served: a later
	// agent queries its server for each address that it names.
	if a.serverState(a.Timer.Now()).Status != tracker.Unknown {
		routes = a.currentRoutes()
	}
	return interpreter.Served{
		Addresses: a.deliverer.Record(a.ownPeer().Service, routes), Server: incarnation, VerifiedEra: a.verifiedEra(),
		Incarnation: a.ownPeer().Incarnation,
	}
}

// handleEntry lets the server take flows of the addresses that the agent's entry names. One
// that an earlier process wrote has named them for long enough: this one has started since.
// An entry that was lost is written again at once; until then the server takes flows of
// those that it named.
func (a *Agent) handleEntry(entry gooseberrymast.Object) {
	if entry.Version == 0 {
		return
	}
	_, served, err := interpreter.DecodeRecord(entry.Value)
	if err != nil {
		// An unreadable entry names nothing.
		served = interpreter.Served{}
	}
	a.mu.Lock()
	written := entry.Version == a.ownVersion
	a.mu.Unlock()
	usableAt := a.Timer.Now()
	if written {
		usableAt = usableAt.Add(deliverer.RecordedBefore)
	}
	a.deliverer.HandleStored(served.Addresses, usableAt)
}

// restoreServed restores what an earlier agent of the instance stored.
func (a *Agent) restoreServed(earlier predecessor) {
	a.trackerMu.Lock()
	a.tracker.RestoreIncarnation(earlier.served.Server)
	a.servedProven = a.servedProven || earlier.proven && earlier.found
	if earlier.proven && !earlier.found {
		a.tracker.SetNoPredecessor()
	}
	a.trackerMu.Unlock()
	a.deliverer.Restore(earlier.served.Addresses, earlier.proven && earlier.found)
	a.concludeAbsence()
	a.records.mu.Lock()
	defer a.records.mu.Unlock()
	a.records.resetter.HandlePredecessor(resetter.Predecessor{
		Found: earlier.found, Server: earlier.server, Recorded: earlier.flowRecords,
	}, a.Timer.Now())
}

// concludeAbsence makes use of the absence of an entry of an earlier agent, which the
// server's first announcement must confirm.
func (a *Agent) concludeAbsence() {
	a.trackerMu.Lock()
	concluded := !a.servedProven && a.tracker.NoPredecessor()
	a.servedProven = a.servedProven || concluded
	a.trackerMu.Unlock()
	if concluded {
		a.deliverer.Restore(nil, true)
	}
}

// verifiedEra returns the store's era if the agent knows every address whose flows its
// server may hold, and otherwise zero.
func (a *Agent) verifiedEra() uint64 {
	a.trackerMu.Lock()
	proven := a.servedProven || a.tracker.Complete()
	a.trackerMu.Unlock()
	if !proven {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verifier.Era()
}

// recordServed updates the agent's entry when its server has served or is to serve an
// address that the entry lacks, or when the server is another incarnation, which may
// have served none of them.
func (a *Agent) recordServed(ctx context.Context, now time.Time) {
	state := entryState{servedChanges: a.deliverer.ServedChanges(), incarnation: a.serverIncarnation()}
	documentWriteAt := a.documentWriteAt.Load()
	due := state != a.storedState || documentWriteAt != 0 && now.UnixNano() >= documentWriteAt
	if !due || now.Before(a.nextEntryWrite) || !a.registered.Load() {
		return
	}
	a.nextEntryWrite = now.Add(entryWriteInterval)
	if err := a.callStore(ctx, "update the entry", a.updateEntry); err != nil {
		a.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
		return
	}
	a.storedState = state
	a.documentWriteAt.CompareAndSwap(documentWriteAt, 0)
}
