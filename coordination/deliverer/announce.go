package deliverer

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/locator"
)

// announceAfter is the age at which a flow is announced to its places. Most
// flows that carry one request are closed before; until then the balancer that
// placed a flow knows its owner, and a walk finds it for the others.
const announceAfter = 250 * time.Millisecond

// Load gives the number of open flows and of requests in progress.
func (d *Deliverer) Load() (flows, busy int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, d.busy
}

// Announce gives the flows that each place has to be told of. Places that were
// told before are left out unless they are in restarted.
func (d *Deliverer) Announce(balancers []gooseberrymast.Endpoint, restarted map[gooseberrymast.Endpoint]bool,
	now time.Time) map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var news map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey
	for key, known := range d.flows {
		if known.closed || !known.answered || now.Sub(known.opened) < announceAfter {
			continue
		}
		places := locator.PlacesOf(key, balancers)
		for _, place := range places {
			told := place == known.told[0] || place == known.told[1]
			if place.IsZero() || told && !restarted[place] {
				continue
			}
			if news == nil {
				news = map[gooseberrymast.Endpoint][]gooseberrymast.FlowKey{}
			}
			news[place] = append(news[place], key)
		}
		known.told = places
	}
	return news
}

// Expire forgets flows that were closed or not used for long.
func (d *Deliverer) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, known := range d.flows {
		if known.closed && now.Sub(known.finished) > lingers || now.Sub(known.used) > forgets {
			d.drop(key, known)
		}
	}
}
