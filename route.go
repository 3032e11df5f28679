package gooseberrymast

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route says which services may take the flows to one address.
type Route struct {
	// Address is where callers send their packets.
	Address Endpoint
	// Backends are the services that may take new flows.
	Backends []WeightedService
	// Idempotent is set when a request on the route may run twice.
	Idempotent bool
	// Timeout bounds a request on the route.
	Timeout time.Duration
	// Objective is the latency that callers hope for.
	Objective time.Duration
	// Priority orders routes under excess; 0 is the highest.
	Priority int
}

// WeightedService is a service with its share of a route's new flows.
type WeightedService struct {
	// Service is the service's name.
	Service string
	// Weight is above zero.
	Weight uint32
}

// Allows reports whether the route's flows may go to a service.
func (r Route) Allows(service string) bool {
	for _, backend := range r.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}

// Routes are the routes of one version of the operators' document. They are
// not changed once made.
type Routes struct {
	// Version rises with each accepted change; zero means none.
	Version uint64
	// ByAddress holds each route once.
	ByAddress map[Endpoint]Route
	// IdleTimeout is the time after which an idle flow may be discarded.
	IdleTimeout time.Duration
	// HealthPaths are the paths by which the services' servers tell whether
	// they are healthy.
	HealthPaths map[string]string
}

// Lookup finds the route of an address. A nil Routes has none.
func (r *Routes) Lookup(address Endpoint) (Route, bool) {
	if r == nil {
		return Route{}, false
	}
	route, ok := r.ByAddress[address]
	return route, ok
}

// ServiceHash names a service in a forwarded packet. Receivers compare it with
// the hash of their own service, so a collision would need two services of one
// fleet among 2^64 values.
func ServiceHash(service string) uint64 {
	return xxhash.Sum64String(service)
}
