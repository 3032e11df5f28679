package gooseberrymast

import "time"

// HealthReport is a backend server's answer to a health check.
type HealthReport struct {
	// Healthy is set if the server is healthy and not leaving.
	Healthy bool
	// Instance is the name that the server chose; empty if the answer lacks it.
	Instance string
}

// Announcement describes a backend server; the server sends it to its agent.
type Announcement struct {
	// ID is the name that the server chose.
	ID string
	// StartUnixMs is the server's start time and distinguishes its incarnations.
	StartUnixMs int64
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64
	// Service is the name of the service that the server serves.
	Service string
	// Address is where the server receives packets and health checks.
	Address Endpoint
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving is set once the server accepts no new flows.
	Leaving bool
	// WarmUpLeft is the remaining time for which the server is slow after its start.
	WarmUpLeft time.Duration
}
