package deliverer

import (
	"maps"
	"slices"

	"gooseberrymast"
)

// maxRecordedRoutes is the number of a service's routes up to which all of them are
// recorded at once. Newcomers read the entries of all instances, so that these have
// to stay small.
const maxRecordedRoutes = 64

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
	d.served, d.recorded = nil, nil
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
// has served and, unless they are many, all that the routes allow its service. The
// entry may name too many, since a later agent then only queries its server; in
// return it is not written again for each of them.
func (d *Deliverer) Record(service string, routes *gooseberrymast.Routes) []gooseberrymast.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorded = maps.Clone(d.served)
	allowed := allowedAddresses(routes, service)
	if len(allowed) <= maxRecordedRoutes {
		for _, address := range allowed {
			d.setRecorded(address)
		}
	}
	return sortedEndpoints(d.recorded)
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
