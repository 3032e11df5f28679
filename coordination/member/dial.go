package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/announcer"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/coordination/registrar"
	"gooseberrymast/state/directory"
)

// dialState is the state of the dials to one control address.
type dialState struct {
	pending  bool
	probe    bool
	failures int
	next     time.Time
}

// unreachableFailures is the number of consecutive failed dials after which a
// peer is reported as unreachable.
const unreachableFailures = 2

// updateSessions dials the desired peers, closes sessions that are no longer
// needed, chooses the primary session and announces the peers as this member's
// registrars.
func (m *Member) updateSessions(now time.Time) {
	if m.State() == gooseberrymast.StateGone {
		return
	}
	desired := m.desiredPeers(now)
	var ready []*registrar.Session
	for _, address := range desired {
		if s := m.sessionTo(address); s == nil {
			m.tryDial(now, address)
		} else if s.Ready() {
			s.Probe = false
			ready = append(ready, s)
		}
	}
	if len(ready) > 0 && len(ready) == len(desired) {
		m.closeUnwanted(now, ready)
	}
	m.choosePrimary(now, ready)
	var registrars [directory.RegistrarCount]netip.AddrPort
	for i, s := range ready {
		registrars[i] = s.Peer.Address()
	}
	// An agent without sessions has no peer to send the change to. A balancer
	// may be the only one of its environment.
	if (len(ready) > 0 || m.isBalancer()) && m.announcer.SetRegistrars(registrars) {
		m.announce(now)
	}
	m.reportBalancers(ready)
}

// reportBalancers emits the forwarding addresses of the balancers that this
// agent has sessions with if they changed.
func (m *Member) reportBalancers(ready []*registrar.Session) {
	if m.isBalancer() {
		return
	}
	addresses := make([]netip.AddrPort, 0, len(ready))
	for _, s := range ready {
		addresses = append(addresses, s.Identity.Address)
	}
	if slices.Equal(addresses, m.reportedBalancers) {
		return
	}
	m.reportedBalancers = addresses
	m.actions.Balancers = &addresses
}

// desiredPeers lists the control addresses of the peers to hold sessions with,
// at most RegistrarCount, in order of preference.
func (m *Member) desiredPeers(now time.Time) []netip.AddrPort {
	candidates := m.candidatePeers()
	var desired []netip.AddrPort
	for _, address := range candidates {
		if len(desired) == directory.RegistrarCount {
			break
		}
		if address != m.Record.Control && !slices.Contains(desired, address) && !m.inBackoff(now, address) {
			desired = append(desired, address)
		}
	}
	return desired
}

// treePosition is the member's position in the tree of balancers.
type treePosition struct {
	// balancers is the list that the position was computed from.
	balancers []directory.Balancer
	parents   []directory.Balancer
	root      bool
}

// position returns the member's position in the tree, recomputed if the list of
// balancers changed.
func (m *Member) position() *treePosition {
	balancers := m.Directory.Balancers()
	if !sameSlice(balancers, m.cachedPosition.balancers) {
		m.cachedPosition = treePosition{
			balancers: balancers,
			parents:   announcer.Parents(m.self, m.Record.Zone, balancers),
			root:      announcer.IsRoot(m.self, balancers),
		}
	}
	return &m.cachedPosition
}

// sameSlice reports whether two lists share the same memory.
func sameSlice(a, b []directory.Balancer) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// candidatePeers lists the control addresses of possible peers in order of
// preference.
func (m *Member) candidatePeers() []netip.AddrPort {
	if !m.isBalancer() {
		return append(slices.Clone(m.advice), m.orderedSeeds()...)
	}
	candidates := controlAddresses(m.position().parents)
	if m.hasPeer() {
		return candidates
	}
	// Without any session, all known parents may have failed.
	candidates = append(candidates, controlAddresses(announcer.Registrars(m.self, m.Record.Zone, m.Directory.Balancers()))...)
	return append(candidates, m.orderedSeeds()...)
}

func controlAddresses(balancers []directory.Balancer) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(balancers))
	for _, b := range balancers {
		addresses = append(addresses, b.Control.Address())
	}
	return addresses
}

// orderedSeeds returns the seeds and the balancers discovered in the store, in
// an order that depends on the member, so that the load is spread over them.
func (m *Member) orderedSeeds() []netip.AddrPort {
	seeds := append(slices.Clone(m.Seeds), m.discovery.controls...)
	slices.SortStableFunc(seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(directory.KeyOf(a).RendezvousScore(uint64(m.self)), directory.KeyOf(b).RendezvousScore(uint64(m.self)))
	})
	return seeds
}

func (m *Member) inBackoff(now time.Time, address netip.AddrPort) bool {
	d := m.dials[address]
	return d != nil && d.failures > 0 && now.Before(d.next)
}

// sessionTo returns a session with the peer at a control address, opened by
// either side, or nil.
func (m *Member) sessionTo(address netip.AddrPort) *registrar.Session {
	if s := m.registrar.ByAddress(address); s != nil {
		return s
	}
	if !m.isBalancer() {
		return nil
	}
	for _, b := range m.Directory.Balancers() {
		if b.Control.Address() == address {
			return m.registrar.ByPeer(b.Key)
		}
	}
	return nil
}

// closeUnwanted closes the sessions that this member opened and no longer
// needs.
func (m *Member) closeUnwanted(now time.Time, wanted []*registrar.Session) {
	for _, s := range slices.Clone(m.registrar.Sessions()) {
		if s.Address.IsValid() && s.Ready() && !s.Probe && !slices.Contains(wanted, s) {
			m.actions.Closes = append(m.actions.Closes, s.ID)
			m.removeSession(now, s.ID)
		}
	}
}

// choosePrimary makes the most preferred ready session the primary one. The
// root of the tree has no primary session.
func (m *Member) choosePrimary(now time.Time, ready []*registrar.Session) {
	var primary messenger.Session
	root := m.isBalancer() && m.position().root
	if len(ready) > 0 && !root {
		primary = ready[0].ID
	}
	if primary == m.primary {
		return
	}
	previous := m.registrar.Get(m.primary)
	m.primary = primary
	if previous != nil {
		m.sendHeartbeat(now, previous, false)
	}
	if next := m.registrar.Get(primary); next != nil {
		m.sendHeartbeat(now, next, false)
		m.offerRevision(next)
	}
}

// tryDial dials an address unless a dial is pending or the delay since the last
// one has not passed. It reports whether it dialled.
func (m *Member) tryDial(now time.Time, address netip.AddrPort) bool {
	d := m.dials[address]
	if d == nil {
		d = &dialState{}
		m.dials[address] = d
	}
	if d.pending || now.Before(d.next) || address == m.Record.Control {
		return false
	}
	d.pending = true
	m.actions.Dials = append(m.actions.Dials, address)
	return true
}

func (m *Member) recordDialFailure(now time.Time, address netip.AddrPort) {
	d := m.dials[address]
	if d == nil {
		d = &dialState{}
		m.dials[address] = d
	}
	if d.probe {
		m.retryProbe = address // A single failure may be transient.
		m.nextProbe = now.Add(minDialDelay)
	}
	d.pending = false
	d.probe = false
	d.failures++
	d.next = now.Add(m.jitter(min(minDialDelay<<min(d.failures-1, 10), maxDialDelay)))
	if d.failures >= unreachableFailures {
		m.reportUnreachable(now, address)
	}
}

// delayDial delays the next dial of an address, so that a session that ends
// immediately isn't reopened in a tight loop.
func (m *Member) delayDial(now time.Time, address netip.AddrPort) {
	if d := m.dials[address]; d != nil {
		d.next = now.Add(m.jitter(minDialDelay))
	}
}

// reportUnreachable reports that a balancer can't be connected to. A member
// without any session doesn't send the report to others, since it may itself be
// the partitioned one.
func (m *Member) reportUnreachable(now time.Time, address netip.AddrPort) {
	if !m.isBalancer() {
		return
	}
	for _, balancer := range m.Directory.Members(0) {
		key := directory.KeyOf(balancer.Identity.Address)
		if balancer.Control != address || m.registrar.ByPeer(key) != nil {
			continue
		}
		if !m.hasPeer() {
			m.Directory.MarkUnreachable(now, key)
		} else if m.Directory.MarkLoss(now, key, directory.LossUnreachable) {
			m.Counters.UnreachablePeers++
			m.propagate(key, 0)
		}
	}
}

// hasPeer reports whether the member has a session with any balancer.
func (m *Member) hasPeer() bool {
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Role == gooseberrymast.RoleBalancer {
			return true
		}
	}
	return false
}
