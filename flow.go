package gooseberrymast

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and a port. It is small and comparable because
// each packet's flow is looked up by two of them.
type Endpoint struct {
	// IP is the address in network order.
	IP [4]byte
	// Port is zero in the zero Endpoint only.
	Port uint16
}

// EndpointOf converts an address; ok is false when it is not IPv4.
func EndpointOf(address netip.AddrPort) (endpoint Endpoint, ok bool) {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: address.Port()}, true
}

// ParseEndpoint reads the form that String writes.
func ParseEndpoint(text string) (Endpoint, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return Endpoint{}, fmt.Errorf("ParseEndpoint: %w", err)
	}
	endpoint, ok := EndpointOf(address)
	if !ok {
		return Endpoint{}, fmt.Errorf("ParseEndpoint %q: not an IPv4 address", text)
	}
	return endpoint, nil
}

// AddrPort returns e as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether e is the zero Endpoint.
func (e Endpoint) IsZero() bool {
	return e == Endpoint{}
}

// String returns the endpoint as address:port.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Compare orders endpoints by address, then port.
func (e Endpoint) Compare(other Endpoint) int {
	return cmp.Compare(e.number(), other.number())
}

func (e Endpoint) number() uint64 {
	return uint64(binary.BigEndian.Uint32(e.IP[:]))<<16 | uint64(e.Port)
}

// FlowKey identifies a flow by its two endpoints, as its packets carry no token.
type FlowKey struct {
	// Caller is the endpoint that opened the flow.
	Caller Endpoint
	// Service is the destination of the caller's packets.
	Service Endpoint
}

// Hash returns a hash that is the same at every instance.
func (k FlowKey) Hash() uint64 {
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:8], k.Caller.number())
	binary.BigEndian.PutUint64(bytes[8:], k.Service.number())
	return xxhash.Sum64(bytes[:])
}

// String returns the flow as caller->service.
func (k FlowKey) String() string {
	return k.Caller.String() + "->" + k.Service.String()
}

// RendezvousScore returns the score of an instance in rendezvous hashing of a
// flow. The flow's owner is looked up at the instances with the highest scores.
func RendezvousScore(flow uint64, instance Endpoint) uint64 {
	// The finalizer of SplitMix64 spreads the sum of both over all bits.
	x := flow + instance.number()*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
