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

// network translates the addresses of peers: each instance is known to others
// by an address at which the network listens, and datagrams go through it, so
// that links can be harmed.
type network struct {
	mu        sync.RWMutex
	byAddress map[netip.Addr]*link
	random    *rand.Rand
}

// link is one instance's connection to its peers.
type link struct {
	name string
	// listens is where the instance takes datagrams.
	listens gooseberrymast.Endpoint
	conn    *net.UDPConn
	harm    harm
}

// harm is what happens to the datagrams of one instance.
type harm struct {
	// cutIn and cutOut lose what goes to and what comes from the instance.
	cutIn, cutOut bool
	// loss is the share of datagrams that are lost, 0 to 1.
	loss float64
	// delay is added to each datagram, up to twice that much.
	delay time.Duration
}

// maxDatagram is longer than any datagram between the processes.
const maxDatagram = 4096

// attach begins to forward for an instance that others know at advertised.
func (n *network) attach(name string, listens, advertised gooseberrymast.Endpoint) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(advertised.AddrPort()))
	if err != nil {
		return fmt.Errorf("network: attach %s: %w", name, err)
	}
	attached := &link{name: name, listens: listens, conn: conn}
	n.mu.Lock()
	n.byAddress[listens.AddrPort().Addr()] = attached
	n.mu.Unlock()
	go n.forward(attached)
	return nil
}

// forward passes on what peers send to an instance, under the sender's address.
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
		sender := n.byAddress[from.Addr().Unmap()]
		n.mu.RUnlock()
		if sender == nil {
			continue
		}
		lost, delay := n.fate(sender, to)
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
	// A process that isn't there gets nothing, as on any network.
	_, _ = sender.conn.WriteToUDPAddrPort(datagram, to.listens.AddrPort())
}

// fate decides what happens to a datagram.
func (n *network) fate(sender, to *link) (lost bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sender.harm.cutOut || to.harm.cutIn || n.random.Float64() < max(sender.harm.loss, to.harm.loss) {
		return true, 0
	}
	delay = max(sender.harm.delay, to.harm.delay)
	if delay > 0 {
		delay += time.Duration(n.random.Int64N(int64(delay)))
	}
	return false, delay
}

// set harms the links of an instance, or heals them with the zero harm.
func (n *network) set(listens gooseberrymast.Endpoint, harmed harm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if found := n.byAddress[listens.AddrPort().Addr()]; found != nil {
		found.harm = harmed
	}
}

// reaches reports whether packets of callers get to an instance.
func (n *network) reaches(listens gooseberrymast.Endpoint) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	found := n.byAddress[listens.AddrPort().Addr()]
	return found == nil || !found.harm.cutIn
}

// close ends all forwarding.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.byAddress {
		_ = each.conn.Close()
	}
}
