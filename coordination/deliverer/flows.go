package deliverer

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

type flow struct {
	opened   time.Time
	used     time.Time
	finished time.Time
	// acked is what the caller acknowledged last.
	acked uint32
	// asked is the number behind the last byte that the caller sent.
	asked uint32
	// sent is the number behind the last byte that the server sent, and began
	// is set once it has sent anything.
	sent  uint32
	began bool
	// answered is set when the server has sent anything.
	answered bool
	busy     bool
	closed   bool
	// request and since are those of the work in progress.
	request string
	since   time.Time
	// tell is a balancer to be told once the server has answered.
	tell gooseberrymast.Endpoint
	// told are the places that know of the flow.
	told [2]gooseberrymast.Endpoint
}

// remember keeps where a packet came from until the server returns it.
func (d *Deliverer) remember(hop gooseberrymast.Hop) uint32 {
	d.serial++
	if d.serial == 0 {
		d.serial++
	}
	d.tries[d.serial%tries] = try{tag: d.serial, hop: hop}
	return d.serial
}

func (d *Deliverer) add(key gooseberrymast.FlowKey, now time.Time) *flow {
	if d.flows == nil {
		d.flows = map[gooseberrymast.FlowKey]*flow{}
	}
	d.serve(key.Service)
	added := &flow{opened: now, used: now}
	d.flows[key] = added
	d.open++
	return added
}

func (d *Deliverer) serve(address gooseberrymast.Endpoint) {
	if d.served == nil {
		d.served = map[gooseberrymast.Endpoint]struct{}{}
	}
	if _, known := d.served[address]; !known {
		d.served[address] = struct{}{}
		d.servedChanges++
	}
}

// ServedChanges counts the changes of the addresses that the server has served.
func (d *Deliverer) ServedChanges() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servedChanges
}

// Fresh forgets which addresses were served: the server is a new incarnation.
func (d *Deliverer) Fresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served = nil
	d.servedChanges++
}

// Restore adds the addresses that an earlier incarnation of the agent served.
func (d *Deliverer) Restore(addresses []gooseberrymast.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.serve(address)
	}
	d.restored = true
}

// Served gives the addresses whose flows the server has taken.
func (d *Deliverer) Served() []gooseberrymast.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	served := slices.Collect(maps.Keys(d.served))
	slices.SortFunc(served, gooseberrymast.Endpoint.Compare)
	return served
}

func (d *Deliverer) drop(key gooseberrymast.FlowKey, known *flow) {
	d.setBusy(known, false)
	if !known.closed {
		d.open--
	}
	delete(d.flows, key)
}

func (d *Deliverer) setBusy(known *flow, busy bool) {
	if known.busy == busy {
		return
	}
	known.busy = busy
	if busy {
		d.busy++
	} else {
		d.busy--
	}
}
