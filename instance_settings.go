package gooseberrymast

import "time"

// InstanceSettings are what the platform tells a process that forwards packets.
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
	// Packets is where the fabric hands packets to a balancer. Its port is
	// also the one at which callers receive packets.
	Packets Endpoint
	// Outbound is where an agent's server sends its packets.
	Outbound Endpoint
	// Readiness serves the question whether the instance takes traffic.
	Readiness Endpoint
	// Announcements is where an agent's server announces itself.
	Announcements Endpoint
	// Server is where an agent's server takes packets.
	Server Endpoint
	// Service is the service of the agent's server.
	Service string
	// Store is the address of the platform's store.
	Store Endpoint
	// AnnounceInterval is the time between a server's announcements.
	AnnounceInterval time.Duration
	// StopWithin is the time between the signal to stop and the kill.
	StopWithin time.Duration
}
