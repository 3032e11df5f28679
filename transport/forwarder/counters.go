package forwarder

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast/transport/counter"
)

// Drop is a reason for which the balancer drops a packet.
type Drop uint8

// Reasons for dropping a packet.
const (
	// DropTruncated is a datagram or a frame that is too short.
	DropTruncated Drop = iota
	// DropOversized is a datagram or a frame that is too large to be forwarded.
	DropOversized
	// DropNotQUIC is a caller's datagram that can't be a QUIC packet.
	DropNotQUIC
	// DropTooSmall is an Initial packet in a datagram without padding.
	DropTooSmall
	// DropNotOpening is a packet whose connection ID names no agent and that
	// can't open a flow.
	DropNotOpening
	// DropUnknownEpoch is a connection ID or a frame of an unknown key epoch.
	DropUnknownEpoch
	// DropWrongService is a packet of another service's flow, or an answer
	// whose service isn't that of its service address.
	DropWrongService
	// DropNoMember is a new flow of a service that has no backend server.
	DropNoMember
	// DropBadVersion is a frame of another version or an unknown kind.
	DropBadVersion
	// DropForged is a frame whose MAC is wrong.
	DropForged
	// DropReplayed is a frame that was received before or is too old for the
	// replay window.
	DropReplayed
	// DropWrongTarget is a frame for another balancer, or for an earlier
	// process at this address.
	DropWrongTarget
	// DropSend is a packet that the operating system refused to send.
	DropSend

	numDrops
)

var dropNames = [numDrops]string{
	"truncated", "oversized", "not-quic", "too-small", "not-opening", "unknown-epoch", "wrong-service",
	"no-member", "bad-version", "forged", "replayed", "wrong-target", "send-refused",
}

// String returns the reason in kebab case.
func (d Drop) String() string {
	return dropNames[d]
}

// Counters counts a balancer's packets. It is a prometheus.Collector. The zero
// value is ready to use.
type Counters struct {
	// Established counts callers' packets forwarded by their connection id.
	Established atomic.Uint64
	// Opening counts callers' packets forwarded by rendezvous hashing.
	Opening atomic.Uint64
	// Answers counts agents' packets sent to callers.
	Answers atomic.Uint64

	dropped [numDrops]atomic.Uint64
}

var metrics = counter.New("gooseberrymast_balancer_packets_total", "Packets forwarded, by kind.", "gooseberrymast_balancer_drops_total")

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
	metrics.Packets(out, "answer", &c.Answers)
	metrics.Drops(out, dropNames[:], c.dropped[:])
}

func (c *Counters) drop(reason Drop) {
	c.dropped[reason].Add(1)
}
