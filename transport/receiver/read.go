package receiver

import (
	"encoding/binary"
	"errors"
	"net"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
	"gooseberrymast/coordination/opener"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/protocol/inspector"
	"gooseberrymast/protocol/sealer"
)

// ReadFrom implements net.PacketConn. It returns the next packet that this agent
// has to handle and the caller's address.
func (r *Receiver) ReadFrom(payload []byte) (int, net.Addr, error) {
	for {
		if r.next == r.filled {
			n, err := r.conn.Read(r.batch)
			r.next, r.filled = 0, n
			r.now = r.config.Timer.Now()
			if err != nil {
				return 0, nil, err
			}
		}
		frame, _ := r.batch.Datagram(r.next)
		r.next++
		packet, ok := r.accept(frame)
		if !ok {
			continue
		}
		return copy(payload, packet), r.recordCaller(), nil
	}
}

// accept verifies a frame and handles its payload. It returns the payload and
// reports whether it is for this agent's QUIC stack.
func (r *Receiver) accept(frame []byte) ([]byte, bool) {
	payload, err := r.verify(frame)
	if err != nil {
		r.Counters.drop(dropReason(err))
		return nil, false
	}
	if r.header.Kind != framer.KindFlow && r.header.To != r.self {
		r.Counters.drop(DropWrongIncarnation)
		return nil, false
	}
	if r.header.Kind == framer.KindMoved {
		r.handleMoved(payload)
		return nil, false
	}
	packet, err := inspector.Parse(payload, sealer.Bytes)
	if err != nil {
		r.Counters.drop(DropNotQUIC)
		return nil, false
	}
	if r.header.Kind == framer.KindOpening {
		return payload, r.openFlow(payload, &packet)
	}
	if reason, ok := r.checkConnectionID(&packet); !ok {
		r.Counters.drop(reason)
		return nil, false
	}
	return payload, true
}

// verify authenticates a frame and runs the checks that apply to every kind.
func (r *Receiver) verify(frame []byte) ([]byte, error) {
	header := &r.header
	payload, err := r.framer.Open(frame, header)
	if err != nil {
		return nil, err
	}
	if header.Kind == framer.KindAnswer || header.To.Address != r.self.Address {
		return nil, framer.FaultWrongTarget
	}
	if header.Service != r.service {
		return nil, framer.FaultWrongService
	}
	if !r.windows.Accept(header.Origin, r.now) {
		return nil, framer.FaultReplayed
	}
	return payload, nil
}

// checkConnectionID checks that the connection ID was issued by this incarnation
// of the agent for its service. Packets of an earlier incarnation pass if they
// have a short header: QUIC has no flow for them and answers with a stateless
// reset.
func (r *Receiver) checkConnectionID(packet *inspector.Packet) (Drop, bool) {
	id, service, err := r.sealer.Open(packet.ID)
	switch {
	case err != nil:
		return DropUnknownEpoch, false
	case service != r.service:
		return DropWrongService, false
	case id == r.self:
		r.Counters.Established.Add(1)
		r.completeHandshake(packet)
		return 0, true
	case id.Address != r.self.Address:
		return DropWrongTarget, false
	case id.Incarnation < r.self.Incarnation && !packet.Long:
		r.Counters.Stale.Add(1)
		return 0, true
	}
	return DropWrongIncarnation, false
}

// completeHandshake marks the caller's handshake as complete on its first packet
// with a short header.
func (r *Receiver) completeHandshake(packet *inspector.Packet) {
	if packet.Long {
		return
	}
	if key := r.callers.takeOpening(r.header.Caller); key != 0 {
		r.completeOpening(key)
	}
}

func (r *Receiver) completeOpening(key uint64) {
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	r.opener.Complete(key)
}

// openFlow handles a packet that may open a flow. It reports whether this agent
// takes the flow.
func (r *Receiver) openFlow(payload []byte, packet *inspector.Packet) bool {
	first := opener.Packet{
		Key:      xxhash.Sum64(packet.ID),
		Hop:      r.header.Hop,
		ToTaker:  r.header.ToTaker,
		Declined: r.header.Declined,
		Takers:   r.header.Takers,
		Homes:    r.header.Homes,
	}
	decision := r.decide(&first)
	switch decision.Verdict {
	case opener.VerdictTake:
		r.Counters.Opening.Add(1)
		r.recordCaller()
		r.callers.setOpening(r.header.Caller, first.Key)
		return true
	case opener.VerdictPass:
		r.notifyMoved(first.Key, &decision)
		r.passOn(payload, &decision)
	case opener.VerdictDrop:
		r.Counters.drop(openerDrops[decision.Reason])
	}
	return false
}

func (r *Receiver) decide(first *opener.Packet) opener.Decision {
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	busy := !r.opener.Has(first.Key) && r.declines(first)
	decision := r.opener.FirstPacket(first, busy, r.now)
	if decision.New {
		r.detectFlood()
		if r.flooded() {
			r.opener.Complete(first.Key) // QUIC answers with a Retry and keeps no state
		}
	}
	return decision
}

// declines reports whether the agent prefers another agent to take a new flow.
func (r *Receiver) declines(first *opener.Packet) bool {
	if r.leaving.Load() || (r.config.AtFlowLimit != nil && r.config.AtFlowLimit()) {
		return true
	}
	offered := first.Takers[0] == r.self && !first.Takers[1].IsZero()
	return offered && r.config.PrefersSecond != nil && r.config.PrefersSecond(first.Takers[1])
}

// passOn sends a packet of a new flow to another agent. The header keeps the
// balancer's address, so that the answers go through the same balancer.
func (r *Receiver) passOn(payload []byte, decision *opener.Decision) {
	header := r.header
	header.Hop++
	header.ToTaker = decision.ToTaker
	header.Declined = decision.Declined
	if r.sendFrame(&header, decision.Peer, payload) {
		r.Counters.Passed.Add(1)
	}
}

// notifyMoved notifies the agents that decide about a flow that it was passed on.
func (r *Receiver) notifyMoved(key uint64, decision *opener.Decision) {
	for _, home := range decision.Notify {
		if home.IsZero() {
			continue
		}
		header := framer.Header{
			Kind:    framer.KindMoved,
			Service: r.service,
			Takers:  [2]gooseberrymast.Identity{decision.Peer, r.self},
		}
		var payload [framer.KeyBytes]byte
		binary.BigEndian.PutUint64(payload[:], key)
		r.sendFrame(&header, home, payload[:])
	}
}

// handleMoved handles the notification that an agent passed a flow on to another.
func (r *Receiver) handleMoved(payload []byte) {
	if len(payload) != framer.KeyBytes {
		r.Counters.drop(DropTruncated)
		return
	}
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	r.opener.HandleMoved(binary.BigEndian.Uint64(payload), r.header.Takers[1], r.header.Takers[0])
}

// recordCaller records the balancer that delivered the last frame and returns the
// caller's address.
func (r *Receiver) recordCaller() *net.UDPAddr {
	deliveredBy := path{balancer: r.header.Balancer, sender: r.header.BalancerSender, index: r.header.Index}
	validated := r.header.Kind == framer.KindFlow
	return r.callers.recordPath(r.header.Caller, deliveredBy, validated, r.now)
}

// dropReason returns the reason to count for an error of verify.
func dropReason(err error) Drop {
	var fault framer.Fault
	if errors.As(err, &fault) {
		return frameDrops[fault]
	}
	return DropNotQUIC
}

var frameDrops = map[framer.Fault]Drop{
	framer.FaultTruncated:    DropTruncated,
	framer.FaultOversized:    DropOversized,
	framer.FaultBadVersion:   DropBadVersion,
	framer.FaultBadKind:      DropBadVersion,
	framer.FaultUnknownEpoch: DropUnknownEpoch,
	framer.FaultForged:       DropForged,
	framer.FaultReplayed:     DropReplayed,
	framer.FaultWrongService: DropWrongService,
	framer.FaultWrongTarget:  DropWrongTarget,
}

var openerDrops = map[opener.Reason]Drop{
	opener.ReasonNotNamed: DropNotNamed,
	opener.ReasonHalfOpen: DropHalfOpen,
	opener.ReasonHops:     DropHops,
}
