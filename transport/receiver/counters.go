package receiver

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast/transport/counter"
)

// Drop numbers the reasons for which the agent drops a packet.
type Drop uint8

// The reasons of a drop.
const (
	// DropTruncated is a frame that ends too early.
	DropTruncated Drop = iota
	// DropOversized is a frame that is too large.
	DropOversized
	// DropBadVersion is a frame of another layout.
	DropBadVersion
	// DropUnknownEpoch is a frame or an id under a key that isn't known.
	DropUnknownEpoch
	// DropForged is a frame whose MAC is wrong.
	DropForged
	// DropReplayed is a frame that was seen before, or arrives
	// too late to be checked.
	DropReplayed
	// DropWrongTarget is a frame for another address or another kind of
	// process.
	DropWrongTarget
	// DropWrongService is a packet for another service than the agent's.
	DropWrongService
	// DropWrongIncarnation is a packet for another incarnation of this agent.
	DropWrongIncarnation
	// DropNotQUIC is a frame that holds no packet of a flow.
	DropNotQUIC
	// DropNotNamed is a new flow that names this agent nowhere.
	DropNotNamed
	// DropHalfOpen is a new flow above the bound of open handshakes.
	DropHalfOpen
	// DropHops is a packet that would be passed on more than opener.MaxHop
	// times.
	DropHops
	// DropUnknownCaller is an answer to a caller of whom no packet is
	// remembered.
	DropUnknownCaller
	// DropSend is a packet that the host refused to send.
	DropSend

	drops
)

var dropNames = [drops]string{
	"truncated", "oversized", "bad-version", "unknown-epoch", "forged", "replayed", "wrong-target", "wrong-service",
	"wrong-incarnation", "not-quic", "not-named", "half-open-limit", "hop-limit", "unknown-caller", "send-refused",
}

// String gives the reason in kebab case.
func (d Drop) String() string {
	return dropNames[d]
}

// Counters count an agent's packets. They are a prometheus.Collector. The zero
// value works.
type Counters struct {
	// Established counts packets of established flows.
	Established atomic.Uint64
	// Opening counts first packets that the agent took.
	Opening atomic.Uint64
	// Passed counts first packets that were passed on to another agent.
	Passed atomic.Uint64
	// Stale counts packets of an earlier incarnation's flows; QUIC answers
	// them with a stateless reset.
	Stale atomic.Uint64
	// Answers counts packets sent to callers.
	Answers atomic.Uint64
	// Alternated counts the answers that were sent through another balancer
	// than the one that last delivered.
	Alternated atomic.Uint64
	// Retries counts new flows whose caller had to prove its address.
	Retries atomic.Uint64

	dropped [drops]atomic.Uint64
}

var metrics = counter.New("gooseberrymast_agent_packets_total", "Packets handled, by kind.", "gooseberrymast_agent_drops_total")

// Dropped gives the number of packets dropped for a reason.
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
