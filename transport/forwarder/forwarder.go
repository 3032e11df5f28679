// Package forwarder is the balancer's data path. It forwards callers' QUIC
// packets to agents, and the agents' answers to callers. It keeps no state of a
// flow: the connection id names the agent, and for a flow's first packets the
// table does.
//
// A Forwarder has one socket for each service address and shard, and one
// forwarding socket for each shard. Each socket is read by one goroutine.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/sealer"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/batcher"
)

// The defaults of the zero fields of a Config.
const (
	DefaultShards      = 1
	DefaultBatch       = 32
	DefaultPreviousAge = 6 * time.Second
)

// ServiceAddress is one address at which callers reach a service.
type ServiceAddress struct {
	// Address is an IPv4 address and UDP port. Port 0 takes a free one.
	Address netip.AddrPort
	// Service is the name of the service.
	Service string
}

// Config sets up a Forwarder.
type Config struct {
	// Services are the addresses that callers send to.
	Services []ServiceAddress
	// Forward is the IPv4 address and UDP port that exchanges frames with
	// agents; it must be one that agents can reach. Port 0 takes a free one.
	Forward netip.AddrPort
	// Zone is the balancer's availability zone; empty prefers none.
	Zone string
	// Keys are the fleet's keys.
	Keys *keyer.Keys
	// Timer is the timer service; nil takes timer.System.
	Timer gooseberrymast.Timer
	// Shards is the number of sockets for each address; zero takes
	// DefaultShards.
	Shards int
	// Batch is the number of datagrams read by one call; zero takes
	// DefaultBatch.
	Batch int
	// PreviousAge is the least age of the table that counts as the one before
	// the table in force: the time within which all balancers have a change.
	// Zero takes DefaultPreviousAge.
	PreviousAge time.Duration
	// MaxSequences bounds the memory for detecting replays; zero takes
	// framer.DefaultMaxSequences.
	MaxSequences int
}

// Forwarder is the data path of one balancer.
type Forwarder struct {
	// Counters may be registered with Prometheus.
	Counters Counters

	config   Config
	sealer   *sealer.Sealer
	framer   *framer.Framer
	sender   *framer.Sender
	windows  framer.Windows
	names    []string // of the services, each once
	tags     []gooseberrymast.ServiceTag
	view     atomic.Pointer[view]
	services [][]*batcher.Conn // by service address, then by shard
	forwards []*batcher.Conn   // by shard
	forward  netip.AddrPort

	mu      sync.Mutex // guards the changes of view and pending
	pending *gooseberrymast.Table
	closing atomic.Bool
}

// view is what the shards read of the control side. It is immutable.
type view struct {
	known     *gooseberrymast.Table // all members
	current   *gooseberrymast.Table // those that the document allows
	previous  *gooseberrymast.Table // as current was
	document  *gooseberrymast.Document
	crossZone []string // by service address
}

// restrict makes the current table anew.
func (v *view) restrict(services []string) {
	v.current = v.document.Restrict(v.known, services...)
}

// New opens the sockets, so that an address in use is reported at once.
func New(config Config) (*Forwarder, error) {
	if config.Timer == nil {
		config.Timer = timer.System{}
	}
	if config.Shards == 0 {
		config.Shards = DefaultShards
	}
	if config.Batch == 0 {
		config.Batch = DefaultBatch
	}
	if config.PreviousAge == 0 {
		config.PreviousAge = DefaultPreviousAge
	}
	fwd := &Forwarder{config: config, sender: framer.NewSender()}
	fwd.windows.MaxSequences = config.MaxSequences
	fwd.view.Store(&view{crossZone: make([]string, len(config.Services))})
	if err := fwd.setUp(); err != nil {
		fwd.closeSockets()
		return nil, fmt.Errorf("forwarder.New: %w", err)
	}
	return fwd, nil
}

func (f *Forwarder) setUp() error {
	var err error
	if f.sealer, err = sealer.New(f.config.Keys); err != nil {
		return err
	}
	if f.framer, err = framer.New(f.config.Keys); err != nil {
		return err
	}
	if f.forwards, err = batcher.Listen(f.config.Forward, f.config.Shards); err != nil {
		return fmt.Errorf("forwarding address: %w", err)
	}
	f.forward = f.forwards[0].Address()
	for _, service := range f.config.Services {
		conns, err := batcher.Listen(service.Address, f.config.Shards)
		if err != nil {
			return fmt.Errorf("address of service %s: %w", service.Service, err)
		}
		f.services = append(f.services, conns)
		f.tags = append(f.tags, gooseberrymast.TagOf(service.Service))
		if !slices.Contains(f.names, service.Service) {
			f.names = append(f.names, service.Service)
		}
	}
	return nil
}

// ForwardAddress gives the address that exchanges frames with agents.
func (f *Forwarder) ForwardAddress() netip.AddrPort {
	return f.forward
}

// ServiceAddress gives the bound address of Config.Services[i].
func (f *Forwarder) ServiceAddress(i int) netip.AddrPort {
	return f.services[i][0].Address()
}

// SetTable puts a table in force. It may be called from any goroutine.
func (f *Forwarder) SetTable(table *gooseberrymast.Table) {
	f.change(func(next *view) {
		next.known = table
		next.restrict(f.names)
		if next.previous == nil {
			// A balancer that has just started knows of no older table.
			next.previous, f.pending = next.current, next.current
		}
	})
}

// SetDocument puts the rules of a document in force. Agents in zones where it
// doesn't allow their service get no new flows; established ones go on. Before
// the first document, agents of every zone get flows, and flows may leave the
// balancer's zone when it has no backend server.
func (f *Forwarder) SetDocument(document *gooseberrymast.Document) {
	f.change(func(next *view) {
		next.document = document
		next.crossZone = make([]string, len(f.config.Services))
		for i, service := range f.config.Services {
			next.crossZone[i] = document.Services[service.Service].CrossZone
		}
		next.restrict(f.names)
	})
}

// SetKeys replaces the fleet's keys with flows open.
func (f *Forwarder) SetKeys(keys *keyer.Keys) error {
	if err := f.sealer.SetKeys(keys); err != nil {
		return fmt.Errorf("Forwarder.SetKeys: %w", err)
	}
	if err := f.framer.SetKeys(keys); err != nil {
		return fmt.Errorf("Forwarder.SetKeys: %w", err)
	}
	return nil
}

// Run forwards packets until the context is done or Close is called, and
// closes the sockets. It gives an error only if a socket breaks.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	cancel := f.config.Timer.Every(f.config.PreviousAge, func(time.Time) { f.age() })
	defer cancel()
	faults := make(chan error)
	loops := 0
	start := func(loop func() error) {
		loops++
		go func() { faults <- loop() }()
	}
	for shard, conn := range f.forwards {
		start(func() error { return f.answer(shard, conn) })
		for index := range f.services {
			start(func() error { return f.serve(index, shard) })
		}
	}
	log.Info().Str("forward", f.forward.String()).Int("shards", len(f.forwards)).Msg("forwarding")
	var all []error
	for range loops {
		err := <-faults
		if f.closing.Load() && errors.Is(err, net.ErrClosed) {
			continue
		}
		all = append(all, err)
		f.Close()
	}
	return errors.Join(all...)
}

// Close closes the sockets and so ends Run. A flow goes on through the other
// balancers: its agent sends the answers through the one that last delivered.
func (f *Forwarder) Close() {
	if f.closing.CompareAndSwap(false, true) {
		f.closeSockets()
	}
}

func (f *Forwarder) closeSockets() {
	batcher.Close(f.forwards)
	for _, conns := range f.services {
		batcher.Close(conns)
	}
}

// age moves the previous table on. It is called every PreviousAge, so the
// previous table is once to twice that old.
func (f *Forwarder) age() {
	f.mu.Lock()
	settled := f.view.Load()
	quiet := settled.previous == f.pending && f.pending == settled.current
	f.mu.Unlock()
	if quiet {
		return
	}
	f.change(func(next *view) {
		next.previous = f.pending
		f.pending = next.current
	})
}

func (f *Forwarder) change(edit func(next *view)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	edit(&next)
	f.view.Store(&next)
}
