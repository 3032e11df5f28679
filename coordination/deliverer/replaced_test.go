package deliverer

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// An instance was given to another service. Until all balancers know it, they send it packets
// of flows of the last one, which it handed to its server: a caller's packet reached a server
// of another service.
func TestServerIsNotAskedForFlowsOfTheInstancesLastService(t *testing.T) {
	receipts := Server{Status: tracker.Ready, Service: "receipts"}
	for _, mode := range []gooseberrymast.HopMode{gooseberrymast.HopWalk, gooseberrymast.HopDeliver} {
		for _, known := range []*gooseberrymast.Routes{routes, nil} { // it may have just started
			is := is.New(t)
			d := &Deliverer{}
			hop := walkHop(next)
			hop.Mode, hop.Service = mode, gooseberrymast.ServiceHash("ledger")
			step := d.FromPeer(request(1), hop, receipts, known, epoch)
			is.Equal(step.Action, Forward)
			is.Equal(step.Reason, ReasonWrongService)
			is.True(!step.Hop.Definite)
		}
	}
}

// A balancer that has a reason to ask this service's agent may know an earlier document that
// allowed it, and an agent before may have been unable to record what it took.
func TestServerIsAskedForFlowsThatItsServiceWasAllowed(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	hop := walkHop(next)
	hop.Service = gooseberrymast.ServiceHash("receipts")
	is.Equal(d.FromPeer(request(1), hop, Server{Status: tracker.Ready, Service: "receipts"}, routes, epoch).Action, ToServer)
	hop.Service = gooseberrymast.ServiceHash("ledger")
	d.Restore([]gooseberrymast.Endpoint{address}, true)
	is.Equal(d.FromPeer(request(1), hop, Server{Status: tracker.Ready, Service: "receipts"}, routes, epoch).Action, ToServer)
}
