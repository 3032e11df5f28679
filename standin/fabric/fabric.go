// Package fabric simulates the network fabric, in tests and in the try command. Callers
// send to one address for each service; each packet goes to a balancer drawn
// at random. Packets can be dropped, delayed, reordered and duplicated.
package fabric

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

const (
	maxDatagram  = 1 << 16
	socketBuffer = 4 << 20
)

// Config sets up a Fabric.
type Config struct {
	// Services are the addresses that callers send to, one for each service.
	// Port 0 takes a free one.
	Services []netip.AddrPort
	// Seed starts the random draws.
	Seed uint64
	// Timer delays packets; nil takes timer.System.
	Timer gooseberrymast.Timer
}

// Faults are what the fabric does to packets, in both directions. Chances are
// between 0 and 1.
type Faults struct {
	// Drop is the chance that a packet is lost.
	Drop float64
	// Duplicate is the chance that a packet is delivered twice.
	Duplicate float64
	// Delay is the time by which every packet is delayed.
	Delay time.Duration
	// Reorder is the chance that a packet is delayed by ReorderBy more.
	Reorder float64
	// ReorderBy is the further delay of a reordered packet.
	ReorderBy time.Duration
}

// Balancer is one balancer behind the fabric.
type Balancer struct {
	// Name is unique among the balancers.
	Name string
	// Services are the balancer's service addresses in the order of
	// Config.Services. An invalid one gets no packets.
	Services []netip.AddrPort
}

// Counts are what the fabric did since it started.
type Counts struct {
	// Delivered counts packets to balancers, and Answered those to callers.
	Delivered, Answered uint64
	Dropped             uint64
	Duplicated          uint64
	Reordered           uint64
	// Undeliverable counts packets while there was no balancer.
	Undeliverable uint64
}

// Fabric is a running fabric.
type Fabric struct {
	timer    gooseberrymast.Timer
	services []*net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	balancers []Balancer
	callers   map[callerKey]*net.UDPConn
	rebound   []*net.UDPConn // former sockets of callers, open but not read
	counts    Counts
	closed    bool
	readers   sync.WaitGroup
}

// callerKey names one caller's socket: a balancer sees each caller of each
// service at an address of its own.
type callerKey struct {
	service int
	caller  netip.AddrPort
}

// New opens the service addresses and starts to forward packets.
func New(config Config) (*Fabric, error) {
	fab := &Fabric{
		timer:   config.Timer,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		callers: map[callerKey]*net.UDPConn{},
	}
	if fab.timer == nil {
		fab.timer = timer.System{}
	}
	for _, address := range config.Services {
		conn, err := listen(address)
		if err != nil {
			fab.Close()
			return nil, fmt.Errorf("fabric.New %s: %w", address, err)
		}
		fab.services = append(fab.services, conn)
	}
	for service := range fab.services {
		fab.readers.Go(func() { fab.serve(service) })
	}
	return fab, nil
}

// ServiceAddress gives the bound address of Config.Services[i].
func (f *Fabric) ServiceAddress(i int) netip.AddrPort {
	return f.services[i].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add puts a balancer behind the fabric, in place of one of the same name.
func (f *Fabric) Add(balancer Balancer) {
	f.Remove(balancer.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, balancer)
}

// Remove takes a balancer away from behind the fabric.
func (f *Fabric) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make([]Balancer, 0, len(f.balancers))
	for _, balancer := range f.balancers {
		if balancer.Name != name {
			kept = append(kept, balancer)
		}
	}
	f.balancers = kept
}

// SetFaults changes what is done to packets from now on.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Rebind gives every caller a new address towards the balancers, as a NAT does
// that has lost its mappings. Packets to the old addresses are lost.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.callers {
		// The reader ends. The socket stays open, so that no new one gets
		// its port.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		f.rebound = append(f.rebound, conn)
	}
	clear(f.callers)
}

// Counts gives what the fabric did since it started.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Close closes all sockets and waits for the reading goroutines.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	for _, conn := range f.services {
		_ = conn.Close()
	}
	for _, conn := range f.callers {
		_ = conn.Close()
	}
	for _, conn := range f.rebound {
		_ = conn.Close()
	}
	f.mu.Unlock()
	f.readers.Wait()
}

// serve forwards the callers' packets of one service to balancers.
func (f *Fabric) serve(service int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := f.services[service].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		conn, err := f.socket(callerKey{service, from})
		if err != nil {
			return
		}
		f.deliver(buffer[:n], func(packet []byte) { f.spray(conn, service, packet) })
	}
}

// spray sends a packet to a balancer drawn at random.
func (f *Fabric) spray(conn *net.UDPConn, service int, packet []byte) {
	f.mu.Lock()
	to := f.draw(service)
	if to.IsValid() {
		f.counts.Delivered++
	} else {
		f.counts.Undeliverable++
	}
	f.mu.Unlock()
	if to.IsValid() {
		_, _ = conn.WriteToUDPAddrPort(packet, to)
	}
}

func (f *Fabric) draw(service int) netip.AddrPort {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}
	}
	balancer := f.balancers[f.random.IntN(len(f.balancers))]
	if service >= len(balancer.Services) {
		return netip.AddrPort{}
	}
	return balancer.Services[service]
}

// socket gives the caller's socket towards balancers, opened at first use.
func (f *Fabric) socket(key callerKey) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn := f.callers[key]; conn != nil {
		return conn, nil
	}
	if f.closed {
		return nil, net.ErrClosed
	}
	local := f.services[key.service].LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	conn, err := listen(netip.AddrPortFrom(local, 0))
	if err != nil {
		return nil, err
	}
	f.callers[key] = conn
	f.readers.Go(func() { f.answer(conn, key) })
	return conn, nil
}

// answer forwards the balancers' packets to one caller.
func (f *Fabric) answer(conn *net.UDPConn, key callerKey) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		f.deliver(buffer[:n], func(packet []byte) { f.sendAnswer(key, packet) })
	}
}

func (f *Fabric) sendAnswer(key callerKey, packet []byte) {
	f.mu.Lock()
	f.counts.Answered++
	f.mu.Unlock()
	_, _ = f.services[key.service].WriteToUDPAddrPort(packet, key.caller)
}

// deliver sends a packet as often and as late as the faults say.
func (f *Fabric) deliver(packet []byte, send func(packet []byte)) {
	for _, delay := range f.drawDelays() {
		if delay == 0 {
			send(packet)
			continue
		}
		held := append([]byte(nil), packet...)
		f.timer.After(delay, func(time.Time) { send(held) })
	}
}

// drawDelays draws the delays of a packet's copies; a dropped packet has none.
func (f *Fabric) drawDelays() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.faults.Drop {
		f.counts.Dropped++
		return nil
	}
	delays := []time.Duration{f.faults.Delay}
	if f.random.Float64() < f.faults.Reorder {
		f.counts.Reordered++
		delays[0] += f.faults.ReorderBy
	}
	if f.random.Float64() < f.faults.Duplicate {
		f.counts.Duplicated++
		delays = append(delays, f.faults.Delay)
	}
	return delays
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel's limit may be lower; what it grants is enough to run.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
