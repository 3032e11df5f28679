package deliverer

import (
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// maxHeldPackets bounds the packets that are held. The admission gate holds fewer; the
	// bound keeps memory small whatever the gate does.
	maxHeldPackets = 64
	// maxHeldBytes bounds their bytes. An opening packet has less than 100 bytes.
	maxHeldBytes = 16 << 10
	// maxHeldTime is the time after which a held packet is dropped, when the agent was
	// paused: the caller sends a copy 200 ms after the first packet, which may open the
	// flow elsewhere, and two balancers and agents lie on the way.
	maxHeldTime = 150 * time.Millisecond
)

// heldPacket is a new flow's packet that waits for the admission gate.
type heldPacket struct {
	header gooseberrymast.PacketHeader
	hop    gooseberrymast.Hop
	packet []byte
	at     time.Time
}

// Released is the decision on a packet that was held.
type Released struct {
	Step   Step
	Key    gooseberrymast.FlowKey
	Packet []byte
	// Held is the time for which the packet was held.
	Held time.Duration
}

// Hold keeps a packet for which FromPeer has returned Hold, with the hop of that step. It
// copies the packet. It returns the packets that are refused in return.
func (d *Deliverer) Hold(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, packet []byte, server Server,
	routes *gooseberrymast.Routes, now time.Time) []Released {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromCaller()
	if d.isHeld(key) {
		return nil
	}
	entry := heldPacket{header: header, hop: hop, packet: slices.Clone(packet), at: now}
	if d.leaving || len(d.held) >= maxHeldPackets || d.heldBytes+len(packet) > maxHeldBytes {
		return []Released{d.refuseHeld(entry, ReasonServerFull, true, now)}
	}
	d.held = append(d.held, entry)
	d.heldBytes += len(packet)
	evicted, full := d.Admission.Hold(d.flowOffer(header, hop, server, routes), now)
	if !full {
		return nil
	}
	if removed, found := d.removeHeld(evicted); found {
		return []Released{d.refuseHeld(removed, ReasonGaveWay, true, now)}
	}
	return nil
}

// HeldCount returns the number of packets that are held.
func (d *Deliverer) HeldCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held)
}

// Release returns the held packets that go to the server or to the next candidate now. It
// is called after each end of a request and by a timer.
func (d *Deliverer) Release(server Server, routes *gooseberrymast.Routes, now time.Time) []Released {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.held) == 0 {
		return nil
	}
	released := d.releaseUndeliverable(server, routes, now)
	for len(d.held) > 0 {
		decisions := d.Admission.Release(now)
		if len(decisions) == 0 {
			break
		}
		for _, decision := range decisions {
			entry, found := d.removeHeld(decision.Key)
			if !found {
				continue
			}
			if decision.Decision.Verdict != gooseberrymast.GateAdmit {
				released = append(released, d.refuseHeld(entry, Reason(decision.Decision.Reason), decision.Decision.Definite, now))
				continue
			}
			offer := d.flowOffer(entry.header, entry.hop, server, routes)
			// The gates before it admitted the flow when it came; their limits may be used up.
			if refused := askGates(d.Gates, offer, now); refused.Verdict != gooseberrymast.GateAdmit {
				released = append(released, d.refuseHeld(entry, Reason(refused.Reason), refused.Definite, now))
				continue
			}
			step := d.take(offer, entry.header, entry.hop, server, now)
			released = append(released, Released{step, decision.Key, entry.packet, now.Sub(entry.at)})
		}
	}
	return released
}

// releaseUndeliverable releases the packets that can't wait any longer: the agent was
// paused, or it or its server takes no new flows.
func (d *Deliverer) releaseUndeliverable(server Server, routes *gooseberrymast.Routes, now time.Time) []Released {
	var released []Released
	for _, entry := range slices.Clone(d.held) {
		key := entry.header.FromCaller()
		if now.Sub(entry.at) > maxHeldTime {
			d.unhold(key)
			released = append(released, Released{Step{Action: Drop, Reason: ReasonHeldTooLong}, key, entry.packet, now.Sub(entry.at)})
			continue
		}
		reason, definite := d.refusal(entry.hop, key, server, routes)
		if reason == "" && !d.admits(server) {
			reason, definite = ReasonServerFull, true
		}
		if reason != "" {
			d.unhold(key)
			released = append(released, d.refuseHeld(entry, reason, definite, now))
		}
	}
	return released
}

func (d *Deliverer) refuseHeld(entry heldPacket, reason Reason, definite bool, now time.Time) Released {
	definite = definite && d.refused.add(entry.header.FromCaller(), now)
	return Released{d.passOn(entry.hop, reason, definite), entry.header.FromCaller(), entry.packet, now.Sub(entry.at)}
}

func (d *Deliverer) isHeld(key gooseberrymast.FlowKey) bool {
	return slices.ContainsFunc(d.held, func(entry heldPacket) bool { return entry.header.FromCaller() == key })
}

// unhold drops a held packet.
func (d *Deliverer) unhold(key gooseberrymast.FlowKey) {
	if _, found := d.removeHeld(key); found {
		d.Admission.Unhold(key)
	}
}

func (d *Deliverer) removeHeld(key gooseberrymast.FlowKey) (heldPacket, bool) {
	for i, entry := range d.held {
		if entry.header.FromCaller() == key {
			d.held = slices.Delete(d.held, i, i+1)
			d.heldBytes -= len(entry.packet)
			return entry, true
		}
	}
	return heldPacket{}, false
}

// AdmissionState returns what the admission gate knows of the server.
func (d *Deliverer) AdmissionState(now time.Time) gooseberrymast.AdmissionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Admission == nil {
		return gooseberrymast.AdmissionState{}
	}
	return d.Admission.State(now)
}

// HandleShed records that the server refused a flow's last request without running it.
func (d *Deliverer) HandleShed(key gooseberrymast.FlowKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Admission != nil {
		d.Admission.RequestShed(key, now)
	}
}
