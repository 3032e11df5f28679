package gooseberrymast

import "time"

// Announcement is what a backend server says of itself to its agent.
type Announcement struct {
	// ID is the name that the server chose.
	ID string
	// Born is the server's start; it tells its incarnations apart.
	Born int64
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64
	// Service is the name of the service that the server serves.
	Service string
	// Address is where the server takes packets and health checks.
	Address Endpoint
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving is set from the moment when the server wants no new flows.
	Leaving bool
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
}
