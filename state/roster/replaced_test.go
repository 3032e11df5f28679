package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// An instance that is given to another service gets another server. What the entry of its
// last agent names made a search ask that server for another service's flows.
func TestServedAddressesEndWithTheInstancesService(t *testing.T) {
	is := is.New(t)
	var roster Roster
	first := report(1, 1, 1)
	first.Peer.Service = "ledger"
	roster.HandleReport(first, epoch)
	served := []gooseberrymast.Endpoint{{IP: [4]byte{198, 18, 0, 1}, Port: 443}}
	entry := Stored{Peer: first.Peer, Incarnation: 1, Served: served, Version: 1}
	roster.HandleStored([]Stored{entry}, epoch)
	is.Equal(get(&roster).Served, served)
	next := first
	next.Peer.Incarnation, next.Peer.Service = 2, "receipts"
	roster.HandleReport(next, epoch.Add(time.Second))
	is.Equal(len(get(&roster).Served), 0)
	roster.HandleStored([]Stored{entry}, epoch.Add(time.Second)) // it hasn't written its own yet
	is.Equal(len(get(&roster).Served), 0)
	entry.Service, entry.Incarnation, entry.Version = "receipts", 2, 2
	roster.HandleStored([]Stored{entry}, epoch.Add(time.Second))
	is.Equal(get(&roster).Served, served) // the service's own agent names it
}
