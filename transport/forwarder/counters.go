package forwarder

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast/transport/counter"
)

// Drop numbers the reasons for which the balancer drops a packet.
type Drop uint8

// The reasons of a drop.
const (
	// DropTruncated is a datagram or a frame that ends too early.
	DropTruncated Drop = iota
	// DropOversized is one that is too large to be carried.
	DropOversized
	// DropNotQUIC is a caller's datagram that can't be a QUIC packet.
	DropNotQUIC
	// DropTooSmall is an Initial packet in a datagram that isn't padded.
	DropTooSmall
	// DropNotOpening is a packet with no token that can't open a flow.
	DropNotOpening
	// DropUnknownEpoch is an id or a frame under a key that isn't known.
	DropUnknownEpoch
	// DropWrongService is a packet of another service's flow, or an answer
	// for another service than that of the address it names.
	DropWrongService
	// DropNoMember is a new flow of a service that has no backend server.
	DropNoMember
	// DropBadVersion is a frame of another layout.
	DropBadVersion
	// DropForged is a frame whose MAC is wrong.
	DropForged
	// DropReplayed is a frame that was seen before, or arrives
	// too late to be checked.
	DropReplayed
	// DropWrongTarget is a frame for another balancer, or for an earlier
	// process at this address.
	DropWrongTarget
	// DropSend is a packet that the host refused to send.
	DropSend

	drops
)

var dropNames = [drops]string{
	"truncated", "oversized", "not-quic", "too-small", "not-opening", "unknown-epoch", "wrong-service",
	"no-member", "bad-version", "forged", "replayed", "wrong-target", "send-refused",
}

// String gives the reason in kebab case.
func (d Drop) String() string {
	return dropNames[d]
}

// Counters count a balancer's packets. They are a prometheus.Collector. The
// zero value works.
type Counters struct {
	// Established counts callers' packets forwarded by their connection id.
	Established atomic.Uint64
	// Opening counts callers' packets forwarded by rendezvous.
	Opening atomic.Uint64
	// Answers counts agents' packets sent to callers.
	Answers atomic.Uint64

	dropped [drops]atomic.Uint64
}

var metrics = counter.New("gooseberrymast_balancer_packets_total", "Packets forwarded, by kind.", "gooseberrymast_balancer_drops_total")

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
	metrics.Packets(out, "answer", &c.Answers)
	metrics.Drops(out, dropNames[:], c.dropped[:])
}

func (c *Counters) drop(reason Drop) {
	c.dropped[reason].Add(1)
}
