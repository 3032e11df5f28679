package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
	"gooseberrymast/transport/linker"
	"gooseberrymast/transport/storer"
)

const (
	environment = "trial"
	service     = "ledger"
)

// conditionTimeout bounds the wait for a condition. No test depends on its value.
const conditionTimeout = 30 * time.Second

// fleet is a small environment on the loopback interface.
type fleet struct {
	t     *testing.T
	keys  *keyer.Keys
	store *platform.Platform
	url   string
	seeds []netip.AddrPort
	port  uint16
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, keys: keyer.Random(), store: &platform.Platform{}, port: 7000}
	server := httptest.NewUnstartedServer(f.store.Handler())
	server.Config.Protocols = platform.Protocols()
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	f.url = server.URL
	return f
}

func parse(text []byte) (gooseberrymast.Document, error) {
	return gooseberrymast.Document{Services: map[string]gooseberrymast.Service{service: {}}}, nil
}

// process is one controller with its listener.
type process struct {
	*Controller
	listener *linker.Listener
	// balancers holds the last argument of OnBalancers.
	balancers atomic.Pointer[[]netip.AddrPort]
}

func (f *fleet) listen() *linker.Listener {
	listener, err := linker.Listen(netip.MustParseAddrPort("127.0.0.1:0"), linker.FixedKeys(f.keys))
	is.New(f.t).NoErr(err)
	return listener
}

func (f *fleet) start(role gooseberrymast.Role, zone string, listener *linker.Listener) *process {
	f.port++
	config := Config{
		Environment: environment,
		Record: gooseberrymast.Record{
			Identity: gooseberrymast.Identity{
				Address:     netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), f.port),
				Incarnation: 1,
			},
			Control: listener.Address(),
			Role:    role,
			Zone:    zone,
		},
		Seeds: f.seeds,
		Keys:  linker.FixedKeys(f.keys),
		Seed:  uint64(f.port),
		Parse: parse,
	}
	if role == gooseberrymast.RoleBalancer {
		config.Store = &storer.Storer{Address: f.url}
	} else {
		config.Record.Service = gooseberrymast.TagOf(service)
	}
	p := &process{listener: listener}
	config.OnBalancers = func(addresses []netip.AddrPort) { p.balancers.Store(&addresses) }
	p.Controller = New(config)
	p.Attach(listener)
	go func() { _ = listener.Serve(context.Background()) }() // Serve returns when the listener is closed.
	p.Start()
	f.t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	p.listener.Close()
	p.Close()
}

func (f *fleet) apply(number uint64) {
	is := is.New(f.t)
	id := fmt.Sprintf("write-%d", number)
	value, err := translator.EncodeRevision(gooseberrymast.Revision{
		Number: number, Environment: environment, WriteID: id, Text: []byte(fmt.Sprintf("# revision %d", number)),
	})
	is.NoErr(err)
	key := gooseberrymast.DocumentKey(environment)
	_, err = f.store.Put(context.Background(), gooseberrymast.Object{Key: key, WriteID: id, Value: value}, number-1)
	is.NoErr(err)
}

// eventually waits for a condition.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func routable(table *gooseberrymast.Table) int {
	n := 0
	for _, member := range table.Members(gooseberrymast.TagOf(service)) {
		if member.Routable() {
			n++
		}
	}
	return n
}

func TestFleetRunsWhileStoreAndABalancerAreDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	listeners := []*linker.Listener{f.listen(), f.listen(), f.listen()}
	for _, listener := range listeners {
		f.seeds = append(f.seeds, listener.Address())
	}
	var balancers, agents []*process
	for i, listener := range listeners {
		balancers = append(balancers, f.start(gooseberrymast.RoleBalancer, fmt.Sprintf("cairo-%c", 'a'+i), listener))
	}
	for i := range 4 {
		agents = append(agents, f.start(gooseberrymast.RoleAgent, fmt.Sprintf("cairo-%c", 'a'+i%3), f.listen()))
		agents[i].RequestState(gooseberrymast.StateReady)
	}
	processes := append(append([]*process(nil), balancers...), agents...)

	f.apply(1)
	f.eventually("revision 1 in force everywhere", func() bool { return balancers[0].Status().InForceEverywhere() })
	f.eventually("every agent routable at every process", func() bool {
		for _, p := range processes {
			if p.Table() == nil || routable(p.Table()) != len(agents) {
				return false
			}
		}
		return true
	})
	f.eventually("a holder for each cell", func() bool {
		status := balancers[1].Status()
		for _, cell := range status.Cells {
			if cell.Holder.IsZero() {
				return false
			}
		}
		return len(status.Cells) == 3
	})

	f.eventually("every agent reports the balancers that it has sessions with", func() bool {
		for _, p := range agents {
			if addresses := p.balancers.Load(); addresses == nil || len(*addresses) < 2 {
				return false
			}
		}
		return true
	})
	addressOf := func(p *process) netip.AddrPort { return p.Identity().Address }
	for _, p := range agents {
		for _, address := range *p.balancers.Load() {
			is.True(slices.ContainsFunc(balancers, func(b *process) bool { return addressOf(b) == address }))
		}
	}
	is.True(balancers[0].balancers.Load() == nil) // OnBalancers is called at agents only
	lost := addressOf(balancers[0])

	// While the store is down, revisions can't be applied, but membership works.
	f.store.SetFaults(platform.Faults{Down: true})
	agents[3].kill()
	f.eventually("the killed agent is suspect at every other process", func() bool {
		for _, p := range processes[:len(processes)-1] {
			if routable(p.Table()) != len(agents)-1 {
				return false
			}
		}
		return true
	})
	newAgent := f.start(gooseberrymast.RoleAgent, "cairo-c", f.listen())
	newAgent.RequestState(gooseberrymast.StateReady)
	f.eventually("an agent joins while the store is down", func() bool {
		return newAgent.Table() != nil && routable(newAgent.Table()) == len(agents) && routable(balancers[2].Table()) == len(agents)
	})
	balancers[0].kill()
	f.eventually("no agent reports the killed balancer", func() bool {
		return !slices.ContainsFunc(agents[:3], func(p *process) bool { return slices.Contains(*p.balancers.Load(), lost) })
	})
	agents[0].Leave(t.Context())
	f.eventually("an agent's leave is announced while the store and a balancer are down", func() bool {
		return routable(balancers[1].Table()) == len(agents)-1 && routable(newAgent.Table()) == len(agents)-1
	})

	f.store.SetFaults(platform.Faults{})
	f.apply(2)
	f.eventually("revision 2 in force everywhere", func() bool {
		return balancers[1].Revision().Number == 2 && newAgent.Revision().Number == 2 && agents[1].Revision().Number == 2
	})
	is.Equal(balancers[2].Status().Environment, environment)
}

func TestStorerCallsPlatformOverHTTP(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	store := &storer.Storer{Address: f.url}
	ctx := t.Context()
	_, err := store.Get(ctx, "a/b")
	is.True(err != nil) // absent
	version, err := store.Put(ctx, gooseberrymast.Object{Key: "a/b", WriteID: "1", Value: []byte("x")}, 0)
	is.NoErr(err)
	object, err := store.Watch(ctx, "a/b", 0)
	is.NoErr(err)
	is.Equal(object.Version, version)
	list, err := store.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(list), 1)
	response, err := http.Get(f.url + platform.PathCalls)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
}
