// Package forwarder is the balancer's data path. It forwards callers' QUIC
// packets to agents, and the agents' answers to callers. It keeps no state per
// flow: the connection ID names the agent, and for a flow's first packets the
// agent is selected from the table of members.
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

// Defaults for zero fields of a Config.
const (
	DefaultShards      = 1
	DefaultBatch       = 32
	DefaultPreviousAge = 6 * time.Second
)

// ServiceAddress is one address at which callers reach a service.
type ServiceAddress struct {
	// Address is an IPv4 address and UDP port. Port 0 selects a free one.
	Address netip.AddrPort
	// Service is the name of the service.
	Service string
}

// Config configures a Forwarder.
type Config struct {
	// Services are the addresses that callers send to.
	Services []ServiceAddress
	// Forward is the IPv4 address and UDP port for frames to and from agents;
	// agents must be able to reach it. Port 0 selects a free one.
	Forward netip.AddrPort
	// Zone is the balancer's availability zone; if empty, no zone is preferred.
	Zone string
	// Keys are the fleet's keys.
	Keys *keyer.Keys
	// Timer is the timer service; nil means timer.System.
	Timer gooseberrymast.Timer
	// Shards is the number of sockets for each address; 0 means DefaultShards.
	Shards int
	// Batch is the maximum number of datagrams read by one call; 0 means
	// DefaultBatch.
	Batch int
	// PreviousAge is the minimum age of the previous table, which is used
	// besides the current one: the time within which a change reaches all
	// balancers. 0 means DefaultPreviousAge.
	PreviousAge time.Duration
	// MaxSequences limits the frame sequences tracked for replay detection; 0
	// means framer.DefaultMaxSequences.
	MaxSequences int
}

// Forwarder is the data path of one balancer.
type Forwarder struct {
	// Counters may be registered with Prometheus.
	Counters Counters

	config       Config
	sealer       *sealer.Sealer
	framer       *framer.Framer
	sender       *framer.Sender
	windows      framer.ReplayWindows
	serviceNames []string // without duplicates
	tags         []gooseberrymast.ServiceTag
	snapshot     atomic.Pointer[snapshot]
	serviceConns [][]*batcher.Conn // by service address, then by shard
	forwardConns []*batcher.Conn   // by shard
	forward      netip.AddrPort

	mu           sync.Mutex // guards writes of snapshot and nextPrevious
	nextPrevious *gooseberrymast.Table
	closing      atomic.Bool
}

// snapshot is the control state that the shards read. It is immutable.
type snapshot struct {
	allMembers *gooseberrymast.Table // all members of the services
	current    *gooseberrymast.Table // the members that the document allows
	previous   *gooseberrymast.Table // an earlier current table
	document   *gooseberrymast.Document
	crossZone  []string // by service address
}

// updateCurrent recomputes the current table.
func (s *snapshot) updateCurrent(serviceNames []string) {
	s.current = s.document.Restrict(s.allMembers, serviceNames...)
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
	fwd.snapshot.Store(&snapshot{crossZone: make([]string, len(config.Services))})
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
	if f.forwardConns, err = batcher.Listen(f.config.Forward, f.config.Shards); err != nil {
		return fmt.Errorf("forwarding address: %w", err)
	}
	f.forward = f.forwardConns[0].Address()
	for _, service := range f.config.Services {
		conns, err := batcher.Listen(service.Address, f.config.Shards)
		if err != nil {
			return fmt.Errorf("address of service %s: %w", service.Service, err)
		}
		f.serviceConns = append(f.serviceConns, conns)
		f.tags = append(f.tags, gooseberrymast.TagOf(service.Service))
		if !slices.Contains(f.serviceNames, service.Service) {
			f.serviceNames = append(f.serviceNames, service.Service)
		}
	}
	return nil
}

// ForwardAddress returns the bound address for frames to and from agents.
func (f *Forwarder) ForwardAddress() netip.AddrPort {
	return f.forward
}

// ServiceAddress returns the bound address of Config.Services[i].
func (f *Forwarder) ServiceAddress(i int) netip.AddrPort {
	return f.serviceConns[i][0].Address()
}

// SetTable sets the table of members. It may be called from any goroutine.
func (f *Forwarder) SetTable(table *gooseberrymast.Table) {
	f.updateSnapshot(func(next *snapshot) {
		next.allMembers = table
		next.updateCurrent(f.serviceNames)
		if next.previous == nil {
			// A balancer that has just started has no older table.
			next.previous, f.nextPrevious = next.current, next.current
		}
	})
}

// SetDocument sets the document. Agents in zones where it doesn't allow their
// service receive no new flows; established flows go on. Before the first
// document, agents of every zone receive flows, and flows may leave the balancer's
// zone if it has no backend server.
func (f *Forwarder) SetDocument(document *gooseberrymast.Document) {
	f.updateSnapshot(func(next *snapshot) {
		next.document = document
		next.crossZone = make([]string, len(f.config.Services))
		for i, service := range f.config.Services {
			next.crossZone[i] = document.Services[service.Service].CrossZone
		}
		next.updateCurrent(f.serviceNames)
	})
}

// SetKeys replaces the fleet's keys. Open flows go on.
func (f *Forwarder) SetKeys(keys *keyer.Keys) error {
	if err := f.sealer.SetKeys(keys); err != nil {
		return fmt.Errorf("Forwarder.SetKeys: %w", err)
	}
	if err := f.framer.SetKeys(keys); err != nil {
		return fmt.Errorf("Forwarder.SetKeys: %w", err)
	}
	return nil
}

// Run forwards packets until the context is done or Close is called, and then
// closes the sockets. It returns an error only if a socket fails.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	cancel := f.config.Timer.Every(f.config.PreviousAge, func(time.Time) { f.rotateTables() })
	defer cancel()
	errs := make(chan error)
	loops := 0
	start := func(loop func() error) {
		loops++
		go func() { errs <- loop() }()
	}
	for shard, conn := range f.forwardConns {
		start(func() error { return f.serveAnswers(shard, conn) })
		for index := range f.serviceConns {
			start(func() error { return f.serveCallers(index, shard) })
		}
	}
	log.Info().Str("forward", f.forward.String()).Int("shards", len(f.forwardConns)).Msg("forwarding")
	var all []error
	for range loops {
		err := <-errs
		if f.closing.Load() && errors.Is(err, net.ErrClosed) {
			continue
		}
		all = append(all, err)
		f.Close()
	}
	return errors.Join(all...)
}

// Close closes the sockets, which ends Run. Flows go on through other balancers:
// an agent sends its answers through the balancer that last delivered a packet.
func (f *Forwarder) Close() {
	if f.closing.CompareAndSwap(false, true) {
		f.closeSockets()
	}
}

func (f *Forwarder) closeSockets() {
	batcher.Close(f.forwardConns)
	for _, conns := range f.serviceConns {
		batcher.Close(conns)
	}
}

// rotateTables replaces the previous table. It is called every PreviousAge, so the
// previous table was in force one to two PreviousAge ago.
func (f *Forwarder) rotateTables() {
	f.mu.Lock()
	snap := f.snapshot.Load()
	unchanged := snap.previous == f.nextPrevious && f.nextPrevious == snap.current
	f.mu.Unlock()
	if unchanged {
		return
	}
	f.updateSnapshot(func(next *snapshot) {
		next.previous = f.nextPrevious
		f.nextPrevious = next.current
	})
}

func (f *Forwarder) updateSnapshot(edit func(next *snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.snapshot.Load()
	edit(&next)
	f.snapshot.Store(&next)
}
