package runner

import (
	"context"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/evacuator"
	"gooseberrymast/state/roster"
)

// pollEvacuations reads the evacuations from the store when a read is due, and applies
// what the time has changed.
func (m *member) pollEvacuations(ctx context.Context) {
	if !m.Settings.Places.Active() {
		return
	}
	now := m.Timer.Now()
	m.applyEvacuations(now)
	rank := m.rank(now)
	m.mu.Lock()
	due := m.evacuator.Due(rank, now)
	if due {
		m.evacuator.BeginRead()
	}
	m.mu.Unlock()
	if due {
		m.readEvacuations(ctx, now)
	}
}

func (m *member) readEvacuations(ctx context.Context, began time.Time) {
	var list gooseberrymast.Evacuations
	var unreadable error
	err := m.callStore(ctx, "read the evacuations", func(ctx context.Context) (err error) {
		list, unreadable, err = m.ReadEvacuations(ctx)
		return err
	})
	now := m.Timer.Now()
	m.mu.Lock()
	var dropped []string
	if err != nil {
		m.evacuator.HandleFailedRead(now)
	} else {
		dropped = m.evacuator.HandleRead(list, began, now)
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	m.logUnreadable(unreadable, dropped)
	m.applyEvacuations(now)
	// Peers read for themselves unless they learn of this read.
	m.triggerReport()
}

// logUnreadable logs the entries that a read has left out, once until they change.
func (m *member) logUnreadable(unreadable error, dropped []string) {
	text := ""
	if unreadable != nil {
		text = unreadable.Error()
	}
	if len(dropped) > 0 {
		text += " too many zones:"
		for _, zone := range dropped {
			text += " " + zone
		}
	}
	if text != "" && text != m.lastUnreadable {
		m.Log.Error(gooseberrymast.EventEvacuationUnreadable).Str("error", text).Msg("")
	}
	m.lastUnreadable = text
}

// handleEvacuationStatus processes what a peer says of evacuations.
func (m *member) handleEvacuationStatus(status gooseberrymast.EvacuationStatus, now time.Time) {
	if !m.Settings.Places.Active() || !status.Known {
		return
	}
	m.mu.Lock()
	changed := m.evacuator.HandleStatus(status, now)
	m.mu.Unlock()
	if changed {
		m.applyEvacuations(now)
	}
}

// applyEvacuations puts changes of the evacuated zones in force.
func (m *member) applyEvacuations(now time.Time) {
	m.mu.Lock()
	changes := m.evacuator.Changes(now)
	if len(changes) > 0 && m.onEvacuated != nil {
		m.onEvacuated(m.evacuator.Zones(now))
	}
	m.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if !change.Evacuated && change.Zone == m.Settings.Zone && m.onReturned != nil {
			m.onReturned(now)
		}
		m.logEvacuation(change)
	}
	m.triggerReport()
}

func (m *member) logEvacuation(change evacuator.Change) {
	line := m.Log.Warn(gooseberrymast.EventEvacuationEnded)
	if change.Evacuated {
		line = m.Log.Warn(gooseberrymast.EventEvacuationInForce)
	}
	peers := 0
	m.roster.Each(func(entry roster.Entry) {
		if entry.Zone == change.Zone {
			peers++
		}
	})
	line = line.Str("zone", change.Zone).Str("cause", string(change.Cause)).Int("peers", peers).Bool("own-zone", change.Zone == m.Settings.Zone)
	if change.AgeKnown {
		line = line.Int64("age-ms", change.Age.Milliseconds())
	}
	line.Msg("")
}

// hasUsableEvacuations reports whether the process has, at any time since it started,
// known recently which zones are evacuated, or has waited for evacuator.MaxJoinWait.
func (m *member) hasUsableEvacuations(now time.Time) bool {
	if !m.Settings.Places.Active() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuationsUsable = m.evacuationsUsable || m.evacuator.Usable(now, now.Sub(m.began))
	return m.evacuationsUsable
}

// ownZoneEvacuated reports whether the process's zone is evacuated.
func (m *member) ownZoneEvacuated(now time.Time) bool {
	if !m.Settings.Places.Active() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.evacuator.Zones(now), m.Settings.Zone)
}
