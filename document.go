package gooseberrymast

import (
	"slices"
	"time"
)

// Document is the operators' configuration of one environment. It holds no
// addresses.
type Document struct {
	// Zones lists the availability zones, each name once.
	Zones []string `toml:"zones"`
	// Services are keyed by name.
	Services map[string]Service `toml:"services"`
}

// Service is one service of a document.
type Service struct {
	// Zones are the availability zones that may hold backend servers; empty
	// means all of the document's.
	Zones []string `toml:"zones"`
	// Limits bound the service's load.
	Limits Limits `toml:"limits"`
	// Streams lists path prefixes of long-lived requests.
	Streams []string `toml:"streams"`
	// Idempotent lists path prefixes of requests that may run twice.
	Idempotent []string `toml:"idempotent"`
	// Drain controls how a leaving backend server is drained.
	Drain Drain `toml:"drain"`
	// CrossZone states whether requests and flows may go to another
	// availability zone when their own has no capacity: "never" or "when-full".
	CrossZone string `toml:"cross-zone"`
}

// Limits bound the load of one service. A key that is missing from a document's
// text takes its default; an explicit zero is kept and means none.
type Limits struct {
	// Connections is the number of streams that one backend server may hold.
	Connections int `toml:"connections"`
	// Slots is the number of requests that one backend server runs at once.
	Slots int `toml:"slots"`
	// Queue is the number of requests that may wait at one agent.
	Queue int `toml:"queue"`
	// CallerRate is the number of requests a second that one caller may send
	// to the whole service; zero is no limit.
	CallerRate float64 `toml:"caller-rate"`
	// CallerBurst is the number of requests a caller may send at once.
	CallerBurst int `toml:"caller-burst"`
	// Deadline applies to requests without a deadline of their own.
	Deadline Duration `toml:"deadline"`
	// MaxDeadline caps the deadline that a caller may set.
	MaxDeadline Duration `toml:"max-deadline"`
	// RetryBudget is the share of requests that may be retries, 0 to 1.
	RetryBudget float64 `toml:"retry-budget"`
	// SlowStart is the time over which the traffic share of a newly started
	// backend server grows.
	SlowStart Duration `toml:"slow-start"`
	// MaxEjected is the share of a service's backend servers that may be
	// ejected at once, 0 to 1.
	MaxEjected float64 `toml:"max-ejected"`
}

// Drain controls how a leaving backend server is drained.
type Drain struct {
	// Grace is the time after which a leaving backend server gets no new work.
	Grace Duration `toml:"grace"`
	// MaxWait bounds the wait for open streams; zero waits for all of them.
	MaxWait Duration `toml:"max-wait"`
}

// The default limits of a service.
const (
	DefaultConnections = 2000
	DefaultSlots       = 4
	DefaultQueue       = 32
	DefaultCallerBurst = 20
	DefaultDeadline    = 10 * time.Second
	DefaultMaxDeadline = 10 * time.Minute
	DefaultRetryBudget = 0.1
	DefaultSlowStart   = 10 * time.Second
	DefaultMaxEjected  = 0.3
	DefaultDrainGrace  = 3 * time.Second
	CrossZoneNever     = "never"
	CrossZoneWhenFull  = "when-full"
)

// Allows reports whether an availability zone may hold backend servers of a
// service. A service without zones of its own, or that is not in the document,
// has the document's zones; a document without zones allows all.
func (d *Document) Allows(service, zone string) bool {
	zones := d.ZonesOf(service)
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// ZonesOf returns the availability zones that may hold backend servers of a
// service; an empty list means all.
func (d *Document) ZonesOf(service string) []string {
	if d == nil {
		return nil
	}
	if zones := d.Services[service].Zones; len(zones) > 0 {
		return zones
	}
	return d.Zones
}

// Restrict returns the table without those agents of the given services that
// are in availability zones where their service is not allowed. When there are
// none it returns the table itself, else a copy that shares the unchanged lists.
func (d *Document) Restrict(table *Table, services ...string) *Table {
	restricted := table
	for _, service := range services {
		tag := TagOf(service)
		members := restricted.Members(tag)
		disallowed := func(member Member) bool { return !d.Allows(service, member.Zone) }
		if !slices.ContainsFunc(members, disallowed) {
			continue
		}
		if restricted == table {
			restricted = table.clone()
		}
		restricted.Services[tag] = slices.DeleteFunc(slices.Clone(members), disallowed)
	}
	return restricted
}
