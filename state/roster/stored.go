package roster

import (
	"time"

	"gooseberrymast"
)

// Stored is one instance's entry in the store.
type Stored struct {
	// Peer is the instance; its sequence is zero.
	gooseberrymast.Peer
	// Incarnation is that of the process that wrote the entry; zero from a build that
	// doesn't record it.
	Incarnation uint64
	// Served lists the addresses whose flows an agent's server may have accepted.
	Served []gooseberrymast.Endpoint
	// Version is the store's version of the entry.
	Version uint64
	// Unreadable is set if only Endpoint and Version are known.
	Unreadable bool
}

// unreadable is an entry that could not be decoded, of an instance that is not known.
type unreadable struct {
	version uint64
	since   time.Time
}

// HandleStored updates the roster from a list of all entries. What an instance has sent
// itself takes precedence, unless its entry is of a later process than the last one that
// was heard: that one is alive as of this list. It reports whether a peer is new or changed.
func (r *Roster) HandleStored(list []Stored, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unknown := map[gooseberrymast.Endpoint]unreadable{}
	forgotten := map[gooseberrymast.Endpoint]uint64{}
	for _, stored := range list {
		entry, found := r.get(stored.Endpoint)
		incarnation, known := r.forgotten[stored.Endpoint]
		switch {
		case stored.Unreadable && !found:
			seen, known := r.unreadable[stored.Endpoint]
			if !known || seen.version != stored.Version {
				seen = unreadable{version: stored.Version, since: now}
			}
			unknown[stored.Endpoint] = seen
			continue
		case stored.Unreadable:
			entry.Unreadable, entry.StoreVersion = true, stored.Version
			r.put(entry)
			continue
		case !found && known && stored.Incarnation != 0 && incarnation == stored.Incarnation:
			forgotten[stored.Endpoint] = incarnation
			continue
		case !found || isLaterProcess(stored, entry):
			r.updateDigests(entry.Peer, stored.Peer, found)
			last := entry.Incarnation
			entry = Entry{Peer: stored.Peer, UpdatedAt: now, Relayed: r.inOtherZone(stored.Peer)}
			// A late message of the last process must not supersede the entry.
			entry.Incarnation = max(stored.Incarnation, last)
			changed = true
		}
		entry.Served, entry.StoreVersion, entry.Unreadable = stored.Served, stored.Version, false
		if stored.Service != entry.Service && stored.Incarnation != 0 && stored.Incarnation < entry.Incarnation {
			// The instance was given to another service, whose agent has not written its entry.
			entry.Served = nil
		}
		r.put(entry)
	}
	r.unreadable, r.forgotten = unknown, forgotten
	return changed
}

// isLaterProcess reports whether an agent's entry was written by a process that has not
// been heard yet. The clock of its instance may have gone back, so that an agent which
// has announced its end counts as replaced by any other.
func isLaterProcess(stored Stored, entry Entry) bool {
	if stored.Role != gooseberrymast.RoleAgent || stored.Incarnation == 0 || stored.Version == entry.StoreVersion {
		return false
	}
	return stored.Incarnation > entry.Incarnation || entry.State == gooseberrymast.StateGone && stored.Incarnation != entry.Incarnation
}

// UnreadableSince returns when the last entry of an unknown instance was found that can't
// be decoded, or zero: it may be an agent's that holds any flow.
func (r *Roster) UnreadableSince() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var last time.Time
	for _, entry := range r.unreadable {
		last = latest(last, entry.since)
	}
	return last
}
