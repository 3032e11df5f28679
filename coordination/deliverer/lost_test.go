package deliverer

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

// Two servers may answer copies of an opening packet. When the one that the caller
// didn't acknowledge is lost, the flow lives on at the other.
func TestFlowThatOpenedElsewhereIsNotReset(t *testing.T) {
	tests := []struct {
		name            string
		acknowledgement uint32
		resets          int
	}{
		{"never acknowledged", 0, 0},
		{"the other server acknowledged", 70_000_000, 0},
		{"acknowledged", 5001, 1},
		{"a retransmission with an earlier number", 4000, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d Deliverer
			d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
			accepted := answer(0)
			accepted.Sequence = 5000
			d.FromServer(accepted, epoch)
			if test.acknowledgement != 0 {
				header := request(1)
				header.Acknowledgement = test.acknowledgement
				hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer}
				is.Equal(d.FromPeer(header, hop, ledger, routes, epoch).Action, ToServer)
			}
			is.Equal(len(d.DropFlows()), test.resets)
		})
	}
}

// An agent that restarted learns of a flow by its server's answer to a request.
func TestLearnedFlowOfLostServerIsReset(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	d.FromServer(answer(100), epoch)
	is.Equal(len(d.DropFlows()), 1)
}
