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

// dial is what is known of one control address.
type dial struct {
	pending  bool
	probe    bool
	failures int
	next     time.Time
}

// failuresToReport is the number of failed dials after which a peer is
// reported as unreachable.
const failuresToReport = 2

// attach opens the sessions that this member wants, takes its news from the
// first of them and announces them as its registrars.
func (m *Member) attach(now time.Time) {
	if m.State() == gooseberrymast.StateGone {
		return
	}
	desired := m.desired(now)
	var ready []*registrar.Session
	for _, address := range desired {
		if s := m.sessionTo(address); s == nil {
			m.dialNow(now, address)
		} else if s.Ready() {
			s.Probe = false
			ready = append(ready, s)
		}
	}
	if len(ready) > 0 && len(ready) == len(desired) {
		m.closeOthers(now, ready)
	}
	m.choosePrimary(now, ready)
	var registrars [directory.RegistrarCount]netip.AddrPort
	for i, s := range ready {
		registrars[i] = s.Peer.Address()
	}
	// An agent without sessions has nobody to tell. A balancer goes on alone.
	if (len(ready) > 0 || m.isBalancer()) && m.announcer.Attach(registrars) {
		m.announce(now)
	}
	m.tellBalancers(ready)
}

// tellBalancers reports the forwarding addresses of the balancers that an agent
// has sessions with, when they changed.
func (m *Member) tellBalancers(ready []*registrar.Session) {
	if m.isBalancer() {
		return
	}
	addresses := make([]netip.AddrPort, 0, len(ready))
	for _, s := range ready {
		addresses = append(addresses, s.Identity.Address)
	}
	if slices.Equal(addresses, m.told) {
		return
	}
	m.told = addresses
	m.actions.Balancers = &addresses
}

// desired lists the control addresses of the peers to hold sessions with, at
// most RegistrarCount, the best first.
func (m *Member) desired(now time.Time) []netip.AddrPort {
	candidates := m.candidates()
	var desired []netip.AddrPort
	for _, address := range candidates {
		if len(desired) == directory.RegistrarCount {
			break
		}
		if address != m.Record.Control && !slices.Contains(desired, address) && !m.failing(now, address) {
			desired = append(desired, address)
		}
	}
	return desired
}

// tree is the member's place in the tree of peers.
type tree struct {
	// balancers is the list that the place was worked out from.
	balancers []directory.Balancer
	parents   []directory.Balancer
	root      bool
}

// place works out the member's place anew when the balancers changed.
func (m *Member) place() *tree {
	balancers := m.Directory.Balancers()
	if !sameList(balancers, m.tree.balancers) {
		m.tree = tree{
			balancers: balancers,
			parents:   announcer.Parents(m.self, m.Record.Zone, balancers),
			root:      announcer.IsRoot(m.self, balancers),
		}
	}
	return &m.tree
}

// sameList reports whether two lists are one and the same in memory.
func sameList(a, b []directory.Balancer) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// candidates lists the control addresses that this member may want, the best
// first.
func (m *Member) candidates() []netip.AddrPort {
	if !m.isBalancer() {
		return append(slices.Clone(m.advice), m.seeds()...)
	}
	candidates := controls(m.place().parents)
	if m.hasPeer() {
		return candidates
	}
	// A balancer without any session may know no parent that runs.
	candidates = append(candidates, controls(announcer.Registrars(m.self, m.Record.Zone, m.Directory.Balancers()))...)
	return append(candidates, m.seeds()...)
}

func controls(balancers []directory.Balancer) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(balancers))
	for _, b := range balancers {
		addresses = append(addresses, b.Control.Address())
	}
	return addresses
}

// seeds orders the seeds differently for each member.
func (m *Member) seeds() []netip.AddrPort {
	seeds := append(slices.Clone(m.Seeds), m.hints.controls...)
	slices.SortStableFunc(seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(directory.KeyOf(a).HashWith(uint64(m.self)), directory.KeyOf(b).HashWith(uint64(m.self)))
	})
	return seeds
}

func (m *Member) failing(now time.Time, address netip.AddrPort) bool {
	d := m.dials[address]
	return d != nil && d.failures > 0 && now.Before(d.next)
}

// sessionTo finds a session with the peer at a control address, whoever opened
// it.
func (m *Member) sessionTo(address netip.AddrPort) *registrar.Session {
	if s := m.registrar.To(address); s != nil {
		return s
	}
	if !m.isBalancer() {
		return nil
	}
	for _, b := range m.Directory.Balancers() {
		if b.Control.Address() == address {
			return m.registrar.With(b.Key)
		}
	}
	return nil
}

// closeOthers closes the sessions that this member opened and no longer wants.
func (m *Member) closeOthers(now time.Time, wanted []*registrar.Session) {
	for _, s := range slices.Clone(m.registrar.Sessions()) {
		if s.Address.IsValid() && s.Ready() && !s.Probe && !slices.Contains(wanted, s) {
			m.actions.Closes = append(m.actions.Closes, s.ID)
			m.drop(now, s.ID)
		}
	}
}

// choosePrimary takes news from the first of the wanted sessions. The root of
// the tree takes news from nobody in particular.
func (m *Member) choosePrimary(now time.Time, ready []*registrar.Session) {
	var primary messenger.Session
	root := m.isBalancer() && m.place().root
	if len(ready) > 0 && !root {
		primary = ready[0].ID
	}
	if primary == m.primary {
		return
	}
	former := m.registrar.Get(m.primary)
	m.primary = primary
	if former != nil {
		m.sendHeartbeat(now, former, false)
	}
	if next := m.registrar.Get(primary); next != nil {
		m.sendHeartbeat(now, next, false)
		m.offer(next)
	}
}

// dialNow dials an address unless it was dialled a moment ago.
func (m *Member) dialNow(now time.Time, address netip.AddrPort) bool {
	d := m.dials[address]
	if d == nil {
		d = &dial{}
		m.dials[address] = d
	}
	if d.pending || now.Before(d.next) || address == m.Record.Control {
		return false
	}
	d.pending = true
	m.actions.Dials = append(m.actions.Dials, address)
	return true
}

func (m *Member) failDial(now time.Time, address netip.AddrPort) {
	d := m.dials[address]
	if d == nil {
		d = &dial{}
		m.dials[address] = d
	}
	if d.probe {
		m.reprobe = address // One failure is no proof.
		m.nextProbe = now.Add(minRedial)
	}
	d.pending = false
	d.probe = false
	d.failures++
	d.next = now.Add(m.jitter(min(minRedial<<min(d.failures-1, 10), maxRedial)))
	if d.failures >= failuresToReport {
		m.reportUnreachable(now, address)
	}
}

// delayDial keeps a session that ends at once from being opened without end.
func (m *Member) delayDial(now time.Time, address netip.AddrPort) {
	if d := m.dials[address]; d != nil {
		d.next = now.Add(m.jitter(minRedial))
	}
}

// reportUnreachable states that a balancer can't be connected to. A member
// without any session keeps it to itself: it may be the one that is cut off.
func (m *Member) reportUnreachable(now time.Time, address netip.AddrPort) {
	if !m.isBalancer() {
		return
	}
	for _, balancer := range m.Directory.Members(0) {
		key := directory.KeyOf(balancer.Identity.Address)
		if balancer.Control != address || m.registrar.With(key) != nil {
			continue
		}
		if !m.hasPeer() {
			m.Directory.MarkUnreachable(now, key)
		} else if m.Directory.MarkLoss(now, key, directory.LossUnreachable) {
			m.Counters.UnreachablePeers++
			m.spread(key, 0)
		}
	}
}

// hasPeer reports whether the member holds a session with any balancer.
func (m *Member) hasPeer() bool {
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Role == gooseberrymast.RoleBalancer {
			return true
		}
	}
	return false
}
