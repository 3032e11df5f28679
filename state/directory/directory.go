// Package directory holds the records of all processes of an environment. The
// newest record of an address wins, in whatever order records arrive.
//
// One goroutine at a time may change a directory; any may read it. Routing code
// reads the published Table without a lock.
package directory

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// shardCount is the number of shards, each under its own lock.
const shardCount = 16

// The default timeouts of a directory.
const (
	DefaultReattachTimeout = 10 * time.Second
	DefaultForgetTimeout   = 4 * time.Hour
	DefaultTombstoneTTL    = 10 * time.Minute
)

// Directory holds one entry for each address. The zero value is empty and
// ready for use.
type Directory struct {
	// CellsPerZone divides each availability zone; zero is one cell.
	CellsPerZone int
	// ReattachTimeout is the time that a process has to find new registrars
	// after it lost its own, before it becomes suspect.
	ReattachTimeout time.Duration
	// ForgetTimeout is the time after which a suspect entry is removed. It is
	// no longer sent to peers after half that time.
	ForgetTimeout time.Duration
	// TombstoneTTL is the time for which an entry in StateGone is kept.
	TombstoneTTL time.Duration
	// SuspicionReported is set in an agent's directory. It doesn't hold the
	// registrars' records, so only SetReportedSuspicion changes whether an entry is
	// suspect.
	SuspicionReported bool

	shards [shardCount]shard
	zones  zoneNames
	// epoch is the start of the directory's clock.
	epoch    time.Time
	services map[gooseberrymast.ServiceTag]*service
	// dependent holds, by registrar, the keys of the entries that name it.
	dependent map[Key][]Key
	cells     cells
	checks    checkSchedule
	// aging holds the entries that are suspect or gone.
	aging map[Key]struct{}
	// balancers caches the result of Balancers; nil when it is outdated.
	balancers  []Balancer
	published  atomic.Pointer[gooseberrymast.Table]
	changed    map[gooseberrymast.ServiceTag]struct{}
	suspicions []Key
	// unreachable is set by MarkUnreachable and never sent to peers.
	unreachable map[Key]struct{}
}

type shard struct {
	mu      sync.RWMutex
	entries map[Key]packed
}

// Apply merges one entry that its writer announced or a peer passed on. It
// reports whether the directory changed.
func (d *Directory) Apply(now time.Time, entry Entry) bool {
	d.initialise(now)
	incoming := d.pack(entry)
	asserter.Holds(incoming.incarnation > 0, "record-has-incarnation", "record of %s has none", entry.Record.Identity)
	if incoming.incarnation == 0 || incoming.key == 0 {
		return false
	}
	existing, found := d.get(incoming.key)
	if !found {
		d.insert(now, incoming)
		return true
	}
	if incoming.sameVersion(existing) {
		return d.merge(now, existing, incoming)
	}
	if !incoming.newer(existing) {
		return false
	}
	d.checkOrder(existing, incoming)
	d.remove(existing)
	d.insert(now, incoming)
	return true
}

// Get returns the entry of an address.
func (d *Directory) Get(address netip.AddrPort) (Entry, bool) {
	p, found := d.get(KeyOf(address))
	if !found {
		return Entry{}, false
	}
	return d.unpack(p), true
}

// Lookup returns the entry of a key.
func (d *Directory) Lookup(key Key) (Entry, bool) {
	p, found := d.get(key)
	if !found {
		return Entry{}, false
	}
	return d.unpack(p), true
}

// Suspect reports whether the process at a key is suspect, gone or has no entry.
func (d *Directory) Suspect(key Key) bool {
	p, found := d.get(key)
	return !found || p.suspect || p.state == gooseberrymast.StateGone
}

// Len returns the number of entries, including those in StateGone.
func (d *Directory) Len() int {
	n := 0
	for i := range d.shards {
		d.shards[i].mu.RLock()
		n += len(d.shards[i].entries)
		d.shards[i].mu.RUnlock()
	}
	return n
}

// CountAvailable returns the number of entries that are neither suspect nor gone.
func (d *Directory) CountAvailable() int {
	return d.Len() - len(d.aging)
}

// Retain removes the entries of a service whose keys aren't in keep. An agent
// calls it with a full list, since balancers don't report the entries that they
// remove.
func (d *Directory) Retain(tag gooseberrymast.ServiceTag, keep map[Key]struct{}) {
	s := d.services[tag]
	if s == nil {
		return
	}
	for _, key := range append([]Key(nil), s.keys...) {
		if _, ok := keep[key]; ok {
			continue
		}
		if p, found := d.get(key); found {
			d.remove(p)
		}
	}
}

func (d *Directory) initialise(now time.Time) {
	if d.services != nil {
		return
	}
	d.epoch = now
	d.services = map[gooseberrymast.ServiceTag]*service{}
	d.dependent = map[Key][]Key{}
	d.aging = map[Key]struct{}{}
	d.changed = map[gooseberrymast.ServiceTag]struct{}{}
}

// merge merges another copy of an existing version. Only its losses can be new.
func (d *Directory) merge(now time.Time, existing, incoming packed) bool {
	asserter.Holds(existing.sameContent(incoming), "one-writer-for-each-record",
		"two records of %s#%d with sequence %d", existing.key.Address(), existing.incarnation, existing.sequence)
	if incoming.loss|existing.loss == existing.loss {
		return false
	}
	updated := existing
	updated.loss |= incoming.loss
	d.update(now, existing, updated)
	return true
}

// checkOrder asserts that a process doesn't return to an earlier state.
func (d *Directory) checkOrder(existing, incoming packed) {
	if existing.incarnation != incoming.incarnation {
		return
	}
	asserter.Holds(incoming.state >= existing.state, "state-never-moves-back",
		"%s#%d went from %s to %s", existing.key.Address(), existing.incarnation, existing.state, incoming.state)
}

func (d *Directory) insert(now time.Time, p packed) {
	p.since = d.clock(now)
	d.put(p)
	d.serviceOf(p.service).add(p.key)
	d.markChanged(p.service)
	for _, registrar := range p.registrars {
		d.addDependent(registrar, p.key)
	}
	d.toggleDigest(p, 1)
	d.evaluateSuspicion(now, p.key)
	d.evaluateDependents(now, p.key)
}

func (d *Directory) remove(p packed) {
	current, found := d.get(p.key)
	if !found {
		return
	}
	s := d.shardOf(p.key)
	s.mu.Lock()
	delete(s.entries, p.key)
	s.mu.Unlock()
	d.serviceOf(p.service).remove(p.key)
	d.markChanged(p.service)
	for _, registrar := range p.registrars {
		d.removeDependent(registrar, p.key)
	}
	if !current.hidden {
		d.toggleDigest(current, -1)
	}
	delete(d.aging, p.key)
}

// update replaces an entry by another of the same version.
func (d *Directory) update(now time.Time, existing, updated packed) {
	if !existing.hidden {
		d.toggleDigest(existing, -1)
	}
	if !updated.hidden {
		d.toggleDigest(updated, 1)
	}
	d.put(updated)
	d.markChanged(updated.service)
	if existing.loss != updated.loss {
		d.evaluateSuspicion(now, updated.key)
	}
}

func (d *Directory) markChanged(tag gooseberrymast.ServiceTag) {
	if tag == balancerTag {
		d.balancers = nil
		return
	}
	d.changed[tag] = struct{}{}
}

func (d *Directory) get(key Key) (packed, bool) {
	s := d.shardOf(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, found := s.entries[key]
	return p, found
}

func (d *Directory) put(p packed) {
	s := d.shardOf(p.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[Key]packed{}
	}
	s.entries[p.key] = p
}

func (d *Directory) shardOf(key Key) *shard {
	return &d.shards[key.Hash()%shardCount]
}
