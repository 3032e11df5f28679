// Package resetter decides at an agent that has started which callers of recorded flows
// are sent a reset, and how fast.
//
// Load pattern: all instances are lost at once, and only the callers still know the open
// flows. One that lies idle would be found dead by its caller's next request, which is
// lost if it may not run twice. Nothing but a later incarnation of the server at the
// same address proves that a recorded flow is lost: a server may outlive all processes
// of the load balancer, and announcements of one that has ended may arrive late.
package resetter

import (
	"time"

	"gooseberrymast"
)

const (
	// TickInterval is the time between two calls of Due and Next.
	TickInterval = 100 * time.Millisecond
	// resetsPerTick is the number of resets in each interval. 35 flows, as an agent has
	// today, take 0.2 s and 512 take 2.6 s; the callers open new flows in return, which
	// a server that has just started must bear.
	resetsPerTick = 20
	// retryAfter is the delay before a failed read is repeated. It doubles up to
	// maxRetryAfter.
	retryAfter    = 200 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
	// lateTime is how long after the first announcement a later incarnation is waited for
	// before the records may be replaced: that announcement may be a late one of a server
	// that has ended, and a server announces itself within 0.8 s of its start.
	lateTime = 3 * time.Second
)

// Resetter holds the state of one agent's decisions. Its exported field is set before
// use. It is not safe for concurrent use.
type Resetter struct {
	// MaxAge is the time after which a flow may be discarded, so that records which were
	// last confirmed earlier are of no use.
	MaxAge time.Duration

	// registered is set once the agent knows what earlier processes left in the store,
	// recorded if that may include records of its flows, and done once there is nothing
	// left to decide.
	registered, recorded, done bool
	// recordedServer is the incarnation that the agent's own entry named, in the form of
	// the entry.
	recordedServer string
	// server is the latest incarnation that was announced, serverName is its name in the
	// form of the entry, and announcedAt is when the first one was announced.
	server      gooseberrymast.ServerIncarnation
	serverName  string
	announcedAt time.Time
	// read is set once the records were read, readAt is when a failed read is repeated.
	read     bool
	readAt   time.Time
	giveUpAt time.Time
	failures int
	records  gooseberrymast.AgentFlows
}

// Predecessor is what the store says of the processes before a loss.
type Predecessor struct {
	// Found is set if an earlier agent of the instance has left an entry.
	Found bool
	// Server is the incarnation that the entry names; empty if it names none.
	Server string
	// Recorded is set if a relay of the zone has recorded flows.
	Recorded bool
}

// HandlePredecessor processes what the agent read when it registered. Only the first
// call has an effect.
func (r *Resetter) HandlePredecessor(predecessor Predecessor, now time.Time) {
	if r.registered {
		return
	}
	r.registered = true
	r.recordedServer = predecessor.Server
	r.recorded = predecessor.Found && predecessor.Recorded
	r.done = !r.recorded
	r.giveUpAt = now.Add(r.MaxAge)
}

// Recorded reports whether the store may hold records of the agent.
func (r *Resetter) Recorded() bool {
	return r.recorded
}

// HandleServer processes an incarnation that the server has announced, and its name in
// the agent's entry. Late announcements of an earlier one have no effect.
func (r *Resetter) HandleServer(server gooseberrymast.ServerIncarnation, name string, now time.Time) {
	if r.serverName == "" {
		r.announcedAt = now
	}
	if r.serverName == "" || server.Replaces(r.server) {
		r.server, r.serverName = server, name
	}
}

// Due reports whether the zone's records are to be read now. They are read only once,
// and not while the server is the incarnation that the agent's entry named.
func (r *Resetter) Due(now time.Time) bool {
	if !r.registered || r.done || r.read || r.serverName == "" || r.serverName == r.recordedServer {
		return false
	}
	if now.After(r.giveUpAt) {
		r.done = true
		return false
	}
	return !now.Before(r.readAt)
}

// HandleFailedRead processes a read that failed.
func (r *Resetter) HandleFailedRead(now time.Time) {
	r.readAt = now.Add(min(retryAfter<<min(r.failures, 8), maxRetryAfter))
	r.failures++
}

// HandleRead processes the records of the agent, which are empty if there are none.
func (r *Resetter) HandleRead(records gooseberrymast.AgentFlows) {
	r.read, r.records = true, records
	r.done = len(records.Flows) == 0
}

// Settled reports whether the agent's records may be replaced, and the epoch that was
// read in them. A proof of loss that comes later finds the records that were read, but
// they are not read any more.
func (r *Resetter) Settled(now time.Time) (epoch uint64, settled bool) {
	if !r.registered {
		return 0, false
	}
	if r.done {
		return r.records.Epoch, true
	}
	known := r.read || r.serverName != "" && r.serverName == r.recordedServer
	if !known || r.server.Replaces(r.records.Server) || now.Sub(r.announcedAt) < lateTime {
		return 0, false
	}
	r.done = !r.read
	return r.records.Epoch, true
}

// Next returns the packets to answer with a reset in this interval. Without routes it
// waits for them, since the route of a record may have been removed. holds reports
// whether the agent itself holds a flow with that key.
func (r *Resetter) Next(routes *gooseberrymast.Routes, holds func(gooseberrymast.FlowKey) bool, now time.Time) []gooseberrymast.PacketHeader {
	if !r.read || r.done {
		return nil
	}
	// A negative age means that the instance's clock went back.
	age := time.Duration(now.UnixMilli()-r.records.ConfirmedUnixMs) * time.Millisecond
	if age < 0 || age > r.MaxAge {
		r.finish()
		return nil
	}
	if routes == nil || !r.server.Replaces(r.records.Server) {
		return nil
	}
	var resets []gooseberrymast.PacketHeader
	for len(r.records.Flows) > 0 && len(resets) < resetsPerTick {
		record := r.records.Flows[0]
		r.records.Flows = r.records.Flows[1:]
		if _, routed := routes.Lookup(record.Key.Service); !routed || holds(record.Key) {
			continue
		}
		resets = append(resets, gooseberrymast.PacketHeader{
			Source: record.Key.Caller, Destination: record.Key.Service, Acknowledgement: record.Acknowledgement,
		})
	}
	if len(r.records.Flows) == 0 {
		r.finish()
	}
	return resets
}

func (r *Resetter) finish() {
	r.done, r.records.Flows = true, nil
}
