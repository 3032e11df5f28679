package deliverer

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/predictor"
)

type flow struct {
	openedAt time.Time
	lastUsed time.Time
	// lastAck is the caller's last acknowledgement number.
	lastAck uint32
	// callerEnd is the sequence number after the last byte from the caller.
	callerEnd uint32
	// serverEnd is the sequence number after the last byte from the server, and
	// serverBegan is set once the server has sent anything.
	serverEnd   uint32
	serverBegan bool
	// answered is set when the server has sent anything.
	answered bool
	// heard is the number of the server's packets when the flow was added.
	heard uint64
	// answer is the position of the server's last answer to the flow's opening among
	// those of all flows; zero while there is none.
	answer uint64
	// opened is set when the flow has opened at this server: the caller has
	// acknowledged it, or it has sent data. Before that it may be open at another
	// server, which answered a copy of its opening packet.
	opened bool
	// busy is set while a request of the flow is in progress.
	busy bool
	// closed is set once the server has ended its side of the flow, and ended once
	// the caller has ended its own or either has reset the flow.
	closed, ended bool
	// idleTimeout is the longest that any document in force since the flow was opened
	// has allowed; zero while none is known.
	idleTimeout time.Duration
	// first is set until the first request of a flow that was taken.
	first bool
	// requests counts the requests that have begun.
	requests int
	// requestID and busySince belong to the request in progress.
	requestID string
	busySince time.Time
	work      predictor.Flow
	// notify is a balancer to notify of the owner once the server has answered.
	notify gooseberrymast.Endpoint
	// announced are the lookup balancers that the flow was announced to.
	announced [2]gooseberrymast.Endpoint
}

// maxInFlight bounds the bytes that a server has sent and a caller has not yet
// acknowledged: 16 packets of 1,200 bytes.
const maxInFlight = 16 * 1200

// acknowledges reports whether a caller's packet acknowledges what this server has
// sent. Servers choose their first sequence numbers at random, so a packet for another
// one doesn't.
func (f *flow) acknowledges(header gooseberrymast.PacketHeader) bool {
	return f.serverBegan && f.serverEnd-header.Acknowledgement <= maxInFlight
}

// precedes reports whether the bytes known from the caller end before a sequence number.
// Sequence numbers wrap, so their difference is compared.
func (f *flow) precedes(end uint32) bool {
	return f.callerEnd == 0 || int32(end-f.callerEnd) > 0
}

// recordPending records the hop of a packet for the case that the server returns
// it, and returns the packet's tag.
func (d *Deliverer) recordPending(hop gooseberrymast.Hop) uint32 {
	d.lastTag++
	if d.lastTag == 0 {
		d.lastTag++
	}
	d.pending[d.lastTag%maxPending] = pendingPacket{tag: d.lastTag, hop: hop}
	return d.lastTag
}

func (d *Deliverer) addFlow(key gooseberrymast.FlowKey, now time.Time) *flow {
	if d.flows == nil {
		d.flows = map[gooseberrymast.FlowKey]*flow{}
	}
	d.addServed(key.Service)
	d.makeRoom(now)
	f := &flow{openedAt: now, lastUsed: now, idleTimeout: d.idleTimeout, heard: d.heard, work: d.Work.Open(key.Service, now)}
	d.flows[key] = f
	d.openFlows++
	return f
}

func (d *Deliverer) dropFlow(key gooseberrymast.FlowKey, f *flow) {
	d.setBusy(f, false)
	d.Work.Drop(&f.work)
	if !f.closed {
		d.openFlows--
		if d.Admission != nil {
			d.Admission.FlowClosed(key)
		}
	}
	delete(d.flows, key)
}

func (d *Deliverer) setBusy(f *flow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		f.requests++
		d.busyFlows++
	} else {
		d.busyFlows--
	}
}
