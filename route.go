package gooseberrymast

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route lists the services that may receive the flows to one address.
type Route struct {
	// Address is where callers send their packets.
	Address Endpoint
	// Backends are the services that may receive new flows.
	Backends []WeightedService
	// Idempotent is set when a request on the route may run twice.
	Idempotent bool
	// Timeout bounds a request on the route.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the highest.
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
// immutable.
type Routes struct {
	Version DocumentVersion
	// ByAddress holds each route once.
	ByAddress map[Endpoint]Route
	// IdleTimeout is the time after which an idle flow may be discarded.
	IdleTimeout time.Duration
	// HealthPaths holds the path of the backend servers' health check, by
	// service.
	HealthPaths map[string]string
	// WarmUps holds the services whose servers are limited while they are cold. It is
	// nil if the document limits none, or came from a process of an earlier build.
	WarmUps map[string]WarmUp
}

// SetWarmUp adds a service whose cold servers are limited. It is called only while the
// routes are made.
func (r *Routes) SetWarmUp(service string, warmUp WarmUp) {
	if r.WarmUps == nil {
		r.WarmUps = map[string]WarmUp{}
	}
	r.WarmUps[service] = warmUp
}

// WarmUp returns the warm-up of a service's servers. It is zero if they are not limited,
// or if r is nil.
func (r *Routes) WarmUp(service string) WarmUp {
	if r == nil {
		return WarmUp{}
	}
	return r.WarmUps[service]
}

// WarmUp describes the servers of a service that have just started.
type WarmUp struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold server can handle; zero
	// means that it is not limited.
	PerSecond float64
}

// Lookup returns the route of an address. A nil Routes holds none.
func (r *Routes) Lookup(address Endpoint) (Route, bool) {
	if r == nil {
		return Route{}, false
	}
	route, ok := r.ByAddress[address]
	return route, ok
}

// ServiceHash returns the hash that identifies a service in a forwarded packet.
// Receivers compare it with the hash of their own service, so only two services
// of one fleet can collide, in a space of 2^64 values.
func ServiceHash(service string) uint64 {
	return xxhash.Sum64String(service)
}
