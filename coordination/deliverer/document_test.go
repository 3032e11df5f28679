package deliverer

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

// After a restore of the store a later document may have a lower revision. A balancer of
// an earlier build sends the revision only.
func TestOpeningIsJudgedByDocumentNumber(t *testing.T) {
	is := is.New(t)
	header := opening()
	header.Destination = other
	current := *routes
	current.Version = gooseberrymast.DocumentVersion{Number: 5, Revision: 50}
	tests := []struct {
		sent   gooseberrymast.DocumentVersion
		action Action
	}{
		{gooseberrymast.DocumentVersion{Number: 6, Revision: 40}, ToServer},
		{gooseberrymast.DocumentVersion{Number: 4, Revision: 60}, Forward},
		{gooseberrymast.DocumentVersion{Revision: 60}, ToServer},
		{gooseberrymast.DocumentVersion{Revision: 40}, Forward},
	}
	for _, test := range tests {
		hop := placeHop()
		hop.Version = test.sent
		var d Deliverer
		is.Equal(d.FromPeer(header, hop, ledger, &current, epoch).Action, test.action)
	}
}
