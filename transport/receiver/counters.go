package receiver

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast/transport/counter"
)

// Drop is a reason for which the agent drops a packet.
type Drop uint8

// Reasons for dropping a packet.
const (
	// DropTruncated is a frame or payload that is too short.
	DropTruncated Drop = iota
	// DropOversized is a frame that is too large.
	DropOversized
	// DropBadVersion is a frame of another version or an unknown kind.
	DropBadVersion
	// DropUnknownEpoch is a frame or a connection ID of an unknown key epoch.
	DropUnknownEpoch
	// DropForged is a frame whose MAC is wrong.
	DropForged
	// DropReplayed is a frame that was received before or is too old for the
	// replay window.
	DropReplayed
	// DropWrongTarget is a frame for another address or another kind of
	// process.
	DropWrongTarget
	// DropWrongService is a packet for another service than the agent's.
	DropWrongService
	// DropWrongIncarnation is a packet for another incarnation of this agent.
	DropWrongIncarnation
	// DropNotQUIC is a frame whose payload isn't a QUIC packet.
	DropNotQUIC
	// DropNotNamed is a new flow whose frame doesn't name this agent.
	DropNotNamed
	// DropHalfOpen is a new flow above the limit of incomplete handshakes.
	DropHalfOpen
	// DropHops is a packet that would be passed on more than opener.MaxHop
	// times.
	DropHops
	// DropUnknownCaller is an answer to a caller that isn't in the table.
	DropUnknownCaller
	// DropSend is a packet that the operating system refused to send.
	DropSend

	numDrops
)

var dropNames = [numDrops]string{
	"truncated", "oversized", "bad-version", "unknown-epoch", "forged", "replayed", "wrong-target", "wrong-service",
	"wrong-incarnation", "not-quic", "not-named", "half-open-limit", "hop-limit", "unknown-caller", "send-refused",
}

// String returns the reason in kebab case.
func (d Drop) String() string {
	return dropNames[d]
}

// Counters counts an agent's packets. It is a prometheus.Collector. The zero
// value is ready to use.
type Counters struct {
	// Established counts packets of established flows.
	Established atomic.Uint64
	// Opening counts packets of new flows that the agent accepted.
	Opening atomic.Uint64
	// Passed counts packets of new flows that were passed on to another agent.
	Passed atomic.Uint64
	// Stale counts packets of flows of an earlier incarnation, which QUIC
	// answers with a stateless reset.
	Stale atomic.Uint64
	// Answers counts packets sent to callers.
	Answers atomic.Uint64
	// Alternated counts answers sent through a balancer other than the one that
	// last delivered a packet of the caller.
	Alternated atomic.Uint64
	// Retries counts new flows whose caller had to prove its address by a Retry.
	Retries atomic.Uint64

	dropped [numDrops]atomic.Uint64
}

var metrics = counter.New("gooseberrymast_agent_packets_total", "Packets handled, by kind.", "gooseberrymast_agent_drops_total")

// Dropped returns the number of packets dropped for a reason.
func (c *Counters) Dropped(reason Drop) uint64 {
	return c.dropped[reason].Load()
}

// Describe implements prometheus.Collector.
func (c *Counters) Describe(out chan<- *prometheus.Desc) {
	metrics.Describe(out)
}

// Collect implements prometheus.Collector.
func (c *Counters) Collect(out chan<- prometheus.Metric) {
	metrics.Packets(out, "established", &c.Established)
	metrics.Packets(out, "opening", &c.Opening)
	metrics.Packets(out, "passed", &c.Passed)
	metrics.Packets(out, "stale", &c.Stale)
	metrics.Packets(out, "answer", &c.Answers)
	metrics.Packets(out, "alternated", &c.Alternated)
	metrics.Packets(out, "retry", &c.Retries)
	metrics.Drops(out, dropNames[:], c.dropped[:])
}

func (c *Counters) drop(reason Drop) {
	c.dropped[reason].Add(1)
}
