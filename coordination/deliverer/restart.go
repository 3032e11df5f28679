package deliverer

import "gooseberrymast"

// HandleAnnouncement processes an announcement of the server; restarted is set when it
// is the first of a new incarnation. The flows of the one before are lost: it returns
// the headers of the packets to answer with a reset, so that their callers need not
// wait until their next request fails.
//
// A new incarnation takes flows before its first announcement, and which flows are its
// own is not a matter of time: the clocks of the server and the agent may differ. A
// flow is lost if the incarnation before was still running after the flow was
// accepted. Others are kept, and the server returns the packets of those that it
// doesn't hold.
func (d *Deliverer) HandleAnnouncement(restarted bool) []gooseberrymast.PacketHeader {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
	var resets []gooseberrymast.PacketHeader
	if restarted {
		resets = d.drop(func(f *flow) bool { return f.answer <= d.ownAnswers })
	} else {
		// The incarnation still ran when it had sent its last announcement, so that
		// all answers up to then are its own.
		d.ownAnswers = d.announcedAnswers
	}
	d.announcedAnswers = d.answers
	return resets
}

// DropFlows drops all flows, since the server has ended. It returns the headers of the
// packets to answer with a reset.
func (d *Deliverer) DropFlows() []gooseberrymast.PacketHeader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drop(func(*flow) bool { return true })
}

func (d *Deliverer) drop(lost func(*flow) bool) []gooseberrymast.PacketHeader {
	var resets []gooseberrymast.PacketHeader
	for key, f := range d.flows {
		if !lost(f) {
			continue
		}
		if !f.closed && f.opened {
			resets = append(resets, gooseberrymast.PacketHeader{
				Source: key.Caller, Destination: key.Service, Acknowledgement: f.lastAck,
			})
		}
		d.dropFlow(key, f)
	}
	return resets
}

// attribute updates what is known about the incarnation that holds each flow by a
// packet that the server sends. The server's packets arrive in the order in which they
// were sent, so those of an earlier incarnation precede those of a later one.
func (d *Deliverer) attribute(f *flow, header gooseberrymast.PacketHeader) {
	switch {
	case header.Accepts || f.answer == 0:
		d.answers++
		f.answer = d.answers
	case f.answer <= d.ownAnswers && !header.Resets:
		// The incarnation that accepted this flow accepted all flows up to now.
		d.ownAnswers = d.answers
	}
}
