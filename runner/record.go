package runner

import (
	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/steerer"
)

// recordStep logs and counts a balancer's decision on a packet. Packets that
// are forwarded to the known owner of their flow are only counted.
func (b *Balancer) recordStep(step steerer.Step, header gooseberrymast.PacketHeader) {
	b.metrics.countPacket(int(step.Action), step.Hop.Mode)
	var line *log.Entry
	switch {
	case step.Action == steerer.Reset:
		b.metrics.countRefusal(string(step.Reason))
		line = b.Log.Info(gooseberrymast.EventFlowReset)
	case step.Action == steerer.Drop:
		b.metrics.countRefusal(string(step.Reason))
		line = b.Log.Info(gooseberrymast.EventPacketDropped)
	case step.Hop.Mode == gooseberrymast.HopPlace:
		line = b.Log.Info(gooseberrymast.EventFlowPlaced)
	case step.Hop.Mode == gooseberrymast.HopLookup:
		line = b.Log.Info(gooseberrymast.EventFlowLookedUp)
	case step.Hop.Mode == gooseberrymast.HopWalk:
		line = b.Log.Info(gooseberrymast.EventFlowWalked)
	}
	if line == nil {
		return
	}
	line = line.Str("flow", header.FromCaller().String()).Uint64("version", routesVersion(b.steerer.Routes()))
	if step.Reason != "" {
		line = line.Str("reason", string(step.Reason))
	}
	if step.Action == steerer.Forward {
		line = line.Str("to", step.To.String()).Int("candidates-left", len(step.Hop.Candidates))
	}
	if step.Hop.Walk != 0 {
		line = line.Uint32("walk", step.Hop.Walk)
	}
	line.Msg("")
}

var balancerActionNames = [...]string{steerer.Drop: "drop", steerer.Forward: "forward", steerer.Reset: "reset", steerer.ReadEntries: "read-entries"}

// recordStep logs and counts an agent's decision on a packet. Packets of open
// flows are only counted.
func (a *Agent) recordStep(step deliverer.Step, key gooseberrymast.FlowKey, packet []byte) {
	a.metrics.countPacket(int(step.Action), step.Hop.Mode)
	if step.Reason != "" {
		a.metrics.countRefusal(string(step.Reason))
	}
	if step.Answered {
		a.metrics.observeServiceTime(step.Request.Duration)
	}
	line := a.newLogLine(step, key)
	if line == nil {
		return
	}
	line = line.Str("flow", key.String())
	if step.Reason != "" {
		line = line.Str("reason", string(step.Reason))
	}
	if step.Request != (deliverer.Request{}) {
		line = line.Str("request", step.Request.ID).Int64("took-ms", step.Request.Duration.Milliseconds())
	} else if request := a.Codec.RequestID(packet); request != "" {
		line = line.Str("request", request)
	}
	if step.Action == deliverer.Forward {
		line = line.Str("to", step.To.String()).Str("mode", step.Hop.Mode.String()).Bool("definite", step.Hop.Definite).
			Int("candidates-left", len(step.Hop.Candidates)).Uint32("walk", step.Hop.Walk)
	}
	server := a.serverState(a.Timer.Now())
	line.Str("server-status", server.Status.String()).Uint64("version", a.documentVersion()).Msg("")
}

// newLogLine starts the log line of a step, or returns nil if the step isn't logged.
func (a *Agent) newLogLine(step deliverer.Step, key gooseberrymast.FlowKey) *log.Entry {
	switch {
	case isRefusal(step):
		return a.addAdmission(a.Log.Info(gooseberrymast.EventFlowRefused))
	case step.Action == deliverer.Drop:
		return a.Log.Info(gooseberrymast.EventPacketDropped)
	case step.Action == deliverer.Forward && step.Hop.Mode == gooseberrymast.HopPlace:
		return a.Log.Info(gooseberrymast.EventFlowPassedOn)
	case step.Action == deliverer.Forward:
		return a.Log.Info(gooseberrymast.EventFlowNotHeld)
	case step.Event == deliverer.FlowTaken:
		return a.Log.Info(gooseberrymast.EventFlowTaken)
	case step.Event == deliverer.FlowTried:
		return a.Log.Info(gooseberrymast.EventFlowTried)
	case step.Event == deliverer.FlowLearned:
		return a.Log.Info(gooseberrymast.EventFlowLearned)
	case step.Event == deliverer.RequestCut:
		return a.Log.Warn(gooseberrymast.EventRequestCut)
	case step.Event == deliverer.RequestAbandoned:
		return a.Log.Info(gooseberrymast.EventRequestAbandoned)
	case step.Answered:
		if route, ok := a.currentRoutes().Lookup(key.Service); ok && route.Objective > 0 && step.Request.Duration > route.Objective {
			return a.Log.Info(gooseberrymast.EventRequestSlow).Int64("objective-ms", route.Objective.Milliseconds())
		}
	}
	return nil
}

var agentActionNames = [...]string{
	deliverer.Drop: "drop", deliverer.ToServer: "to-server", deliverer.ToCaller: "to-caller", deliverer.Forward: "forward",
}

// addAdmission adds to a line what the admission gate knows of its server.
func (a *Agent) addAdmission(line *log.Entry) *log.Entry {
	if line == nil {
		return nil
	}
	now := a.Timer.Now()
	state := a.deliverer.AdmissionState(now)
	_, busy := a.deliverer.Load()
	a.trackerMu.Lock()
	_, announcedAt := a.tracker.Last()
	a.trackerMu.Unlock()
	return line.Int64("wait-ms", state.Wait.Milliseconds()).Int("in-progress", busy).Int("expected", state.Expected).
		Int64("announced-ms", now.Sub(announcedAt).Milliseconds())
}

// routesVersion returns the operators' number of routes, or zero without any.
func routesVersion(routes *gooseberrymast.Routes) uint64 {
	if routes == nil {
		return 0
	}
	return routes.Version.Number
}
