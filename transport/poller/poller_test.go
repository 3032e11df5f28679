package poller

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/standin/backend"
	"gooseberrymast/state/timer"
)

// observation holds the arguments of one call of Observe.
type observation struct {
	healthy bool
	load    int32
}

func TestPollerReportsHealthAndLoad(t *testing.T) {
	is := is.New(t)
	server := &backend.Backend{}
	address, err := server.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer server.Close()
	seen := make(chan observation, 1)
	clock := &timer.Manual{}
	poller := &Poller{
		Address:    address,
		HealthPath: backend.PathHealth,
		LoadPath:   backend.PathLoad,
		Timer:      clock,
		Observe:    func(healthy bool, load int32) { seen <- observation{healthy, load} },
	}
	poller.Start()
	defer poller.Stop()
	is.Equal(<-seen, observation{true, 0})
	poll := func() observation {
		clock.Advance(Period)
		return <-seen
	}
	reportedLoad := 7
	server.SetReportedLoad(&reportedLoad)
	is.Equal(poll(), observation{true, 7})
	server.SetHealthy(false)
	is.Equal(poll(), observation{true, 7}) // one failure is not enough
	is.Equal(poll(), observation{false, 7})
	server.SetHealthy(true)
	is.Equal(poll(), observation{true, 7})
	server.Close()
	is.Equal(poll(), observation{true, 7})
	is.Equal(poll(), observation{false, 7}) // a closed server is unhealthy
}
