package runner

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/tracker"
	"gooseberrymast/protocol/interpreter"
)

// serverState returns the state of the backend server for the deliverer.
func (a *Agent) serverState(now time.Time) deliverer.Server {
	routes := a.currentRoutes()
	a.trackerMu.Lock()
	defer a.trackerMu.Unlock()
	last, _ := a.tracker.Last()
	service := a.tracker.ServiceName()
	if service == "" {
		service = a.Settings.Service
	}
	return deliverer.Server{
		Status: a.tracker.Status(now), Service: service, Slots: last.Slots, Complete: a.tracker.Complete(),
		Admission: a.admissionActive(last.Slots, service, routes),
	}
}

// handleAnnouncement processes an announcement. If it names another server than the one
// that is known, a health check decides which of them runs.
// serverForNewFlows returns the state of the backend server for a decision on new flows.
func (a *Agent) serverForNewFlows(now time.Time) deliverer.Server {
	server := a.serverState(now)
	server.Evacuated, server.EvacuationUnknown = a.ownZoneEvacuated(now), !a.hasUsableEvacuations(now)
	return server
}

func (a *Agent) handleAnnouncement(announcement gooseberrymast.Announcement) error {
	err := a.tryAnnouncement(announcement)
	if errors.Is(err, tracker.ErrOtherInstance) && a.probeAgain() {
		err = a.tryAnnouncement(announcement)
	}
	if err != nil {
		a.Log.Warn(gooseberrymast.EventAnnouncementIgnored).Str("server", announcement.ID).
			Int64("born", announcement.StartUnixMs).Uint64("sequence", announcement.Sequence).Err(err).Msg("")
	}
	return err
}

func (a *Agent) tryAnnouncement(announcement gooseberrymast.Announcement) error {
	now := a.Timer.Now()
	a.trackerMu.Lock()
	before := a.tracker.Status(now)
	restarted, err := a.tracker.HandleAnnouncement(announcement, now)
	after := a.tracker.Status(now)
	var lost []gooseberrymast.PacketHeader
	if err == nil {
		// Under the same lock, so that announcements keep their order.
		lost = a.deliverer.HandleAnnouncement(restarted)
		a.predictor.HandleServer(announcement.Slots, announcement.WarmUpLeft, restarted, now)
		a.throttler.HandleAnnouncement(announcement.WarmUpLeft, restarted, now)
	}
	a.trackerMu.Unlock()
	if err != nil {
		return err
	}
	a.suspectEnded.Store(false)
	a.concludeAbsence()
	a.handleServerIncarnation(announcement, now)
	if restarted {
		a.Log.Info(gooseberrymast.EventServerRestarted).Str("server", announcement.ID).Int64("born", announcement.StartUnixMs).Msg("")
		a.resetLost("server-restarted", lost)
		a.deliverer.ClearServed()
		a.assessorMu.Lock()
		a.assessor.Reset()
		a.assessorMu.Unlock()
	}
	if before != after {
		a.Log.Info(gooseberrymast.EventServerChanged).Str("server", announcement.ID).
			Stringer("from", before).Stringer("to", after).Uint64("sequence", announcement.Sequence).Msg("")
	}
	a.refreshState(now)
	return nil
}

func (a *Agent) handleDeparture(id string, startUnixMs int64) error {
	now := a.Timer.Now()
	a.trackerMu.Lock()
	err := a.tracker.HandleDeparture(id, startUnixMs)
	if err == nil && !a.tracker.Ended() {
		a.suspectEnded.Store(true)
	}
	a.trackerMu.Unlock()
	a.Log.Info(gooseberrymast.EventServerDeparted).Str("server", id).Err(err).Msg("")
	if err == nil {
		a.refreshState(now)
	}
	return err
}

// resetLost sends the callers of flows that the server has lost a reset.
func (a *Agent) resetLost(reason string, lost []gooseberrymast.PacketHeader) {
	for _, header := range lost {
		a.write(a.outbound, a.Codec.AppendReset(nil, header), callerEndpoint(header.Source, a.Settings))
		a.metrics.countRefusal(reason)
		a.Log.Info(gooseberrymast.EventFlowReset).Str("flow", header.FromCaller().String()).Str("reason", reason).Msg("")
	}
}

// checkServer checks whether the server has failed if it leaves packets
// unanswered, has stopped its announcements, has not announced itself since the agent
// started, or sent a departure that may have been late. The agent has to detect this because a failed server has no flows,
// and the agent must report so when it is queried for one.
func (a *Agent) checkServer(now time.Time) {
	status := a.serverState(now).Status
	suspicious := a.suspectEnded.Load() || status == tracker.Silent || status == tracker.Unknown ||
		status == tracker.Ready && a.deliverer.HasUnansweredOpening(now)
	if !suspicious || now.Sub(a.lastCheck) < serverCheckInterval {
		return
	}
	a.lastCheck = now
	a.connectToServer(now, status)
}

// connectToServer connects to the server and closes the connection. A failed server's
// instance refuses it.
func (a *Agent) connectToServer(now time.Time, status tracker.Status) {
	conn, err := net.DialTimeout("tcp4", a.Settings.Server.String(), serverCheckTimeout)
	if err == nil {
		if err := conn.Close(); err != nil {
			a.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("closing the check of the server failed")
		}
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	a.trackerMu.Lock()
	a.tracker.MarkFailed()
	last, receivedAt := a.tracker.Last()
	a.trackerMu.Unlock()
	line := a.Log.Warn(gooseberrymast.EventServerDead).Str("server", last.ID).Str("status", status.String())
	if !receivedAt.IsZero() {
		line = line.Int64("last-heard-ms", now.Sub(receivedAt).Milliseconds())
	}
	line.Err(err).Msg("")
	a.refreshState(now)
	a.resetLost("server-dead", a.deliverer.DropFlows())
}

func (a *Agent) handleMalformed(id string, err error) {
	a.Log.Warn(gooseberrymast.EventAnnouncementIgnored).Str("server", id).Err(err).Msg("")
}

// refreshState updates the agent's state to match its server's and reports a
// change to peers. An agent whose server is gone does not report that it is
// leaving: peers wait longer for the return of an agent that leaves, and this one
// would come back without flows.
func (a *Agent) refreshState(now time.Time) {
	server := a.serverState(now)
	if server.Status != tracker.Unknown && server.Status != tracker.Gone {
		a.serverKnownOnce.Do(func() { close(a.serverKnown) })
	}
	state := gooseberrymast.StateStarting
	switch server.Status {
	case tracker.Ready:
		state = gooseberrymast.StateReady
	case tracker.Leaving:
		state = gooseberrymast.StateLeaving
	}
	service := server.Service
	if a.stopping.Load() {
		return
	}
	if a.setState(state, service) {
		a.setWarmUp(a.currentRoutes(), service)
		a.triggerReport()
	}
}

// awaitKnownServer waits for the server and hides the agent if the store has no entry of
// it. Such an agent holds no flow, and may be stopped for good before it ever has a
// server; peers that know it would wait for its answers. It stays hidden until its entry
// is written, so that no entry means that no agent has served.
func (a *Agent) awaitKnownServer(ctx context.Context) {
	backoff := registerBackoff
	for ctx.Err() == nil {
		err := a.callStore(ctx, "look for the entry", func(ctx context.Context) error {
			found, err := a.Store.Get(ctx, entryKey(a.Settings.Peers))
			if err != nil {
				return err
			}
			a.mu.Lock()
			a.entry = canonicalEntry(found)
			a.mu.Unlock()
			if earlier, served, err := interpreter.DecodeRecord(found.Value); err == nil && earlier.Service == a.Settings.Service {
				a.trackerMu.Lock()
				a.tracker.RestoreIncarnation(served.Server)
				a.trackerMu.Unlock()
			}
			return nil
		})
		switch {
		case err == nil:
			return
		case errors.Is(err, gooseberrymast.ErrStoreNotFound):
			// The store may have lost the entry, unless the era has settled.
			if a.eraState().settled {
				a.trackerMu.Lock()
				a.tracker.SetNoPredecessor()
				a.trackerMu.Unlock()
			}
			a.hidden.Store(true)
			select {
			case <-ctx.Done():
			case <-a.serverKnown:
			}
			return
		}
		a.Log.Warn(gooseberrymast.EventRegisterFailed).Err(err).Msg("")
		sleep(ctx, a.Timer, backoff)
		backoff = min(2*backoff, maxRegisterBackoff)
	}
}

// probeServer checks the server's health once, so that a restarted agent doesn't
// have to wait for the next announcement.
func (a *Agent) probeServer(ctx context.Context, paths <-chan string) {
	if a.Health == nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case path := <-paths:
		if path == "" || a.serverState(a.Timer.Now()).Status != tracker.Unknown {
			return
		}
		a.probe(ctx, path)
	}
}

// probe checks the server's health.
func (a *Agent) probe(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	report, err := a.Health(ctx, a.Settings.Server, path)
	now := a.Timer.Now()
	a.Log.Info(gooseberrymast.EventServerProbed).Bool("healthy", report.Healthy).Str("server", report.Instance).Err(err).Msg("")
	a.trackerMu.Lock()
	a.tracker.HandleProbe(report, now)
	a.trackerMu.Unlock()
	a.refreshState(now)
}

// probeAgain checks the server's health, unless this was done a moment ago, and reports
// whether it did.
func (a *Agent) probeAgain() bool {
	routes := a.currentRoutes()
	if a.Health == nil || routes == nil || routes.HealthPaths[a.Settings.Service] == "" {
		return false
	}
	a.trackerMu.Lock()
	now := a.Timer.Now()
	due := now.Sub(a.lastProbe) >= serverCheckInterval
	if due {
		a.lastProbe = now
	}
	a.trackerMu.Unlock()
	if due {
		a.probe(context.Background(), routes.HealthPaths[a.Settings.Service])
	}
	return due
}

// beginIntroduction keeps flows from the server of a new instance until all balancers
// know it.
func (a *Agent) beginIntroduction(now time.Time) {
	a.trackerMu.Lock()
	a.tracker.BeginIntroduction(now)
	a.trackerMu.Unlock()
	a.refreshState(now)
}
