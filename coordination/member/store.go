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

// The owners of calls to the store other than leasers, which are named by
// their cells.
const (
	ownerDocument = "/document"
	ownerHints    = "/hints"
)

// candidates is the number of balancers that look after one cell's lease.
const candidates = 2

// spreadReads is the number of newcomers a second that read the document when
// a whole fleet restarts.
const spreadReads = 1000

// maxAgentHints bounds the agents that a lone balancer calls on at once.
const maxAgentHints = 8

// hints are the control addresses that a lone balancer found in the store.
type hints struct {
	next     time.Time
	fraction float64
	controls []netip.AddrPort
}

// useStore makes the calls that are due.
func (m *Member) useStore(now time.Time) {
	if !m.Store || !m.isBalancer() {
		return
	}
	m.rank()
	m.followDocument(now)
	m.lookForPeers(now)
	if m.State() != gooseberrymast.StateReady {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.ranks)) {
		if l := m.leaserOf(id, m.ranks[id]); l != nil {
			m.call(l.Cell.Name, l.Next(now, m.Identity(), m.ranks[id], &m.Directory))
		}
	}
}

// Stored reports the result of a call to the store.
func (m *Member) Stored(now time.Time, id uint64, result messenger.Result) Actions {
	owner := m.calls[id]
	delete(m.calls, id)
	m.storeDown = result.Err != nil && !answered(result.Err)
	switch owner {
	case ownerDocument:
		m.documentRead(now, result)
	case ownerHints:
		m.hintsRead(now, result)
	default:
		if l := m.leasers[directory.IDOf(owner)]; l != nil {
			l.Done(now, m.Identity(), result)
		}
	}
	m.useStore(now)
	return m.finish(now, true)
}

// answered reports whether an error is an answer of the store.
func answered(err error) bool {
	return errors.Is(err, gooseberrymast.ErrStoreNotFound) || errors.Is(err, gooseberrymast.ErrStoreConflict) ||
		errors.Is(err, context.DeadlineExceeded)
}

func (m *Member) call(owner string, call *messenger.Call) {
	if call == nil {
		return
	}
	m.lastCall++
	m.calls[m.lastCall] = owner
	m.actions.Calls = append(m.actions.Calls, Call{ID: m.lastCall, Call: *call})
}

// followDocument watches the document when this balancer answers for a cell,
// and reads it once otherwise.
func (m *Member) followDocument(now time.Time) {
	watch := false
	for id, rank := range m.ranks {
		l := m.leasers[id]
		watch = watch || rank == 0 || l != nil && l.Holding(now)
	}
	if !watch && now.Before(m.readAt()) {
		return
	}
	m.call(ownerDocument, m.document.Next(now, watch))
}

// readAt spreads the first reads of many balancers that start together.
func (m *Member) readAt() time.Time {
	if m.hints.fraction == 0 {
		m.hints.fraction = m.Random.Float64()
	}
	window := time.Second + time.Duration(len(m.Directory.Balancers()))*time.Second/spreadReads
	return m.started.Add(time.Duration(m.hints.fraction * float64(window)))
}

func (m *Member) documentRead(now time.Time, result messenger.Result) {
	object, found := m.document.Done(now, result)
	if !found {
		return
	}
	revision, err := m.DecodeRevision(object.Value)
	if err != nil {
		m.Counters.Refusals++
		m.fault(fmt.Errorf("Member.documentRead version %d: %w", object.Version, err))
		return
	}
	m.adopt(now, revision)
}

// rank works out which cells this balancer looks after when the balancers or
// the cells changed.
func (m *Member) rank() {
	balancers := m.Directory.Balancers()
	cells := m.Directory.Cells()
	if sameList(balancers, m.ranked) && len(cells) == m.cells {
		return
	}
	m.ranked = balancers
	m.cells = len(cells)
	staffed := map[string]bool{}
	for _, b := range balancers {
		staffed[b.Zone] = true
	}
	m.ranks = map[directory.CellID]int{}
	for _, cell := range cells {
		rank := -1
		if cell.Zone == m.Record.Zone || !staffed[cell.Zone] {
			rank = announcer.Rank(m.self, cell.ID, cell.Zone, balancers)
		}
		m.keepCell(cell, rank)
	}
}

// keepCell decides whether this balancer looks after a cell.
func (m *Member) keepCell(cell directory.CellInfo, rank int) {
	l := m.leasers[cell.ID]
	if rank < 0 || rank >= candidates {
		if l == nil || l.Idle() {
			delete(m.leasers, cell.ID)
			return
		}
		rank = candidates
	}
	m.ranks[cell.ID] = rank
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

// leaserOf gives the leaser of a cell unless it has become idle in a cell that
// others look after.
func (m *Member) leaserOf(id directory.CellID, rank int) *leaser.Leaser {
	l := m.leasers[id]
	if rank == candidates && l.Idle() {
		delete(m.leasers, id)
		delete(m.ranks, id)
		return nil
	}
	return l
}

// releaseCells hands the held cells over before the balancer leaves.
func (m *Member) releaseCells(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.leasers)) {
		l := m.leasers[id]
		m.call(l.Cell.Name, l.Release(now))
	}
}

// lookForPeers reads the cells of the own availability zone while no other
// balancer is known.
func (m *Member) lookForPeers(now time.Time) {
	if m.hasPeer() || now.Before(m.hints.next) || now.Sub(m.started) < loneTime {
		return
	}
	m.hints.next = now.Add(m.jitter(hintInterval))
	prefix := messenger.CellPrefix(m.Environment) + m.Record.Zone + "/"
	m.call(ownerHints, &messenger.Call{Method: messenger.MethodList, Object: gooseberrymast.Object{Key: prefix}})
}

// hintsRead takes the addresses of balancers and calls on a few agents. The
// records are not believed: only their writers and peers speak for them.
func (m *Member) hintsRead(now time.Time, result messenger.Result) {
	m.hints.controls = nil
	agents := 0
	for _, object := range result.Objects {
		cell, err := m.DecodeCell(object.Value)
		if err != nil {
			m.fault(fmt.Errorf("Member.hintsRead %s: %w", object.Key, err))
			continue
		}
		for _, entry := range cell.Entries {
			agents += m.takeHint(now, entry, agents)
		}
	}
}

// takeHint gives the number of agents that it called on.
func (m *Member) takeHint(now time.Time, entry directory.Entry, agents int) int {
	record := entry.Record
	switch {
	case directory.KeyOf(record.Identity.Address) == m.self:
		if m.State() == gooseberrymast.StateStarting {
			m.heardOfSelf(now, entry)
		}
	case record.State == gooseberrymast.StateGone:
	case record.Role == gooseberrymast.RoleBalancer:
		m.hints.controls = append(m.hints.controls, record.Control)
	case agents < maxAgentHints && m.registrar.With(directory.KeyOf(record.Identity.Address)) == nil:
		if m.dialNow(now, record.Control) {
			m.dials[record.Control].probe = true
			return 1
		}
	}
	return 0
}
