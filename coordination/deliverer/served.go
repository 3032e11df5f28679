package deliverer

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

// maxRecordedRoutes is the number of a service's routes up to which all of them are
// recorded at once. Newcomers read the entries of all instances, so that these have
// to stay small.
const maxRecordedRoutes = 64

// maxWanted bounds the addresses that wait for the next write of the entry.
const maxWanted = 1024

func (d *Deliverer) addServed(address gooseberrymast.Endpoint) {
	if d.served == nil {
		d.served = map[gooseberrymast.Endpoint]struct{}{}
	}
	d.served[address] = struct{}{}
	if _, recorded := d.recorded[address]; !recorded {
		d.setRecorded(address)
		d.servedChanges++
	}
}

func (d *Deliverer) setRecorded(address gooseberrymast.Endpoint) {
	if d.recorded == nil {
		d.recorded = map[gooseberrymast.Endpoint]struct{}{}
	}
	d.recorded[address] = struct{}{}
}

// ServedChanges counts the changes for which the agent's entry in the store must be
// written: the server has served an address that the entry lacks, or is new.
func (d *Deliverer) ServedChanges() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servedChanges
}

// ClearServed clears the addresses served, except those of the flows held: the server
// is a new incarnation, and may have taken these before its first announcement.
func (d *Deliverer) ClearServed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served, d.recorded, d.wanted = nil, nil, nil
	d.servedChanges++
	for key := range d.flows {
		d.addServed(key.Service)
	}
}

// Restore adds the addresses that an earlier incarnation of the agent recorded. all is
// set if it is sure that no earlier incarnation has served others.
func (d *Deliverer) Restore(addresses []gooseberrymast.Endpoint, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.addServed(address)
	}
	d.restored = d.restored || all
}

// Served returns the addresses whose flows the server has taken, sorted.
func (d *Deliverer) Served() []gooseberrymast.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedEndpoints(d.served)
}

// Record returns the addresses to write into the agent's entry: those that the server
// has served, those of flows that were refused until they are recorded, and, unless they
// are many, all that the routes allow its service. The entry may name too many, since a
// later agent then only queries its server; in return it is not written again for each
// of them. From now on the entry may lack any other address.
func (d *Deliverer) Record(service string, routes *gooseberrymast.Routes) []gooseberrymast.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorded = nil
	for address := range d.served {
		d.setRecorded(address)
	}
	for address := range d.wanted {
		d.setRecorded(address)
	}
	allowed := allowedAddresses(routes, service)
	if len(allowed) <= maxRecordedRoutes {
		for _, address := range allowed {
			d.setRecorded(address)
		}
	}
	maps.DeleteFunc(d.stored, func(address gooseberrymast.Endpoint, _ time.Time) bool {
		_, recorded := d.recorded[address]
		return !recorded
	})
	return sortedEndpoints(d.recorded)
}

// RecordedBefore is how long an agent's entry must have named an address before the agent
// takes its first flow of it: a list of entries that a balancer began to read somewhat
// later (steerer.EntriesFresh) then names every agent that may hold a flow.
const RecordedBefore = 350 * time.Millisecond

// HandleStored processes the addresses that the agent's entry names, as it was read from
// the store or written to it, and the time from which flows of new ones may be taken. From
// then on a new flow is taken only if the entry names its address: a later agent and
// balancers must not conclude from it that the server holds no flow of the address. Before,
// the agent doesn't know what an earlier one recorded, and takes flows of the addresses
// that the first routes allow: the earlier one had the time to record these.
func (d *Deliverer) HandleStored(addresses []gooseberrymast.Endpoint, usableAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.stored
	d.entryKnown, d.stored = true, map[gooseberrymast.Endpoint]time.Time{}
	for _, address := range addresses {
		if _, recorded := d.recorded[address]; !recorded {
			continue
		}
		d.stored[address] = usableAt
		if since, known := before[address]; known && since.Before(usableAt) {
			d.stored[address] = since
		}
		delete(d.wanted, address)
	}
}

// isRecorded reports whether the entry has named a flow's address for long enough. If it
// doesn't name it, its next write will.
func (d *Deliverer) isRecorded(key gooseberrymast.FlowKey, service string, now time.Time) bool {
	if !d.entryKnown {
		if d.firstRoutes == nil || routeAllows(d.firstRoutes, key, service) {
			return true
		}
		d.want(key.Service)
		return false
	}
	usableAt, stored := d.stored[key.Service]
	if !stored {
		d.want(key.Service)
	}
	return stored && !now.Before(usableAt)
}

func (d *Deliverer) want(address gooseberrymast.Endpoint) {
	if _, wanted := d.wanted[address]; wanted || len(d.wanted) >= maxWanted {
		return
	}
	if d.wanted == nil {
		d.wanted = map[gooseberrymast.Endpoint]struct{}{}
	}
	d.wanted[address] = struct{}{}
	d.servedChanges++
}

// lacksAllowed reports whether the routes allow the service an address that the entry
// lacks and that its next write would name. It is written at once, so that the first
// flows of a new route need not wait.
func (d *Deliverer) lacksAllowed(service string, routes *gooseberrymast.Routes) bool {
	allowed := allowedAddresses(routes, service)
	return len(allowed) <= maxRecordedRoutes && slices.ContainsFunc(allowed, func(address gooseberrymast.Endpoint) bool {
		_, recorded := d.recorded[address]
		return !recorded
	})
}

func allowedAddresses(routes *gooseberrymast.Routes, service string) []gooseberrymast.Endpoint {
	if routes == nil {
		return nil
	}
	var allowed []gooseberrymast.Endpoint
	for address, route := range routes.ByAddress {
		if route.Allows(service) {
			allowed = append(allowed, address)
		}
	}
	return allowed
}

func sortedEndpoints(set map[gooseberrymast.Endpoint]struct{}) []gooseberrymast.Endpoint {
	return slices.SortedFunc(maps.Keys(set), gooseberrymast.Endpoint.Compare)
}
