// Package roster holds the membership of processes that forward packets: for
// each peer its identity, its last report and the time of that report.
//
// Load pattern: many restarts at once. Each entry is written only by the process
// that it describes, and the highest incarnation and sequence win, so that
// updates may arrive late, more than once and by any route.
package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
)

// ForgetAfter is the time without an update after which a peer is removed: the
// longest duration of a flow, so that a walk still reaches every agent that may
// hold one.
const ForgetAfter = gooseberrymast.DefaultMaxFlowAge

// forgottenSilence is the silence of a removed peer from which its entry in the store is no
// sign of life: more than an agent that restarts as planned may take.
const forgottenSilence = 5 * time.Second

// Roster holds the peers of one process, without the process itself. The zero
// value is empty.
type Roster struct {
	// Zone is the process's availability zone. Peers of other zones are relayed. If
	// it is empty, all peers report directly. It is set before use.
	Zone string

	mu      sync.RWMutex
	entries map[gooseberrymast.Endpoint]*Entry
	// sorted holds the entries in the order of their endpoints; nil after one was added or
	// removed.
	sorted  []*Entry
	digests gooseberrymast.RosterDigests
	// complete is set once the store's complete list was merged.
	complete           bool
	listening, hearing Listening
	// unreadable holds the stored entries that can't be decoded and whose instances are
	// not known, and forgotten the incarnations of the agents that were silent until they
	// were removed and whose entries are still stored.
	unreadable map[gooseberrymast.Endpoint]unreadable
	forgotten  map[gooseberrymast.Endpoint]uint64
}

// HandleReport updates a peer from its own report. It returns whether the peer is
// new or changed, and whether the roster holds a higher incarnation than the
// sender's, in which case the sender must be notified.
func (r *Roster) HandleReport(report gooseberrymast.Report, now time.Time) (changed, superseded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.get(report.Peer.Endpoint)
	if found && entry.Newer(report.Peer) {
		return false, entry.Incarnation > report.Peer.Incarnation
	}
	if !found || report.Peer.Newer(entry.Peer) {
		r.updateDigests(entry.Peer, report.Peer, found)
		changed = true
	}
	entry.setPeer(report.Peer)
	entry.ReportedAt, entry.UpdatedAt, entry.ViewedAt = now, now, now
	entry.clearQuestions()
	entry.UsesRelays = report.Relayed
	entry.Relayed = report.Relayed && r.inOtherZone(report.Peer)
	entry.Load, entry.Document = report.Load, report.Document
	r.put(entry)
	return changed, false
}

// Merge updates entries from other peers or the store.
func (r *Roster) Merge(peers []gooseberrymast.Peer, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range peers {
		entry, found := r.get(peer.Endpoint)
		if found && !peer.Newer(entry.Peer) {
			continue
		}
		r.updateDigests(entry.Peer, peer, found)
		if entry.Incarnation != peer.Incarnation {
			entry.Load = gooseberrymast.FlowLoad{}
		}
		if !found {
			entry.Relayed = r.inOtherZone(peer)
		}
		entry.setPeer(peer)
		entry.UpdatedAt = now
		r.put(entry)
		changed = true
	}
	return changed
}

// sameReport is the difference between two times of a peer's last report from
// which they stand for two reports. Summaries take different times to arrive.
const sameReport = 50 * time.Millisecond

// HandleSummary updates the peers of another availability zone from a relay's
// summary and returns those that are new or changed.
func (r *Roster) HandleSummary(summary gooseberrymast.Summary, now time.Time) (changed []gooseberrymast.Peer) {
	if r.Zone == "" || summary.Zone == r.Zone {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, viewed := range summary.Peers {
		entry, found := r.get(viewed.Peer.Endpoint)
		if found && entry.Newer(viewed.Peer) {
			continue
		}
		if !found || viewed.Peer.Newer(entry.Peer) {
			r.updateDigests(entry.Peer, viewed.Peer, found)
			changed = append(changed, viewed.Peer)
		}
		if found && !entry.Relayed && entry.Reporting(now) && entry.Incarnation == viewed.Peer.Incarnation {
			// The peer's own reports say more than a relay.
			entry.setPeer(viewed.Peer)
			r.put(entry)
			continue
		}
		if entry.Incarnation != viewed.Peer.Incarnation {
			entry.Load, entry.ReportedAt = gooseberrymast.FlowLoad{}, time.Time{}
		}
		entry.setPeer(viewed.Peer)
		entry.Relayed, entry.ViewedAt, entry.SummarizedAt = true, now, now
		entry.clearQuestions()
		lastSign := now.Add(-viewed.Silence)
		if lastSign.After(entry.UpdatedAt) {
			entry.UpdatedAt = lastSign
		}
		if viewed.Heard && lastSign.Sub(entry.ReportedAt) > sameReport {
			entry.ReportedAt, entry.Load = lastSign, viewed.Load
		}
		r.put(entry)
	}
	return changed
}

// MarkAsked records that this process asks peers for a report.
func (r *Roster) MarkAsked(peers []gooseberrymast.Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range peers {
		entry, found := r.get(peer)
		if !found {
			continue
		}
		interrupted := entry.Questions < MaxQuestions && now.Sub(entry.AskedAt) > maxQuestionGap
		if interrupted || entry.AskedSince.Before(r.hearing.Since) {
			entry.AskedSince, entry.Questions = now, 0
		}
		entry.AskedAt = now
		entry.Questions++
		r.put(entry)
	}
}

// MarkComplete records that the store's complete list was merged.
func (r *Roster) MarkComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// IsComplete reports whether the roster holds every agent that was registered in
// the store before this process started.
func (r *Roster) IsComplete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete
}

// Expire removes and returns the peers without an update for ForgetAfter.
func (r *Roster) Expire(now time.Time) (dropped []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.inOrder() {
		if now.Sub(entry.UpdatedAt) > ForgetAfter {
			toggleDigest(&r.digests, entry.Peer)
			delete(r.entries, entry.Endpoint)
			r.sorted = nil
			dropped = append(dropped, *entry)
			if entry.Incarnation != 0 && max(entry.Silence(r.hearing), entry.AskedSilence(r.hearing)) > forgottenSilence {
				r.forget(entry.Peer)
			}
		}
	}
	return dropped
}

func (r *Roster) forget(peer gooseberrymast.Peer) {
	if r.forgotten == nil {
		r.forgotten = map[gooseberrymast.Endpoint]uint64{}
	}
	r.forgotten[peer.Endpoint] = peer.Incarnation
}

// Digests returns hashes over the endpoints of all peers and of the process
// itself. Two processes with equal digests hold the same peers, but possibly
// different versions of their entries.
func (r *Roster) Digests(own gooseberrymast.Peer) gooseberrymast.RosterDigests {
	r.mu.RLock()
	defer r.mu.RUnlock()
	digests := r.digests
	toggleDigest(&digests, own)
	return digests
}

// Get returns the entry of one peer.
func (r *Roster) Get(endpoint gooseberrymast.Endpoint) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.get(endpoint)
}

// Each calls visit for every peer, sorted by endpoint. The roster is locked meanwhile, so
// visit must not call its methods.
func (r *Roster) Each(visit func(Entry)) {
	r.mu.RLock()
	if r.sorted == nil && len(r.entries) > 0 {
		r.mu.RUnlock()
		r.mu.Lock()
		defer r.mu.Unlock()
	} else {
		defer r.mu.RUnlock()
	}
	for _, entry := range r.inOrder() {
		visit(*entry)
	}
}

// Entries returns the peers for which keep is true, sorted by endpoint. A nil
// keep selects all.
func (r *Roster) Entries(keep func(Entry) bool) []Entry {
	var kept []Entry
	r.Each(func(entry Entry) {
		if keep == nil || keep(entry) {
			kept = append(kept, entry)
		}
	})
	return kept
}

// Append appends all peers to entries, sorted by endpoint.
func (r *Roster) Append(entries []Entry) []Entry {
	r.Each(func(entry Entry) { entries = append(entries, entry) })
	return entries
}

func (r *Roster) get(endpoint gooseberrymast.Endpoint) (Entry, bool) {
	entry, found := r.entries[endpoint]
	if !found {
		return Entry{}, false
	}
	return *entry, true
}

// inOrder returns the entries sorted by endpoint. The caller must hold the lock for writing
// if sorted is nil.
func (r *Roster) inOrder() []*Entry {
	if r.sorted == nil && len(r.entries) > 0 {
		r.sorted = slices.SortedFunc(maps.Values(r.entries), func(a, b *Entry) int { return a.Endpoint.Compare(b.Endpoint) })
	}
	return r.sorted
}

func (r *Roster) inOtherZone(peer gooseberrymast.Peer) bool {
	return r.Zone != "" && peer.Zone != r.Zone
}

func (r *Roster) updateDigests(before, after gooseberrymast.Peer, found bool) {
	if found {
		toggleDigest(&r.digests, before)
	}
	toggleDigest(&r.digests, after)
}

func (r *Roster) put(entry Entry) {
	if r.entries == nil {
		r.entries = map[gooseberrymast.Endpoint]*Entry{}
	}
	if known, found := r.entries[entry.Endpoint]; found {
		*known = entry
		return
	}
	r.entries[entry.Endpoint] = &entry
	r.sorted = nil
}

// toggleDigest adds a peer to digests, or removes it if it was added before.
func toggleDigest(digests *gooseberrymast.RosterDigests, peer gooseberrymast.Peer) {
	if peer.State == gooseberrymast.StateGone {
		return
	}
	// The rendezvous score for a fixed flow serves as the endpoint's hash.
	hash := gooseberrymast.RendezvousScore(1, peer.Endpoint)
	if peer.Role == gooseberrymast.RoleAgent {
		digests.Agents ^= hash
	} else {
		digests.Balancers ^= hash
	}
}
