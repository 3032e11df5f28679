// Package roster keeps what a process knows of its peers: who they are, when
// each was last heard, and what each last reported. It is the membership of
// processes that forward packets.
//
// Load pattern: many restarts at once. Each entry has one writer, the process
// itself, and the highest incarnation and sequence win, so that news may come
// late, twice and by any way.
package roster

import (
	"slices"
	"sync"
	"time"

	"gooseberrymast"
)

const (
	// SilentAfter is the time without a report after which a peer gets no new
	// flows: an agent's three reports of 200 ms with their delay. A balancer
	// reports every 400 ms.
	SilentAfter = 900 * time.Millisecond
	// ForgetAfter is the time without a report after which a peer is left
	// out: the longest time that a flow may last, so that a walk still asks
	// every agent that may hold one.
	ForgetAfter = 60 * time.Second
)

// Entry is one peer with what it last reported.
type Entry struct {
	gooseberrymast.Peer
	// Heard is when the peer itself last reported; zero when others told of it.
	Heard time.Time
	// Told is when the entry was last named by anyone.
	Told time.Time
	// Load and Document are those of the last report.
	Load     gooseberrymast.FlowLoad
	Document gooseberrymast.DocumentNews
	// Served are the addresses whose flows an agent's server has taken, as the
	// agent's entry in the store says.
	Served []gooseberrymast.Endpoint
	// Stored is the version of the peer's entry in the store when it was read
	// there; zero when it was not.
	Stored uint64
}

// Alive reports whether the peer was heard lately.
func (e Entry) Alive(now time.Time) bool {
	return !e.Heard.IsZero() && now.Sub(e.Heard) < SilentAfter
}

// Roster holds the peers of one process, itself left out. The zero value is
// empty.
type Roster struct {
	mu      sync.RWMutex
	entries map[gooseberrymast.Endpoint]Entry
	digests gooseberrymast.RosterDigests
	// complete is set once the store's list was read whole.
	complete bool
}

// Hear takes a peer's own report. It tells whether the peer is new or has
// changed, and whether the report comes from an incarnation that the roster
// holds for superseded, so that its sender must be told.
func (r *Roster) Hear(report gooseberrymast.Report, now time.Time) (changed, superseded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[report.Peer.Endpoint]
	if known && entry.Newer(report.Peer) {
		return false, entry.Incarnation > report.Peer.Incarnation
	}
	if !known || report.Peer.Newer(entry.Peer) {
		r.set(entry.Peer, report.Peer, known)
		changed = true
	}
	entry.Peer = report.Peer
	entry.Heard, entry.Told = now, now
	entry.Load, entry.Document = report.Load, report.Document
	r.put(entry)
	return changed, false
}

// Merge takes what others, or the store, tell of peers.
func (r *Roster) Merge(peers []gooseberrymast.Peer, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range peers {
		entry, known := r.entries[peer.Endpoint]
		if known && !peer.Newer(entry.Peer) {
			continue
		}
		r.set(entry.Peer, peer, known)
		if entry.Incarnation != peer.Incarnation {
			entry.Load = gooseberrymast.FlowLoad{}
		}
		entry.Peer = peer
		entry.Told = now
		r.put(entry)
		changed = true
	}
	return changed
}

// SetStored records what a peer's entry in the store says beyond who it is.
func (r *Roster) SetStored(peer gooseberrymast.Endpoint, served []gooseberrymast.Endpoint, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, known := r.entries[peer]; known {
		entry.Served, entry.Stored = served, version
		r.put(entry)
	}
}

// Complete records that the store's list was merged.
func (r *Roster) Complete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// IsComplete reports whether every agent that announced itself in the store
// before this process started is known.
func (r *Roster) IsComplete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete
}

// Expire drops the peers that were not heard of for ForgetAfter.
func (r *Roster) Expire(now time.Time) (dropped []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, entry := range r.entries {
		if now.Sub(entry.Told) > ForgetAfter {
			toggle(&r.digests, entry.Peer)
			delete(r.entries, endpoint)
			dropped = append(dropped, entry)
		}
	}
	return dropped
}

// Digests gives hashes over all peers and a process's own entry. Two processes
// with the same digests know the same peers, though not the same of them.
func (r *Roster) Digests(own gooseberrymast.Peer) gooseberrymast.RosterDigests {
	r.mu.RLock()
	defer r.mu.RUnlock()
	digests := r.digests
	toggle(&digests, own)
	return digests
}

// Get finds one peer.
func (r *Roster) Get(endpoint gooseberrymast.Endpoint) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry, ok := r.entries[endpoint]
	return entry, ok
}

// Each calls visit for every peer, in no order. Visit calls no method of the
// roster.
func (r *Roster) Each(visit func(Entry)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.entries {
		visit(entry)
	}
}

// Entries gives the peers for which keep is true, by endpoint.
func (r *Roster) Entries(keep func(Entry) bool) []Entry {
	var kept []Entry
	r.Each(func(entry Entry) {
		if keep == nil || keep(entry) {
			kept = append(kept, entry)
		}
	})
	slices.SortFunc(kept, func(a, b Entry) int { return a.Endpoint.Compare(b.Endpoint) })
	return kept
}

// Role gives the peers of a role that have not left.
func (r *Roster) Role(role gooseberrymast.Role) []Entry {
	return r.Entries(func(e Entry) bool { return e.Role == role && e.State != gooseberrymast.StateGone })
}

func (r *Roster) set(before, after gooseberrymast.Peer, known bool) {
	if known {
		toggle(&r.digests, before)
	}
	toggle(&r.digests, after)
}

func (r *Roster) put(entry Entry) {
	if r.entries == nil {
		r.entries = map[gooseberrymast.Endpoint]Entry{}
	}
	r.entries[entry.Endpoint] = entry
}

// toggle adds a peer to digests, or takes it out.
func toggle(digests *gooseberrymast.RosterDigests, peer gooseberrymast.Peer) {
	if peer.State == gooseberrymast.StateGone {
		return
	}
	// The score of an instance for a fixed flow serves as its hash.
	hash := gooseberrymast.RendezvousScore(1, peer.Endpoint)
	if peer.Role == gooseberrymast.RoleAgent {
		digests.Agents ^= hash
	} else {
		digests.Balancers ^= hash
	}
}
