package gooseberrymast

import "time"

// InstanceSettings are the settings that the platform gives to a process that
// forwards packets.
type InstanceSettings struct {
	// Name is the instance's name.
	Name string
	// Role is RoleAgent or RoleBalancer.
	Role Role
	// Zone is the availability zone's name.
	Zone string
	// Peers receives forwarded packets and messages of peers. All instances
	// use one port.
	Peers Endpoint
	// Packets is where a balancer receives packets from the network fabric.
	// Callers receive packets at the same port.
	Packets Endpoint
	// Outbound is where an agent receives its backend server's outgoing packets.
	Outbound Endpoint
	// Readiness serves the readiness probe.
	Readiness Endpoint
	// Announcements is where an agent receives its backend server's
	// announcements.
	Announcements Endpoint
	// Server is where an agent's backend server receives packets.
	Server Endpoint
	// Service is the service of the agent's backend server.
	Service string
	// Store is the address of the platform's store.
	Store Endpoint
	// AnnounceInterval is the time between a server's announcements.
	AnnounceInterval time.Duration
	// StopWithin is the time between the stop signal and the kill.
	StopWithin time.Duration
	// MaxFlowAge is the age from which a flow may be discarded. Zero means
	// DefaultMaxFlowAge.
	MaxFlowAge time.Duration
	// Places is zero unless the platform restricts where new flows may go.
	Places PlacesSettings
}

// PlacesSettings bound where new flows may go.
type PlacesSettings struct {
	// EvacuateWithin is the time after its write from which an evacuation of a zone must
	// be obeyed. It is zero if no zones are evacuated and no servers' warm-up is limited.
	EvacuateWithin time.Duration
	// WarmUpOverage is the factor, and WarmUpSlack the number of requests, by which a
	// server that warms up may be sent more than its service's rate in any second.
	WarmUpOverage float64
	WarmUpSlack   float64
}

// Active reports whether there are any restrictions.
func (p PlacesSettings) Active() bool {
	return p.EvacuateWithin > 0
}

// DefaultMaxFlowAge is the longest time that a flow may last if the platform names no
// other.
const DefaultMaxFlowAge = 60 * time.Second
