package deliverer

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// routesTo returns routes that allow one service at count addresses.
func routesTo(service string, count int) *gooseberrymast.Routes {
	made := &gooseberrymast.Routes{Version: gooseberrymast.DocumentVersion{Number: 5}, ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}}
	for i := range count {
		at := gooseberrymast.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443}
		made.ByAddress[at] = gooseberrymast.Route{Address: at, Backends: []gooseberrymast.WeightedService{{Service: service, Weight: 1}}}
	}
	return made
}

// takeFlow lets the server take a flow of an address.
func takeFlow(d *Deliverer, routes *gooseberrymast.Routes, at gooseberrymast.Endpoint) {
	header := opening()
	header.Destination = at
	d.FromPeer(header, placeHop(), ledger, routes, epoch)
}

// A server of many routes gets its first flows of each within seconds. Its entry is
// written for the first one only.
func TestEntryIsWrittenOnceForAllRoutesOfTheService(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	all := routesTo("ledger", 20)
	is.Equal(len(d.Record("ledger", all)), 20)
	before := d.ServedChanges()
	for at := range all.ByAddress {
		takeFlow(&d, all, at)
	}
	is.Equal(d.ServedChanges(), before)
	is.Equal(len(d.Served()), 20)
	// A route of a later document is recorded once it is used.
	later := routesTo("ledger", 21)
	last := gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 20}, Port: 443}
	takeFlow(&d, later, last)
	is.Equal(d.ServedChanges(), before+1)
	is.Equal(len(d.Record("ledger", later)), 21)
}

func TestManyRoutesAreRecordedAsTheyAreServed(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	many := routesTo("ledger", maxRecordedRoutes+1)
	is.Equal(len(d.Record("ledger", many)), 0)
	takeFlow(&d, many, gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 3}, Port: 443})
	is.Equal(d.ServedChanges(), 1)
	is.Equal(len(d.Record("ledger", many)), 1)
}

func TestAddressesOfOtherServicesAreNotRecorded(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	is.Equal(d.Record("ledger", routes), []gooseberrymast.Endpoint{address})
	is.Equal(len(d.Record("ledger", nil)), 0)
}

// What was recorded beyond what was served must not outlive the server.
func TestNewServerIsRecordedAnew(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	d.Record("ledger", routes)
	before := d.ServedChanges()
	d.ClearServed()
	is.Equal(d.ServedChanges(), before+1)
	takeFlow(&d, routes, address)
	is.Equal(d.ServedChanges(), before+2)
}

// Guards against resets of flows that a restarted server took before its first
// announcement, at an address that a later document no longer allows it: the next
// agent must query the server for them.
func TestAddressesOfKeptFlowsStayRecorded(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	takeFlow(&d, routes, address)
	d.FromServer(answer(0), epoch)
	d.HandleAnnouncement(true)
	d.ClearServed()
	is.Equal(d.Served(), []gooseberrymast.Endpoint{address})
	is.Equal(d.Record("ledger", nil), []gooseberrymast.Endpoint{address})
}

// Guards against resets of flows of an address that the agent couldn't record before it
// restarted: neither the next agent nor balancers that start know that its server may
// hold them.
func TestFlowIsTakenOnlyOnceItsAddressIsRecorded(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	d.HandleStored(d.Record("ledger", routes), epoch)
	takes := func(at gooseberrymast.Endpoint) Step {
		header, hop := opening(), placeHop()
		header.Destination, hop.Version.Number = at, 6
		return d.FromPeer(header, hop, ledger, routes, epoch)
	}
	is.Equal(takes(address).Action, ToServer)
	later := routesTo("ledger", 1)
	at := allowedAddresses(later, "ledger")[0]
	is.True(d.HandleDocument("ledger", later)) // the entry is due before the first flow
	before := d.ServedChanges()
	refused := takes(at)
	is.Equal(refused.Reason, ReasonNotRecorded)
	is.Equal(refused.Action, Drop) // the next copy decides
	is.Equal(takes(at).Reason, ReasonNotRecorded)
	is.Equal(d.ServedChanges(), before+1)
	recorded := d.Record("ledger", routes)
	is.Equal(takes(at).Reason, ReasonNotRecorded) // the store may refuse the write
	d.HandleStored(recorded, epoch)
	is.Equal(takes(at).Action, ToServer)
	is.True(!d.HandleDocument("ledger", later))
	is.Equal(takes(address).Action, ToServer)
}

// Guards against flows of an address that a write in progress removes from the entry.
func TestRemovedAddressIsNotTakenWhileTheWriteIsInProgress(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	before := d.Record("ledger", routes)
	d.HandleStored(before, epoch)
	d.Record("ledger", nil)
	hop := placeHop()
	is.Equal(d.FromPeer(opening(), hop, ledger, routes, epoch).Reason, ReasonNotRecorded)
	d.HandleStored(before, epoch) // of an earlier write
	is.Equal(d.FromPeer(opening(), hop, ledger, routes, epoch).Reason, ReasonNotRecorded)
}

// Guards against flows of an address that a list of the store's entries lacks although a
// balancer takes it for fresh: the entry names the address a moment before the first flow.
func TestFlowIsTakenOnlySomeTimeAfterItsAddressIsRecorded(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	d.HandleStored(nil, epoch)
	d.HandleStored(d.Record("ledger", routes), epoch.Add(RecordedBefore))
	early := epoch.Add(RecordedBefore - 1)
	is.Equal(d.FromPeer(opening(), placeHop(), ledger, routes, early).Reason, ReasonNotRecorded)
	d.HandleStored(d.Record("ledger", routes), early.Add(RecordedBefore)) // a later write changes nothing
	is.Equal(d.FromPeer(opening(), placeHop(), ledger, routes, epoch.Add(RecordedBefore)).Action, ToServer)
}

// Guards against flows that no entry names: an agent which can't read its entry doesn't know
// whether an earlier one has recorded an address that a document has added since.
func TestAddressAddedWhileTheEntryIsUnknownIsNotTaken(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	first := &gooseberrymast.Routes{ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}}
	d.HandleDocument("ledger", first)
	d.HandleDocument("ledger", routes)
	is.Equal(d.FromPeer(opening(), placeHop(), ledger, routes, epoch).Reason, ReasonNotRecorded)
	is.Equal(d.ServedChanges(), 1) // the next write names it
}

// A restarted agent that can't read its entry must not leave its server without flows.
func TestFlowsAreTakenWhileTheEntryIsUnknown(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	d.Record("ledger", nil)
	is.Equal(d.FromPeer(opening(), placeHop(), ledger, routes, epoch).Action, ToServer)
	is.Equal(d.ServedChanges(), 1)
}

// Guards against a packet of an open flow that reaches a server of another service: its
// recorded owner's address was given to another instance meanwhile (soak seed 9103).
func TestRecordedOwnerOfAnotherServiceIsNotTried(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer}
	receipts := Server{Status: tracker.Ready, Service: "receipts"}
	is.Equal(d.FromPeer(request(1), hop, receipts, routes, epoch).Action, ToServer) // it may have served the address before
	complete := receipts
	complete.Complete = true
	is.Equal(d.FromPeer(request(1), hop, complete, routes, epoch).Hop.Mode, gooseberrymast.HopReturn) // it has seen all of the server's flows
	d.Restore(nil, true)
	step := d.FromPeer(request(1), hop, receipts, routes, epoch)
	is.Equal(step.Action, Forward)
	is.Equal(step.Hop.Mode, gooseberrymast.HopReturn)
	is.Equal(d.FromPeer(request(1), hop, ledger, routes, epoch).Action, ToServer)
}
