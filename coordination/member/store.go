package member

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/announcer"
	"gooseberrymast/coordination/leaser"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// Owners of store calls other than leasers, which are identified by the names
// of their cells.
const (
	ownerDocument  = "/document"
	ownerDiscovery = "/hints"
)

// candidatesPerCell is the number of balancers that are candidates for the
// lease of a cell.
const candidatesPerCell = 2

// maxFirstReadsPerSecond limits the rate of reads of the document when a whole
// fleet restarts at once.
const maxFirstReadsPerSecond = 1000

// maxDiscoveredAgents bounds the agents that a balancer without peers dials at
// once.
const maxDiscoveredAgents = 8

// discovery is the state of a search for peers in the store.
type discovery struct {
	next time.Time
	// readFraction places the first read of the document in the window of
	// firstReadTime.
	readFraction float64
	// controls are the control addresses of the discovered balancers.
	controls []netip.AddrPort
}

// makeStoreCalls issues the store calls that are due.
func (m *Member) makeStoreCalls(now time.Time) {
	if !m.Store || !m.isBalancer() {
		return
	}
	m.rankCells()
	m.watchDocument(now)
	m.discoverPeers(now)
	if m.State() != gooseberrymast.StateReady {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.cellRanks)) {
		if l := m.activeLeaser(id, m.cellRanks[id]); l != nil {
			m.call(l.Cell.Name, l.Next(now, m.Identity(), m.cellRanks[id], &m.Directory))
		}
	}
}

// HandleStoreResult handles the result of a call to the store.
func (m *Member) HandleStoreResult(now time.Time, id uint64, result messenger.Result) Actions {
	owner := m.callOwners[id]
	delete(m.callOwners, id)
	m.storeDown = result.Err != nil && !isStoreAnswer(result.Err)
	switch owner {
	case ownerDocument:
		m.receiveDocument(now, result)
	case ownerDiscovery:
		m.receiveDiscovery(now, result)
	default:
		if l := m.leasers[directory.CellIDOf(owner)]; l != nil {
			l.Done(now, m.Identity(), result)
		}
	}
	m.makeStoreCalls(now)
	return m.finish(now, true)
}

// isStoreAnswer reports whether an error counts as an answer of the store. A
// watch without a new version ends with context.DeadlineExceeded.
func isStoreAnswer(err error) bool {
	return errors.Is(err, gooseberrymast.ErrStoreNotFound) || errors.Is(err, gooseberrymast.ErrStoreConflict) ||
		errors.Is(err, context.DeadlineExceeded)
}

func (m *Member) call(owner string, call *messenger.Call) {
	if call == nil {
		return
	}
	m.lastCallID++
	m.callOwners[m.lastCallID] = owner
	m.actions.Calls = append(m.actions.Calls, Call{ID: m.lastCallID, Call: *call})
}

// watchDocument watches the document if this balancer is the first candidate
// for a cell or holds one, and reads it once otherwise.
func (m *Member) watchDocument(now time.Time) {
	watch := false
	for id, rank := range m.cellRanks {
		l := m.leasers[id]
		watch = watch || rank == 0 || l != nil && l.Holding(now)
	}
	if !watch && now.Before(m.firstReadTime()) {
		return
	}
	m.call(ownerDocument, m.documentWatcher.Next(now, watch))
}

// firstReadTime returns when to first read the document, randomised so that the
// reads of many balancers that start together are spread out.
func (m *Member) firstReadTime() time.Time {
	if m.discovery.readFraction == 0 {
		m.discovery.readFraction = m.Random.Float64()
	}
	window := time.Second + time.Duration(len(m.Directory.Balancers()))*time.Second/maxFirstReadsPerSecond
	return m.started.Add(time.Duration(m.discovery.readFraction * float64(window)))
}

func (m *Member) receiveDocument(now time.Time, result messenger.Result) {
	object, found := m.documentWatcher.Done(now, result)
	if !found {
		return
	}
	revision, err := m.DecodeRevision(object.Value)
	if err != nil {
		m.Counters.Refusals++
		m.fault(fmt.Errorf("decoding document object version %d: %w", object.Version, err))
		return
	}
	m.adopt(now, revision)
}

// rankCells recomputes which cells this balancer serves if the balancers or the
// cells changed.
func (m *Member) rankCells() {
	balancers := m.Directory.Balancers()
	cells := m.Directory.Cells()
	if sameSlice(balancers, m.rankedBalancers) && len(cells) == m.rankedCells {
		return
	}
	m.rankedBalancers = balancers
	m.rankedCells = len(cells)
	zonesWithBalancers := map[string]bool{}
	for _, b := range balancers {
		zonesWithBalancers[b.Zone] = true
	}
	m.cellRanks = map[directory.CellID]int{}
	for _, cell := range cells {
		rank := -1
		if cell.Zone == m.Record.Zone || !zonesWithBalancers[cell.Zone] {
			rank = announcer.Rank(m.self, cell.ID, cell.Zone, balancers)
		}
		m.assignCell(cell, rank)
	}
}

// assignCell creates or removes the leaser of a cell according to this
// balancer's rank. A leaser that isn't idle is kept until it is.
func (m *Member) assignCell(cell directory.CellInfo, rank int) {
	l := m.leasers[cell.ID]
	if rank < 0 || rank >= candidatesPerCell {
		if l == nil || l.Idle() {
			delete(m.leasers, cell.ID)
			return
		}
		rank = candidatesPerCell
	}
	m.cellRanks[cell.ID] = rank
	if l == nil {
		m.leasers[cell.ID] = &leaser.Leaser{
			Environment: m.Environment,
			Cell:        cell,
			Encode:      m.EncodeCell,
			Decode:      m.DecodeCell,
			Random:      m.Random,
		}
	}
}

// activeLeaser returns the leaser of a cell. It removes an idle leaser of a
// cell that other balancers serve, and returns nil.
func (m *Member) activeLeaser(id directory.CellID, rank int) *leaser.Leaser {
	l := m.leasers[id]
	if rank == candidatesPerCell && l.Idle() {
		delete(m.leasers, id)
		delete(m.cellRanks, id)
		return nil
	}
	return l
}

// releaseCells releases the leases that this balancer holds before it leaves.
func (m *Member) releaseCells(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.leasers)) {
		l := m.leasers[id]
		m.call(l.Cell.Name, l.Release(now))
	}
}

// discoverPeers lists the cells of the member's own availability zone in the
// store while it has no session with a balancer.
func (m *Member) discoverPeers(now time.Time) {
	if m.hasPeer() || now.Before(m.discovery.next) || now.Sub(m.started) < discoveryDelay {
		return
	}
	m.discovery.next = now.Add(m.jitter(discoveryInterval))
	prefix := messenger.CellPrefix(m.Environment) + m.Record.Zone + "/"
	m.call(ownerDiscovery, &messenger.Call{Method: messenger.MethodList, Object: gooseberrymast.Object{Key: prefix}})
}

// receiveDiscovery takes the addresses of balancers from the cells that were
// read and dials a few agents. The records themselves are not applied: only
// their writers and peers are authoritative.
func (m *Member) receiveDiscovery(now time.Time, result messenger.Result) {
	m.discovery.controls = nil
	agents := 0
	for _, object := range result.Objects {
		cell, err := m.DecodeCell(object.Value)
		if err != nil {
			m.fault(fmt.Errorf("decoding cell object %s: %w", object.Key, err))
			continue
		}
		for _, entry := range cell.Entries {
			agents += m.contactDiscovered(now, entry, agents)
		}
	}
}

// contactDiscovered handles one discovered entry and returns the number of
// agents that it dialled, 0 or 1.
func (m *Member) contactDiscovered(now time.Time, entry directory.Entry, agents int) int {
	record := entry.Record
	switch {
	case directory.KeyOf(record.Identity.Address) == m.self:
		if m.State() == gooseberrymast.StateStarting {
			m.receiveOwnEntry(now, entry)
		}
	case record.State == gooseberrymast.StateGone:
	case record.Role == gooseberrymast.RoleBalancer:
		m.discovery.controls = append(m.discovery.controls, record.Control)
	case agents < maxDiscoveredAgents && m.registrar.ByPeer(directory.KeyOf(record.Identity.Address)) == nil:
		if m.tryDial(now, record.Control) {
			m.dials[record.Control].probe = true
			return 1
		}
	}
	return 0
}
