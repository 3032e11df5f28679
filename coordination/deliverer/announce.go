package deliverer

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/locator"
)

// minAnnounceAge is the age from which a flow is announced to its lookup
// balancers. Most flows that carry one request are closed earlier; until then the
// balancer that placed a flow holds its owner, and a walk finds it for the others.
const minAnnounceAge = 250 * time.Millisecond

// Load returns the number of open flows and of requests in progress.
func (d *Deliverer) Load() (flows, busy int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openFlows, d.busyFlows
}

// Announce returns the flows to announce to each lookup balancer. Balancers that
// a flow was announced to before are left out unless they are in restarted.
func (d *Deliverer) Announce(balancers []gooseberrymast.Endpoint, restarted map[gooseberrymast.Endpoint]bool,
	now time.Time) map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var updates map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey
	for key, f := range d.flows {
		if f.closed || !f.opened || now.Sub(f.openedAt) < minAnnounceAge {
			continue
		}
		lookups := locator.LookupBalancers(key, balancers)
		for _, lookup := range lookups {
			announced := lookup == f.announced[0] || lookup == f.announced[1]
			if lookup.IsZero() || announced && !restarted[lookup] {
				continue
			}
			if updates == nil {
				updates = map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey{}
			}
			updates[lookup] = append(updates[lookup], key)
		}
		f.announced = lookups
	}
	return updates
}
