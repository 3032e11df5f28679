package gooseberrymast

import "time"

// EvacuationsVersion orders what reads of the operators' list of evacuations have found.
type EvacuationsVersion struct {
	// Era is the store's era when the list was read; zero if the store names none.
	Era uint64
	// Revision is the store's revision of the list; zero if the store names none. A store
	// that was restored from a copy gives revisions out again in a higher era.
	Revision uint64
}

// Newer reports whether v supersedes other.
func (v EvacuationsVersion) Newer(other EvacuationsVersion) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Revision > other.Revision
}

// Evacuations is the operators' list of evacuated zones, as a read of the store has
// found it.
type Evacuations struct {
	Version EvacuationsVersion
	// Zones are the names of the evacuated zones, sorted.
	Zones []string
}

// HeldZone is a zone that stays evacuated for some time although the store, which was
// restored from an earlier copy, no longer lists it.
type HeldZone struct {
	Zone string
	Left time.Duration
}

// EvacuationStatus is what a process reports about evacuated zones.
type EvacuationStatus struct {
	Evacuations
	// Known is set if the process holds a list. Otherwise the other fields are zero.
	Known bool
	// Held are the zones that a restored store no longer lists.
	Held []HeldZone
	// Age is the time since the sender itself read the store's list. The list that it
	// holds is at least as recent.
	Age time.Duration
	// Read is set when Age is valid.
	Read bool
}
