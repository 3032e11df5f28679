package deliverer

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// Only the balancer that placed a flow can know whether its first opening packet may
// still be answered by a reset.
func TestLastCandidateAnswersTheBalancer(t *testing.T) {
	is := is.New(t)
	d := Deliverer{}
	leaving := Server{Status: tracker.Leaving, Service: "ledger"}
	step := d.FromPeer(opening(), placeHop(), leaving, routes, epoch)
	is.Equal(step.To, balancer)
	is.Equal(step.Hop.Mode, gooseberrymast.HopAbsent)
	is.Equal(step.Hop.Walk, uint32(9))
	is.True(step.Hop.Definite)
	later := placeHop()
	later.Initiator, later.Walk = gooseberrymast.Endpoint{}, 0
	is.Equal(d.FromPeer(opening(), later, leaving, routes, epoch).Action, Drop) // a retransmission
}
