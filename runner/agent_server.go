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
)

// server gives what the deliverer needs to know of the backend server.
func (a *Agent) server(now time.Time) deliverer.Server {
	a.trackerMu.Lock()
	defer a.trackerMu.Unlock()
	last, _ := a.tracker.Last()
	return deliverer.Server{
		Status: a.tracker.Status(now), Service: a.tracker.Service(), Slots: last.Slots, Complete: a.tracker.Complete(),
	}
}

func (a *Agent) announced(announcement gooseberrymast.Announcement) error {
	now := a.Timer.Now()
	a.trackerMu.Lock()
	before := a.tracker.Status(now)
	restarted, err := a.tracker.Announce(announcement, now)
	after := a.tracker.Status(now)
	a.trackerMu.Unlock()
	if err != nil {
		a.Log.Warn(gooseberrymast.EventAnnouncementIgnored).Str("server", announcement.ID).
			Int64("born", announcement.Born).Uint64("sequence", announcement.Sequence).Err(err).Msg("")
		return err
	}
	if restarted {
		a.Log.Info(gooseberrymast.EventServerRestarted).Str("server", announcement.ID).Int64("born", announcement.Born).Msg("")
		a.resetLost("server-restarted")
		a.deliverer.Fresh()
		a.assessorMu.Lock()
		a.assessor.Reset()
		a.assessorMu.Unlock()
	}
	if before != after {
		a.Log.Info(gooseberrymast.EventServerChanged).Str("server", announcement.ID).
			Stringer("from", before).Stringer("to", after).Uint64("sequence", announcement.Sequence).Msg("")
	}
	a.refresh(now)
	return nil
}

func (a *Agent) departed(id string, born int64) error {
	now := a.Timer.Now()
	a.trackerMu.Lock()
	err := a.tracker.Depart(id, born)
	a.trackerMu.Unlock()
	a.Log.Info(gooseberrymast.EventServerDeparted).Str("server", id).Err(err).Msg("")
	if err == nil {
		a.refresh(now)
	}
	return err
}

// resetLost tells the callers of the server's open flows that these are closed.
func (a *Agent) resetLost(reason string) {
	lost := a.deliverer.Lost()
	for _, of := range lost {
		a.write(a.outbound, a.Codec.AppendReset(nil, of), callerEndpoint(of.Source, a.Settings))
		a.metrics.refused(reason)
		a.Log.Info(gooseberrymast.EventFlowReset).Str("flow", of.FromCaller().String()).Str("reason", reason).Msg("")
	}
}

// checkServer looks whether a server that leaves packets or announcements out,
// or has not announced itself since the agent started, is dead. Its instance
// tells by refusing connections. A dead server holds no flows, which an agent
// must be able to say when it is asked for one.
func (a *Agent) checkServer(now time.Time) {
	status := a.server(now).Status
	suspicious := status == tracker.Silent || status == tracker.Unknown ||
		status == tracker.Ready && a.deliverer.Unanswered(now)
	if !suspicious || now.Sub(a.checked) < checkPause {
		return
	}
	a.checked = now
	conn, err := net.DialTimeout("tcp4", a.Settings.Server.String(), checkTimeout)
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
	a.tracker.Died()
	last, heard := a.tracker.Last()
	a.trackerMu.Unlock()
	line := a.Log.Warn(gooseberrymast.EventServerDead).Str("server", last.ID).Str("status", status.String())
	if !heard.IsZero() {
		line = line.Int64("last-heard-ms", now.Sub(heard).Milliseconds())
	}
	line.Err(err).Msg("")
	a.refresh(now)
	a.resetLost("server-dead")
}

func (a *Agent) malformed(id string, err error) {
	a.Log.Warn(gooseberrymast.EventAnnouncementIgnored).Str("server", id).Err(err).Msg("")
}

// refresh brings the agent's own state in line with its server's and tells
// peers of a change. An agent whose server is gone has nothing to come back
// for, so it doesn't say that it leaves: peers wait longer for one that does.
func (a *Agent) refresh(now time.Time) {
	server := a.server(now)
	state := gooseberrymast.StateStarting
	switch server.Status {
	case tracker.Ready:
		state = gooseberrymast.StateReady
	case tracker.Leaving:
		state = gooseberrymast.StateLeaving
	}
	service := server.Service
	if service == "" {
		service = a.Settings.Service
	}
	if a.stopping.Load() {
		return
	}
	if a.change(state, service) {
		a.notify()
	}
}

// probe asks the server for its health once, so that an agent which restarts
// need not wait for the next announcement.
func (a *Agent) probe(ctx context.Context, paths <-chan string) {
	if a.Health == nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case path := <-paths:
		if path == "" || a.server(a.Timer.Now()).Status != tracker.Unknown {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, healthTimeout)
		defer cancel()
		healthy, err := a.Health(ctx, a.Settings.Server, path)
		now := a.Timer.Now()
		a.Log.Info(gooseberrymast.EventServerProbed).Bool("healthy", healthy).Err(err).Msg("")
		a.trackerMu.Lock()
		a.tracker.Probed(a.Settings.Service, healthy, now)
		a.trackerMu.Unlock()
		a.refresh(now)
	}
}
