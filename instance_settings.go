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
	// MaxFlowAge is the age from which a flow may be discarded; zero means
	// DefaultMaxFlowAge.
	MaxFlowAge time.Duration
}

// DefaultMaxFlowAge is the platform's default age from which a flow may be discarded.
const DefaultMaxFlowAge = 60 * time.Second

// FlowMaxAge returns MaxFlowAge, or its default if it is not set.
func (s InstanceSettings) FlowMaxAge() time.Duration {
	if s.MaxFlowAge == 0 {
		return DefaultMaxFlowAge
	}
	return s.MaxFlowAge
}
