package soaker

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gooseberrymast"
)

// network relays datagrams between peers so that faults can be injected into
// their links. Each instance advertises an address on which the network listens
// instead of the address on which the instance itself listens.
type network struct {
	mu     sync.RWMutex
	links  map[netip.Addr]*link
	random *rand.Rand
}

// link connects one instance to its peers.
type link struct {
	name, zone string
	// listens is the address on which the instance receives datagrams.
	listens gooseberrymast.Endpoint
	conn    *net.UDPConn
	fault   linkFault
}

// linkFault describes what happens to the datagrams of one instance.
type linkFault struct {
	// cutIn drops datagrams to the instance, cutOut those from it.
	cutIn, cutOut bool
	// cutZones drops those from and to other zones.
	cutZones bool
	// loss is the share of datagrams that are dropped, from 0 to 1.
	loss float64
	// delay is the minimum delay of each datagram. The actual delay is up to
	// twice as long.
	delay time.Duration
}

// maxDatagram is larger than any datagram between the processes.
const maxDatagram = 4096

// attach starts to forward datagrams sent to an instance's advertised address.
func (n *network) attach(name, zone string, listens, advertised gooseberrymast.Endpoint) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(advertised.AddrPort()))
	if err != nil {
		return fmt.Errorf("network: attach %s: %w", name, err)
	}
	attached := &link{name: name, zone: zone, listens: listens, conn: conn}
	n.mu.Lock()
	n.links[listens.AddrPort().Addr()] = attached
	n.mu.Unlock()
	go n.forward(attached)
	return nil
}

// forward forwards datagrams to an instance with the advertised address of
// their sender as source.
func (n *network) forward(to *link) {
	buffer := make([]byte, maxDatagram)
	for {
		length, from, err := to.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		n.mu.RLock()
		sender := n.links[from.Addr().Unmap()]
		n.mu.RUnlock()
		if sender == nil {
			continue
		}
		lost, delay := n.drawFault(sender, to)
		if lost {
			continue
		}
		if delay == 0 {
			n.deliver(sender, to, buffer[:length])
			continue
		}
		copied := append([]byte(nil), buffer[:length]...)
		time.AfterFunc(delay, func() { n.deliver(sender, to, copied) })
	}
}

func (n *network) deliver(sender, to *link, datagram []byte) {
	// Datagrams to a stopped process are lost, as on a real network.
	_, _ = sender.conn.WriteToUDPAddrPort(datagram, to.listens.AddrPort())
}

// drawFault draws whether a datagram is lost and by how much it is delayed.
func (n *network) drawFault(sender, to *link) (lost bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sender.zone != to.zone && (sender.fault.cutZones || to.fault.cutZones) {
		return true, 0
	}
	if sender.fault.cutOut || to.fault.cutIn || n.random.Float64() < max(sender.fault.loss, to.fault.loss) {
		return true, 0
	}
	delay = max(sender.fault.delay, to.fault.delay)
	if delay > 0 {
		delay += time.Duration(n.random.Int64N(int64(delay)))
	}
	return false, delay
}

// setFault sets the fault of an instance's links. The zero value clears it.
func (n *network) setFault(listens gooseberrymast.Endpoint, fault linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link := n.links[listens.AddrPort().Addr()]; link != nil {
		link.fault = fault
	}
}

// reaches reports whether callers' packets reach an instance.
func (n *network) reaches(listens gooseberrymast.Endpoint) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	found := n.links[listens.AddrPort().Addr()]
	return found == nil || !found.fault.cutIn
}

// close closes all sockets, which ends the forwarding.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		_ = link.conn.Close()
	}
}
