package runner

import (
	"errors"
	"net"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/wrapper"
)

// handlePeerPacket processes a packet that a peer forwarded.
func (a *Agent) handlePeerPacket(received []byte, sender gooseberrymast.Endpoint, now time.Time) {
	hop, packet, err := wrapper.Split(received)
	if err != nil {
		a.Log.Warn(gooseberrymast.EventPacketMalformed).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	header, err := a.Codec.Decode(packet)
	if err != nil {
		a.Log.Warn(gooseberrymast.EventPacketMalformed).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	routes := a.currentRoutes()
	if header.Payload > 0 {
		a.deliverer.SetRequestID(header.FromCaller(), a.Codec.RequestID(packet))
	}
	server := a.serverState(now)
	if header.Opens {
		server = a.serverForNewFlows(now)
	}
	step := a.deliverer.FromPeer(header, hop, server, routes, now)
	a.recordOutcome(step, header.FromCaller(), packet, now)
	if step.Keep {
		a.deliverer.Keep(step, header, packet)
		wake(a.kept)
	}
	a.execute(step, header.FromCaller(), packet)
}

// receiveFromServer processes the packets of the backend server until the socket
// is closed.
func (a *Agent) receiveFromServer() {
	packet := make([]byte, maxDatagram)
	for {
		n, _, err := a.outbound.ReadFromUDPAddrPort(packet)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			a.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("reading from the server failed")
			continue
		}
		header, err := a.Codec.Decode(packet[:n])
		if err != nil {
			a.Log.Warn(gooseberrymast.EventPacketMalformed).Int("bytes", n).Msg("")
			continue
		}
		now := a.Timer.Now()
		if header.Returned {
			a.Codec.ClearReturned(packet[:n])
			step := a.deliverer.HandleReturned(header, now)
			if step.Forgotten {
				a.throttler.HandleStart(now)
			}
			a.execute(step, header.FromCaller(), packet[:n])
			continue
		}
		step := a.deliverer.FromServer(header, now)
		a.recordOutcome(step, header.FromServer(), packet[:n], now)
		a.execute(step, header.FromServer(), packet[:n])
	}
}

// execute carries out the step decided for a packet.
func (a *Agent) execute(step deliverer.Step, key gooseberrymast.FlowKey, packet []byte) {
	switch step.Action {
	case deliverer.ToServer:
		a.Codec.SetTag(packet, step.Tag)
		a.write(a.outbound, packet, a.Settings.Server)
	case deliverer.ToCaller:
		a.write(a.outbound, packet, callerEndpoint(key.Caller, a.Settings))
	case deliverer.Forward:
		a.write(a.conn, append(wrapper.Append(make([]byte, 0, maxDatagram), step.Hop), packet...), step.To)
	}
	if !step.Notify.IsZero() {
		a.send(interpreter.Owners(a.Settings.Peers, []gooseberrymast.FlowKey{key}), step.Notify)
	}
	a.recordStep(step, key, packet)
}
