// Package fabric simulates the network fabric for tests and the try command.
// Callers send to one address per service, and each packet goes to a random
// balancer. Packets can be dropped, delayed, reordered and duplicated.
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

// Config configures a Fabric.
type Config struct {
	// Services are the addresses that callers send to, one per service. Port 0
	// selects a free port.
	Services []netip.AddrPort
	// Seed seeds the random draws.
	Seed uint64
	// Timer schedules delayed packets; nil means timer.System.
	Timer gooseberrymast.Timer
}

// Faults configures the faults applied to packets in both directions. Chances
// are probabilities from 0 to 1.
type Faults struct {
	// Drop is the chance that a packet is lost.
	Drop float64
	// Duplicate is the chance that a packet is delivered twice.
	Duplicate float64
	// Delay is added to every packet.
	Delay time.Duration
	// Reorder is the chance that a packet is delayed by another ReorderBy, so
	// that later packets overtake it.
	Reorder float64
	// ReorderBy is the additional delay of a reordered packet.
	ReorderBy time.Duration
}

// Balancer describes a balancer behind the fabric.
type Balancer struct {
	// Name is unique among the balancers.
	Name string
	// Services are the balancer's service addresses in the order of
	// Config.Services. Packets to an invalid or missing one are dropped and
	// counted as Undeliverable.
	Services []netip.AddrPort
}

// Counts holds packet counts since the fabric started.
type Counts struct {
	// Delivered counts packets sent to balancers, Answered those sent to
	// callers.
	Delivered, Answered uint64
	Dropped             uint64
	Duplicated          uint64
	Reordered           uint64
	// Undeliverable counts packets for which there was no balancer address.
	Undeliverable uint64
}

// Fabric is a running fabric.
type Fabric struct {
	timer    gooseberrymast.Timer
	services []*net.UDPConn

	mu            sync.Mutex
	random        *rand.Rand
	faults        Faults
	balancers     []Balancer
	callers       map[callerKey]*net.UDPConn
	formerSockets []*net.UDPConn // callers' sockets from before Rebind: open, not read
	counts        Counts
	closed        bool
	readers       sync.WaitGroup
}

// callerKey identifies a caller's socket towards the balancers. Each pair of
// caller and service has a socket of its own, so that balancers can tell them
// apart by address.
type callerKey struct {
	service int
	caller  netip.AddrPort
}

// New opens the service addresses and starts forwarding packets.
func New(config Config) (*Fabric, error) {
	f := &Fabric{
		timer:   config.Timer,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		callers: map[callerKey]*net.UDPConn{},
	}
	if f.timer == nil {
		f.timer = timer.System{}
	}
	for _, address := range config.Services {
		conn, err := listen(address)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("fabric.New %s: %w", address, err)
		}
		f.services = append(f.services, conn)
	}
	for service := range f.services {
		f.readers.Go(func() { f.forwardFromCallers(service) })
	}
	return f, nil
}

// ServiceAddress returns the bound address of Config.Services[i].
func (f *Fabric) ServiceAddress(i int) netip.AddrPort {
	return f.services[i].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add adds a balancer, replacing one of the same name.
func (f *Fabric) Add(balancer Balancer) {
	f.Remove(balancer.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, balancer)
}

// Remove removes the balancer of the given name, if there is one.
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

// SetFaults replaces the faults for later packets.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Rebind assigns every caller a new address towards the balancers, as a NAT
// that lost its mappings does. Packets to the old addresses are lost.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.callers {
		// The deadline ends the reader. The socket stays open so that no new
		// socket is assigned its port.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		f.formerSockets = append(f.formerSockets, conn)
	}
	clear(f.callers)
}

// Counts returns the packet counts since the fabric started.
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
	for _, conn := range f.formerSockets {
		_ = conn.Close()
	}
	f.mu.Unlock()
	f.readers.Wait()
}

// forwardFromCallers forwards callers' packets for one service to balancers.
func (f *Fabric) forwardFromCallers(service int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := f.services[service].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		conn, err := f.callerSocket(callerKey{service, from})
		if err != nil {
			return
		}
		f.sendWithFaults(buffer[:n], func(packet []byte) { f.sendToBalancer(conn, service, packet) })
	}
}

// sendToBalancer sends a packet to a random balancer.
func (f *Fabric) sendToBalancer(conn *net.UDPConn, service int, packet []byte) {
	f.mu.Lock()
	to := f.drawBalancer(service)
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

func (f *Fabric) drawBalancer(service int) netip.AddrPort {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}
	}
	balancer := f.balancers[f.random.IntN(len(f.balancers))]
	if service >= len(balancer.Services) {
		return netip.AddrPort{}
	}
	return balancer.Services[service]
}

// callerSocket returns the caller's socket towards the balancers, opening it on
// first use.
func (f *Fabric) callerSocket(key callerKey) (*net.UDPConn, error) {
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
	f.readers.Go(func() { f.forwardToCaller(conn, key) })
	return conn, nil
}

// forwardToCaller forwards balancers' packets to one caller.
func (f *Fabric) forwardToCaller(conn *net.UDPConn, key callerKey) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		f.sendWithFaults(buffer[:n], func(packet []byte) { f.sendToCaller(key, packet) })
	}
}

func (f *Fabric) sendToCaller(key callerKey, packet []byte) {
	f.mu.Lock()
	f.counts.Answered++
	f.mu.Unlock()
	_, _ = f.services[key.service].WriteToUDPAddrPort(packet, key.caller)
}

// sendWithFaults calls send for each copy of a packet after its delay.
func (f *Fabric) sendWithFaults(packet []byte, send func(packet []byte)) {
	for _, delay := range f.drawDelays() {
		if delay == 0 {
			send(packet)
			continue
		}
		copied := append([]byte(nil), packet...)
		f.timer.After(delay, func(time.Time) { send(copied) })
	}
}

// drawDelays draws the delay of each copy of a packet. It returns nil for a
// dropped packet.
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
	// The kernel may grant less than requested, which is enough to work.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
